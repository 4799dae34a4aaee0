// Package launcher joins the parts of a daemon on a host of a platform: the conductor with its driver, the callers'
// gateway, the views of the key-value service and the transport between daemons.
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

// A Store is the key-value service. Each function sends its call once.
type Store struct {
	Delete         func(ctx context.Context, key string, revision int64) storer.Result
	Grant          func(ctx context.Context, ttl time.Duration) (int64, storer.Result)
	KeepAlive      func(ctx context.Context, leaseID int64) (bool, storer.Result)
	List           func(ctx context.Context, prefix string) ([]storer.Entry, int64, storer.Result)
	Put            func(ctx context.Context, key string, value []byte, leaseID int64) storer.Result
	Revoke         func(ctx context.Context, leaseID int64) storer.Result
	CompareAndSwap func(ctx context.Context, key string, value []byte, revision, leaseID int64) (int64, storer.Result)
	Watch          func(ctx context.Context, prefix string, from int64, report func(storer.Entry, bool)) (int64, error)
}

// Engines are the model engines' calls.
type Engines struct {
	Report func(ctx context.Context, server, address string) (registrar.Report, int64, error)
	Order  func(ctx context.Context, order registrar.Order) registrar.OrderResult
}

// Entries are the platform's entries in the key-value service.
type Entries struct {
	ServersPrefix       string
	ConfigurationPrefix string
	ConfigurationKey    string
	ServerID            func(key string) string
	DecodeServer        func(key string, value []byte, revision int64) (registrar.Entry, error)
	DecodeConfiguration func(value []byte) (*matcher.Configuration, error)
}

// Platform is all that the launcher needs of the platform that the daemon runs on.
type Platform struct {
	Store      Store
	Engines    Engines
	Entries    Entries
	Translator gateway.Translator
	// Observe registers who is told of each call to the key-value service whether it was answered.
	SetObserver func(observer func(call string, err error))
	// Ready answers the platform's checks, Directory callers who ask for addresses.
	Ready     func(ready func() bool) http.Handler
	Directory func(addresses func(zone string) ([]string, time.Duration)) http.Handler
}

// Settings are the settings of one daemon.
type Settings struct {
	// Front is where callers connect, Peer where daemons do and metrics are read, Ready where the platform's checks
	// connect, Directory where callers ask for addresses. They are IP:PORT.
	Front     string
	Peer      string
	Ready     string
	Directory string
	// Descriptors bounds the files and sockets of the process.
	MaxDescriptors int
	// DroppedLines returns how many log lines were dropped, for the metrics; it may be nil.
	DroppedLines func() uint64
	// Conductor are the settings of its decisions. The launcher fills in what names the process.
	Conductor conductor.Settings
}
