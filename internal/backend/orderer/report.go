package orderer

// A ReplicaState is the state of a replica as reported by its engine.
type ReplicaState string

// The states of a replica.
const (
	StateLoading   ReplicaState = "Loading"
	StateReady     ReplicaState = "Ready"
	StateUnloading ReplicaState = "Unloading"
)

// A Report is the state of an engine. It is the response of GET /control/state.
type Report struct {
	// Instance changes when the engine process restarts. A restarted engine has no replicas.
	Instance string
	// Sequence increases with every report of one instance.
	Sequence int64
	// Fence is the highest fencing token seen. It is always 0 for engines that don't check fencing tokens.
	Fence int64
	// MemoryBytes is the accelerator memory of the server; UsedBytes is how much of it replicas use.
	MemoryBytes int64
	UsedBytes   int64
	Replicas    []ReplicaReport
	// CheckpointsVersion changes when the cached checkpoints do. Checkpoints is set only if the version in the query
	// ?Checkpoints=VERSION differs.
	CheckpointsVersion int64
	Checkpoints        *Checkpoints `json:",omitempty"`
	// CacheEvents are prefix-cache events since the last report. They are delayed and may have gaps.
	CacheEvents []CacheEvent `json:",omitempty"`
}

// A ReplicaReport is the state of one replica in a Report. Its load figures lag.
type ReplicaReport struct {
	Replica      string
	Deployment   string
	ModelVersion string `json:",omitempty"`
	Role         string `json:",omitempty"`
	State        ReplicaState
	// Bytes is the accelerator memory that the replica uses.
	Bytes    int64
	Running  int
	Waiting  int
	Adapters []string `json:",omitempty"`
}

// Checkpoints are the deployments whose checkpoints a server has cached in memory and on disk.
type Checkpoints struct {
	Memory []string `json:",omitempty"`
	Disk   []string `json:",omitempty"`
}

// A CacheEvent reports that an engine stored or evicted a prompt prefix.
type CacheEvent struct {
	// Sequence numbers the events of one replica without gaps; a missing number means a lost event.
	Sequence int64
	Replica  string
	// Prefix is the hash in the request's X-Prefix-Hash header.
	Prefix uint64
	Stored bool
}
