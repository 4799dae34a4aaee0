package orderer

// A ReplicaState is an engine's own state of a replica.
type ReplicaState string

// The states of a replica.
const (
	StateLoading   ReplicaState = "Loading"
	StateReady     ReplicaState = "Ready"
	StateUnloading ReplicaState = "Unloading"
)

// A Report is an engine's own state. It is the answer of GET /control/state.
type Report struct {
	// Instance changes when the engine process restarts; a restarted engine holds no replica.
	Instance string
	// Sequence grows with every report of one instance.
	Sequence int64
	// Fence is the highest fencing number seen. Always 0 for engines that ignore it.
	Fence int64
	// MemoryBytes is the accelerator memory of the server, UsedBytes what replicas take of it.
	MemoryBytes int64
	UsedBytes   int64
	Replicas    []ReplicaReport
	// CheckpointsVersion changes when the cached checkpoints do. Checkpoints is only filled when
	// the reader's ?Checkpoints=VERSION differs.
	CheckpointsVersion int64
	Checkpoints        *Checkpoints `json:",omitempty"`
	// CacheEvents are prefix-cache events since the last report; they come late and with gaps.
	CacheEvents []CacheEvent `json:",omitempty"`
}

// A ReplicaReport is the state of one replica in a Report. Load figures lag.
type ReplicaReport struct {
	Replica      string
	Deployment   string
	ModelVersion string `json:",omitempty"`
	Role         string `json:",omitempty"`
	State        ReplicaState
	// Bytes is the accelerator memory that it takes.
	Bytes    int64
	Running  int
	Waiting  int
	Adapters []string `json:",omitempty"`
}

// Checkpoints are the deployments whose checkpoints a server holds near.
type Checkpoints struct {
	Memory []string `json:",omitempty"`
	Disk   []string `json:",omitempty"`
}

// A CacheEvent tells that an engine stored or evicted a prompt prefix.
type CacheEvent struct {
	// Sequence numbers the events of one replica without gaps; a missing number is a lost event.
	Sequence int64
	Replica  string
	// Prefix is the hash that the caller's request carried in X-Prefix-Hash.
	Prefix uint64
	Stored bool
}
