// Package assembler assembles a daemon: the reducer with its driver and executor, the callers' interface and the
// transport between daemons.
package assembler

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/phuslu/log"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/config/versioner"
	"samphirewharf/internal/daemon/driver"
	"samphirewharf/internal/daemon/executor"
	"samphirewharf/internal/daemon/recorder"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/entry/acceptor"
	"samphirewharf/internal/entry/responder"
	"samphirewharf/internal/external/lister"
	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/peer/messenger"
)

// Settings are the settings of one daemon.
type Settings struct {
	// Daemon is the daemon's ID, which is unique among the running daemons.
	Daemon string
	// Listen is the IP and port to listen on; port 0 selects a free one.
	Listen string
	// Advertise is the IP and port that callers and other daemons use; empty means the address listened on.
	Advertise string
	Zone      string
	Region    string
	// StoreAddress and HostsAddress are the IPs and ports of the key-value service and the host list.
	StoreAddress string
	HostsAddress string
	// StoreTimeout bounds a call to the key-value service; zero means its client's default.
	StoreTimeout time.Duration
	// DrainTime is the minimum time for which a stopping daemon accepts new requests.
	DrainTime time.Duration
	// MaxRequests bounds the number of open requests; zero means the reducer's default.
	MaxRequests int
	// Seed seeds random choices; zero means a random seed.
	Seed uint64
	// Limits are the limits for callers.
	Limits acceptor.Limits
	Logger *log.Logger
	// Record receives all events, for replays; nil means that they are not recorded.
	Record io.Writer
}

// A Daemon is one running entry daemon. Use New to create one.
type Daemon struct {
	settings Settings
	address  string
	instance string
	started  time.Time

	ctx       context.Context //nolint:containedctx // It spans the daemon's lifetime.
	cancel    context.CancelFunc
	listener  net.Listener
	server    *acceptor.Server
	machine   *reducer.Machine
	driver    driver.Driver[reducer.Event, reducer.Effect]
	executor  executor.Executor
	peers     messenger.Client
	fetcher   fetcher
	decisions decisionLog
	gauges    *metrics.Set
	recorder  *recorder.Recorder

	catalog atomic.Pointer[cataloger.Catalog]
	// exiting is true once the daemon is exiting; exited is closed when it has exited.
	exiting atomic.Bool
	exited  chan struct{}
}

// New opens the listener and returns a daemon that is ready to start.
func New(settings Settings) (*Daemon, error) {
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", settings.Listen, err)
	}
	if settings.Logger == nil {
		settings.Logger = &log.DefaultLogger
	}
	if settings.Seed == 0 {
		settings.Seed = rand.Uint64()
	}
	d := &Daemon{
		settings: settings,
		address:  settings.Advertise,
		instance: newInstance(),
		started:  time.Now(),
		listener: listener,
		exited:   make(chan struct{}),
	}
	if d.address == "" {
		d.address = listener.Addr().String()
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	if err := d.assemble(); err != nil {
		_ = listener.Close()
		return nil, err
	}
	return d, nil
}

// newInstance returns a process ID that includes the time, so that the later of two instances can be identified.
func newInstance() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// Address returns the IP and port that callers use.
func (d *Daemon) Address() string { return d.address }

// Exited returns a channel that is closed when the daemon has exited.
func (d *Daemon) Exited() <-chan struct{} { return d.exited }

// Kill ends the daemon immediately, as if its process had died.
func (d *Daemon) Kill() {
	d.cancel()
	_ = d.listener.Close()
	stopped, cancel := context.WithCancel(context.Background())
	cancel()
	_ = d.server.Stop(stopped)
	d.driver.Wait()
}

// Start starts serving.
func (d *Daemon) Start() {
	d.driver.Start(d.ctx)
	go d.run()
}

// Stop starts a planned stop: requests are finished and roles are handed over before the channel of Exited is closed.
func (d *Daemon) Stop() { d.driver.Post(reducer.StopRequested{}) }

