// Package executor carries out a reducer's effects: calls to the key-value service, the host list, the backend servers
// and other daemons. Each call runs in its own goroutine and ends with an event.
package executor

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/external/lister"
	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/peer/messenger"
)

// An Executor carries out effects. Set the fields before its first use.
type Executor struct {
	// Context cancels all calls when the daemon ends.
	Context context.Context //nolint:containedctx // It spans the daemon's lifetime.
	Post    func(reducer.Event)
	Clock   func() reducer.Moment
	Logger  *log.Logger

	Store  *storer.Client
	Hosts  *lister.Client
	Engine *orderer.Client
	// CanConnect reports whether a server accepts connections.
	CanConnect func(ctx context.Context, address string) bool
	// SendPeer sends a message to the daemon at an address, without a guarantee of delivery.
	SendPeer func(address string, message messenger.Message)
	// FetchConfiguration reads the configuration from the key-value service, or from the daemon at an address.
	FetchConfiguration func(ctx context.Context, peer string, haveVersion int64) (*cataloger.Catalog, int64, error)
	// Exit ends the process.
	Exit func()
	// Identity is added to messages to other daemons.
	Identity messenger.Message

	mu      sync.Mutex
	leaseID int64
	etags   map[string]string
	watches map[string]context.CancelFunc
}

// Execute carries out an effect without blocking.
func (x *Executor) Execute(effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.StoreWatch:
		x.watch(e.Prefix)
	case reducer.StoreUnwatch:
		x.unwatch(e.Prefix)
	case reducer.SendPeer:
		x.sendPeer(e)
	case reducer.PlacementDecided:
		x.logPlacement(e)
	case reducer.Noted:
		x.logNote(e)
	case reducer.Exit:
		x.Exit()
	default:
		go (&call{executor: x, effect: effect}).run()
	}
}

// LeaseID returns the ID of the daemon's lease, 0 if it has none.
func (x *Executor) LeaseID() int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.leaseID
}

func (x *Executor) sendPeer(e reducer.SendPeer) {
	message := e.Message
	message.From = x.Identity.From
	message.Instance = x.Identity.Instance
	message.Address = x.Identity.Address
	message.Zone = x.Identity.Zone
	x.SendPeer(e.Address, message)
}

func (x *Executor) setLeaseID(id int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.leaseID = id
}

func (x *Executor) unwatch(prefix string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if cancel, ok := x.watches[prefix]; ok {
		cancel()
		delete(x.watches, prefix)
	}
}

func (x *Executor) watch(prefix string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.watches == nil {
		x.watches = make(map[string]context.CancelFunc)
	}
	if _, ok := x.watches[prefix]; ok {
		return
	}
	ctx, cancel := context.WithCancel(x.Context)
	x.watches[prefix] = cancel
	go (&watcher{executor: x, ctx: ctx, prefix: prefix}).loop()
}

// etag returns the entity tag of the last host list of a service.
func (x *Executor) etag(service string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.etags[service]
}

func (x *Executor) setEtag(service, etag string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.etags == nil {
		x.etags = make(map[string]string)
	}
	x.etags[service] = etag
}

func (x *Executor) sinceStart() time.Duration { return x.Clock().Monotonic }
