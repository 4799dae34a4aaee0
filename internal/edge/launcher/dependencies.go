// Package launcher assembles a daemon on a host of a platform: the conductor with its driver, the callers' gateway, the
// followers of the store and the transport between daemons.
package launcher

import (
	"context"
	"net/http"
	"time"

	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/edge/gateway"
	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/fleet/matcher"
	"samphirewharf/internal/fleet/registrar"
)

// A Store holds the calls to the platform's metadata store, which is the key-value service of the daemons on a platform.
// Each function sends its call once, without retries.
type Store struct {
	Delete    func(ctx context.Context, key string, revision int64) storer.Result
	Grant     func(ctx context.Context, ttl time.Duration) (int64, storer.Result)
	KeepAlive func(ctx context.Context, leaseID int64) (bool, storer.Result)
	List      func(ctx context.Context, prefix string) ([]storer.Entry, int64, storer.Result)
	Put       func(ctx context.Context, key string, value []byte, leaseID int64) storer.Result
	// Replace writes a key without a lease and deletes others, all or nothing.
	Replace        func(ctx context.Context, key string, value []byte, deleted []string) storer.Result
	Revoke         func(ctx context.Context, leaseID int64) storer.Result
	CompareAndSwap func(ctx context.Context, key string, value []byte, revision, leaseID int64) (int64, storer.Result)
	// Poll returns the changes since a revision, and the revision to continue from. If there are none, it waits for some.
	Poll func(ctx context.Context, prefix string, from int64, wait time.Duration) ([]storer.Change, int64, error)
	// Read returns the changes since a revision, and ListAnew does what List does, each over a new connection.
	Read     func(ctx context.Context, prefix string, from int64) ([]storer.Change, error)
	ListAnew func(ctx context.Context, prefix string) ([]storer.Entry, int64, storer.Result)
}

// Engines holds the calls to model engines.
type Engines struct {
	Report func(ctx context.Context, server, address string) (registrar.Report, int64, error)
	Order  func(ctx context.Context, order registrar.Order) registrar.OrderResult
	// Reach reports whether a server answers on a new connection. The path is that of its health check, empty for an engine.
	Reach func(ctx context.Context, address, healthPath string) error
}

// Entries holds the keys of the platform's entries in the store and the functions that decode them.
type Entries struct {
	ServersPrefix       string
	ConfigurationPrefix string
	ConfigurationKey    string
	ServerID            func(key string) string
	DecodeServer        func(key string, value []byte, revision int64) (registrar.Entry, error)
	DecodeConfiguration func(value []byte) (*matcher.Configuration, error)
}

// A Platform holds what the launcher needs of the platform that the daemon runs on.
type Platform struct {
	Store      Store
	Engines    Engines
	Entries    Entries
	Translator gateway.Translator
	// SetObserver registers a function that is called after each call to the store.
	SetObserver func(observer func(StoreCall))
	// SetOnRestored registers a function that is called when the store was restored from a copy, which is the store's next
	// epoch.
	SetOnRestored func(onRestored func(epoch int64))
	// Ready returns the handler for the platform's readiness checks, Directory that for callers that ask for addresses.
	Ready     func(ready func() bool) http.Handler
	Directory func(addresses func(zone string) ([]string, time.Duration)) http.Handler
}

// Settings are the settings of a daemon.
type Settings struct {
	// These addresses to listen on are IP:PORT. CallerAddress is for callers' requests, PeerAddress for other daemons and
	// metrics, ReadinessAddress for the platform's readiness checks, and DirectoryAddress for callers that ask for the
	// daemons' addresses.
	CallerAddress    string
	PeerAddress      string
	ReadinessAddress string
	DirectoryAddress string
	// MaxDescriptors bounds the open files and sockets of the process.
	MaxDescriptors int
	// ConfigurationMaxAge is how long after the store has accepted a configuration a daemon may act on the one before; zero means
	// verifier.DefaultMaxAge.
	ConfigurationMaxAge time.Duration
	// DroppedLines returns the number of dropped log lines, for the metrics. It may be nil.
	DroppedLines func() uint64
	// FlushLog writes the queued log lines, for a short time at most. It may be nil.
	FlushLog func()
	// Conductor are the conductor's settings. The launcher sets the fields that identify the process.
	Conductor conductor.Settings
}