func (d *Daemon) assemble() error {
	s := d.settings
	store := &storer.Client{Address: s.StoreAddress, Timeout: s.StoreTimeout}
	d.peers.Logger = s.Logger
	d.registerMetrics()
	d.fetcher.versioner.Store = versioner.NewStore(store)
	d.fetcher.fromPeer = d.exchanger().fetch
	d.decisions = decisionLog{logger: s.Logger}
	reducerSettings := reducer.Settings{
		Daemon: s.Daemon, Instance: d.instance, Address: d.address, Zone: s.Zone, Region: s.Region,
		Seed: s.Seed, DrainTime: s.DrainTime, MaxRequests: s.MaxRequests,
	}
	if s.Record != nil {
		r, err := recorder.New(s.Record, reducerSettings)
		if err != nil {
			return err
		}
		d.recorder = r
	}
	d.machine = reducer.New(reducerSettings)
	d.driver = driver.Driver[reducer.Event, reducer.Effect]{
		Step:             d.step,
		TickDelay:        d.tickDelay,
		Tick:             reducer.Ticked{},
		RequestOf:        requestOf,
		UndeliveredEvent: undeliveredEvent,
		Execute:          d.executor.Execute,
	}
	d.executor = executor.Executor{
		Context: d.ctx, Post: d.driver.Post, Clock: d.clock, Logger: s.Logger,
		Store:              store,
		Hosts:              &lister.Client{Address: s.HostsAddress},
		Engine:             &orderer.Client{},
		CanConnect:         canConnect,
		SendPeer:           d.sendPeer,
		FetchConfiguration: d.fetcher.fetch,
		Exit:               d.exit,
		Identity: messenger.Message{
			From: s.Daemon, Instance: d.instance, Address: d.address, Zone: s.Zone, Region: s.Region,
		},
	}
	d.server = &acceptor.Server{Handler: d.responder(), Limits: s.Limits, Logger: s.Logger}
	return nil
}

func (d *Daemon) responder() *responder.Responder {
	return &responder.Responder{
		Open:         d.driver.Open,
		Close:        d.driver.Close,
		Post:         d.driver.Post,
		Catalog:      d.catalog.Load,
		Ready:        d.ready,
		WriteMetrics: d.writeMetrics,
		PeerHandler:  (&messenger.Server{Receive: d.receive, Configuration: d.exchanger().configuration}).Handler(),
		Daemon:       d.settings.Daemon,
		Logger:       d.settings.Logger,
	}
}

// clock returns the current time. It advances while the process is frozen.
func (d *Daemon) clock() reducer.Moment {
	return reducer.Moment{Monotonic: time.Since(d.started), Wall: time.Now()}
}

func (d *Daemon) exchanger() exchanger { return exchanger{client: &d.peers, current: d.catalog.Load} }

// exit starts the exit once, even if the reducer asks for it repeatedly.
func (d *Daemon) exit() {
	if d.exiting.CompareAndSwap(false, true) {
		go exit{daemon: d}.run()
	}
}

// observe stores the configuration in force for the callers' interface, and logs and records decisions.
func (d *Daemon) observe(now reducer.Moment, event reducer.Event, effects []reducer.Effect) {
	if e, ok := event.(reducer.ConfigurationLoaded); ok && e.Catalog != nil {
		current := d.catalog.Load()
		if current == nil || current.Version() < e.Catalog.Version() {
			d.catalog.Store(e.Catalog)
		}
	}
	d.decisions.observe(event, effects)
	countPlacement(effects)
	if d.recorder != nil {
		d.recorder.Record(now, event, effects)
	}
}

// tickDelay returns how long the reducer can wait without an event.
func (d *Daemon) tickDelay() time.Duration { return d.machine.NextWake() - d.clock().Monotonic }

// step passes one event to the reducer.
func (d *Daemon) step(event reducer.Event) []reducer.Effect {
	now := d.clock()
	effects := d.machine.Step(now, event)
	d.observe(now, event, effects)
	return effects
}

func (d *Daemon) receive(m messenger.Message) { d.driver.Post(reducer.PeerReceived{Message: m}) }

func (d *Daemon) ready() bool { return d.catalog.Load() != nil }

// An exit is the end of a planned stop.
type exit struct{ daemon *Daemon }

// run closes the server and ends the daemon.
func (e exit) run() {
	d := e.daemon
	ctx, cancel := context.WithTimeout(context.Background(), exitTimeout)
	defer cancel()
	if err := d.server.Stop(ctx); err != nil {
		d.settings.Logger.Warn().Err(err).Msg("closed connections that were still open at exit")
	}
	d.cancel()
	d.driver.Wait()
	close(d.exited)
}

// run accepts connections until the daemon ends.
func (d *Daemon) run() {
	if err := d.server.Serve(d.listener); err != nil && d.ctx.Err() == nil {
		d.settings.Logger.Error().Err(err).Msg("listener failed")
	}
}

func (d *Daemon) sendPeer(address string, message messenger.Message) {
	if err := d.peers.Send(d.ctx, address, message); err != nil && d.ctx.Err() == nil {
		d.settings.Logger.Warn().Err(err).Str("Address", address).Msg("could not send a message to another daemon; dropping it")
	}
}

// canConnect reports whether a server accepts connections.
func canConnect(ctx context.Context, address string) bool {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// exitTimeout bounds how long connections may stay open after the last request of a planned stop.
const exitTimeout = 10 * time.Second
