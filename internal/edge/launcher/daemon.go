package launcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"
	"golang.org/x/sys/unix"

	"samphirewharf/internal/daemon/driver"
	"samphirewharf/internal/daemon/scribe"
	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/decision/verifier"
	"samphirewharf/internal/edge/follower"
	"samphirewharf/internal/edge/gateway"
	"samphirewharf/internal/edge/refresher"
	"samphirewharf/internal/edge/relayer"
	"samphirewharf/internal/entry/acceptor"
	"samphirewharf/internal/entry/streamer"
	"samphirewharf/internal/fleet/matcher"
	"samphirewharf/internal/peer/messenger"
)

const (
	// exitTimeout bounds how long connections may stay open after the last request of a planned stop.
	exitTimeout = 300 * time.Millisecond
	// reservedDescriptors are kept for files and for connections to servers, daemons and the store.
	reservedDescriptors = 1800
	// minConnections is the least limit of a listener's connections, however few descriptors there are.
	minConnections = 256
	// maxPeerConnections allows each of 420 daemons two connections, maxPeerMessageBytes a snapshot of the entries of 3,000 servers.
	maxPeerConnections  = 900
	maxPeerMessageBytes = 8 << 20
	// idleTimeoutMargin is added to the configured idle timeout that callers rely on, so that a request that is sent at the
	// last moment is still read.
	idleTimeoutMargin = 5 * time.Second
	// watchBatchDelay is the delay of watches after changes. serversBatchDelay is that for the servers' entries, some of which change all
	// the time with what they have loaded.
	watchBatchDelay   = 150 * time.Millisecond
	serversBatchDelay = 300 * time.Millisecond
	// defaultIdleTimeout is the idle timeout of callers' connections until a configuration is loaded.
	defaultIdleTimeout = 60 * time.Second
)

// A Daemon runs the daemon of this process. New returns one.
type Daemon struct {
	settings Settings
	platform Platform
	logger   *log.Logger
	sampler  scribe.Sampler

	ctx            context.Context //nolint:containedctx // It lives as long as the daemon.
	cancel         context.CancelFunc
	machine        *conductor.Machine
	driver         driver.Driver[conductor.Event, conductor.Effect]
	client         streamer.Client
	peers          messenger.Client
	endpoints      []*endpoint
	callerEndpoint *endpoint
	metrics        edgeMetrics
	traffic        trafficMeter
	storeMonitor   storeMonitor
	relayer        *relayer.Relayer
	// stopWatches stops the watches of the store, nil if there are none.
	stopWatches context.CancelFunc
	// send sends a message to another daemon, and clock returns the time since the host booted.
	send  func(ctx context.Context, address string, m messenger.Message) error
	clock func() (time.Duration, error)
	// startedAt is when the daemon started, as time since the host booted.
	startedAt time.Duration
	exitOnce  sync.Once
	// proofsCtx ends when requests must not wait for proofs any more, since the daemon exits.
	proofsCtx context.Context //nolint:containedctx // It lives as long as the daemon.
	endProofs context.CancelFunc

	configuration    atomic.Pointer[matcher.Configuration]
	publishedDaemons atomic.Pointer[conductor.PublishDaemons]
	// leaseID is the ID of the daemon's lease in the store, 0 if there is none.
	leaseID atomic.Int64
	// storeEpoch is the store's epoch after the last restoration that this process has seen, 0 if there was none.
	storeEpoch atomic.Int64
	exited     chan struct{}
}

// An endpoint is an address that the daemon listens on, with its server.
type endpoint struct {
	name     string
	listener net.Listener
	server   *acceptor.Server
	logger   *log.Logger
}

// New opens the listeners and returns a daemon that is ready to start.
func New(settings Settings, platform Platform, logger *log.Logger) (*Daemon, error) {
	d := &Daemon{settings: settings, platform: platform, logger: logger, clock: bootTime, exited: make(chan struct{})}
	d.send = d.peers.Send
	d.ctx, d.cancel = context.WithCancel(context.Background())
	now, err := d.clock()
	if err != nil {
		return nil, err
	}
	d.startedAt = now
	d.prepare()
	if err := d.listen(); err != nil {
		d.closeAll()
		return nil, err
	}
	return d, nil
}

// Exited returns a channel that is closed when the daemon has stopped.
func (d *Daemon) Exited() <-chan struct{} { return d.exited }

// Start starts the daemon without blocking.
func (d *Daemon) Start() {
	d.driver.Start(d.ctx)
	for _, e := range d.endpoints {
		go e.run()
	}
	go d.relayer.Run(d.ctx)
	go d.refresher().Run(d.ctx)
	d.driver.Post(conductor.Ticked{})
}

// Stop starts a planned stop. The daemon finishes its requests and stops being the leader before Exited is closed.
func (d *Daemon) Stop() { d.driver.Post(conductor.StopRequested{}) }

// prepare sets up the parts that need no network.
func (d *Daemon) prepare() {
	d.proofsCtx, d.endProofs = context.WithCancel(d.ctx)
	s := &d.settings.Conductor
	s.Self.Instance = uuid.NewString()
	s.Self.CallerAddress, s.Self.PeerAddress = d.settings.CallerAddress, d.settings.PeerAddress
	if s.Seed == 0 {
		s.Seed = rand.Uint64()
	}
	d.metrics.register(d)
	d.peers.Logger, d.peers.OnSent = d.logger, d.messageSent
	d.client.IdentityHeader = d.platform.Translator.IdentityHeader
	d.client.NotRun = d.platform.Translator.NotRun
	d.storeMonitor = storeMonitor{post: d.storeChanged, count: d.storeCalled}
	d.platform.SetObserver(d.storeMonitor.observe)
	d.platform.SetOnRestored(d.storeRestored)
	d.relayer = relayer.New(s.Self.Instance, d.handlers())
	d.relayer.Send, d.relayer.Message, d.relayer.StoreReachable = d.sendUpdate, d.newMessage, d.storeReachable
	d.relayer.Clock, d.relayer.StoreState, d.relayer.OnProved = d.now, d.storeState, d.viewProved
	d.relayer.SetMaxAges(map[string]time.Duration{
		d.platform.Entries.ConfigurationPrefix: d.settings.ConfigurationMaxAge,
		d.platform.Entries.ServersPrefix:       s.ServersMaxAge,
		follower.SharedPrefix:                  s.TakeoverDelay,
	})
	d.relayer.OnFleet, d.relayer.OnFeed, d.relayer.OnListed, d.relayer.Logger = d.fleetReceived, d.updateReceived, d.storeListed, d.logger
	d.machine = conductor.New(*s)
	d.driver = driver.Driver[conductor.Event, conductor.Effect]{
		Step: d.step, TickDelay: d.tickDelay, Tick: conductor.Ticked{}, RequestOf: requestOf, UndeliveredEvent: undeliveredEvent, Execute: d.execute, Panicked: d.panicked,
	}
}

// listen opens the daemon's listeners.
func (d *Daemon) listen() error {
	connections := max(d.settings.MaxDescriptors-reservedDescriptors, minConnections)
	limits := acceptor.Limits{MaxConnections: connections, IdleTimeout: defaultIdleTimeout, MaxBodyBytes: defaultBodyBytes}
	internalLimits := acceptor.Limits{MaxConnections: minConnections}
	for _, e := range []struct {
		name    string
		address string
		handler http.Handler
		limits  acceptor.Limits
	}{
		{"Front", d.settings.CallerAddress, d.gateway(), limits},
		{"Peer", d.settings.PeerAddress, d.peerHandler(), peerLimits()},
		{"Ready", d.settings.ReadinessAddress, d.platform.Ready(d.ready), internalLimits},
		{"Directory", d.settings.DirectoryAddress, d.platform.Directory(d.addresses), internalLimits},
	} {
		listener, err := net.Listen("tcp", e.address)
		if err != nil {
			return fmt.Errorf("listen for %s on %s: %w", e.name, e.address, err)
		}
		server := &acceptor.Server{Handler: e.handler, Limits: e.limits, Logger: d.logger}
		d.endpoints = append(d.endpoints, &endpoint{name: e.name, listener: listener, server: server, logger: d.logger})
	}
	d.callerEndpoint = d.endpoints[0]
	return nil
}

// peerLimits returns the limits for other daemons, all of which may have evidence for the same keeper or demand for the leader.
func peerLimits() acceptor.Limits {
	return acceptor.Limits{MaxConnections: maxPeerConnections, MaxBodyBytes: maxPeerMessageBytes}
}

// defaultBodyBytes bounds the body of a request until a configuration is loaded.
const defaultBodyBytes = 4 << 20

func (d *Daemon) gateway() http.Handler {
	return &gateway.Gateway{
		Name: d.settings.Conductor.Self.Name,
		Open: d.driver.Open, Close: d.driver.Close, Post: d.countAndPost, Configuration: d.configuration.Load, AwaitProofs: d.awaitProofs, ConfigurationProof: d.configurationProof, Random: rand.Float64,
		Count: d.metrics.countRequest, Translator: d.platform.Translator, Client: &d.client, Logger: d.logger,
		AllowLine: func(kind string) (omitted int, ok bool) { return d.sampler.Allow(kind, time.Now()) },
	}
}

func (d *Daemon) awaitProofs(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(d.proofsCtx, cancel)()
	return d.relayer.AwaitProofs(ctx, d.platform.Entries.ConfigurationPrefix, d.platform.Entries.ServersPrefix)
}

func (d *Daemon) configurationProof() (verifier.Proof, time.Duration) {
	proof := d.relayer.Proof(d.platform.Entries.ConfigurationPrefix)
	return proof, proof.Age(d.now())
}

func (d *Daemon) refresher() *refresher.Refresher {
	return &refresher.Refresher{Views: d.relayer, Read: d.platform.Store.Read, List: d.platform.Store.ListAnew, Now: d.now}
}

// peerHandler returns the handler for other daemons' messages and for metrics.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	peer := &messenger.Server{Receive: d.receive, Configuration: d.noConfiguration}
	mux.Handle(messenger.PathPrefix+"/", peer.Handler())
	mux.HandleFunc("/metrics", d.metrics.serve)
	return mux
}

func (d *Daemon) receive(m messenger.Message) {
	switch {
	case m.Subscribe != nil:
		d.relayer.HandleSubscribe(m.Address, m.Subscribe)
		d.post(conductor.Subscribed{From: m.From})
	case m.Feed != nil:
		d.relayer.HandleFeed(m.From, m.Feed)
		if m.Feed.Evidence != nil {
			d.post(conductor.PeerReceived{Message: messenger.Message{From: m.From, Feed: &messenger.Feed{Evidence: m.Feed.Evidence}}})
		}
	default:
		d.post(conductor.PeerReceived{Message: m})
	}
}

func (d *Daemon) storeReachable() bool { return d.storeMonitor.health.reachable(time.Now()) }

func (d *Daemon) viewProved(prefix string, proof verifier.Proof) {
	if prefix == d.platform.Entries.ServersPrefix {
		d.post(conductor.ServersProved{Proof: proof})
	}
}

func (d *Daemon) storeState() verifier.Store {
	now := time.Now()
	return verifier.Store{Lost: !d.storeMonitor.health.reachable(now), Silent: !d.storeMonitor.health.answers(now)}
}

// storeRestored records that the store was restored from a copy, which lacks its last changes.
func (d *Daemon) storeRestored(epoch int64) {
	d.storeEpoch.Store(epoch)
	d.logger.Warn().Int64("Epoch", epoch).Msg("store was restored from a copy")
}

func (d *Daemon) updateReceived(from string, fresh bool) {
	d.post(conductor.UpdatesReceived{From: from, Fresh: fresh})
}

// storeChanged handles that the store was lost or reached again.
func (d *Daemon) storeChanged(event conductor.Event) {
	if _, ok := event.(conductor.StoreLost); ok {
		d.relayer.StoreLost()
	}
	d.post(event)
}

func (d *Daemon) storeListed() { d.post(conductor.StoreListed{}) }

// announce tells other daemons that this one is up to date by its own watches, if it is.
func (d *Daemon) announce(addresses []string) {
	feed := d.relayer.Announcement()
	if feed == nil {
		return
	}
	for _, address := range addresses {
		m := d.newMessage()
		m.Feed = feed
		d.sendPeer(address, m)
	}
}

func (d *Daemon) fleetReceived(from string, fleet *messenger.Fleet) {
	d.post(conductor.PeerReceived{Message: messenger.Message{From: from, Fleet: fleet}})
}

// newMessage returns an empty message of this daemon.
func (d *Daemon) newMessage() messenger.Message {
	self := d.settings.Conductor.Self
	return messenger.Message{From: self.Name, Instance: self.Instance, Address: self.PeerAddress, Zone: self.Zone}
}

// sendUpdate sends an update to a subscriber.
func (d *Daemon) sendUpdate(address string, m messenger.Message) error {
	return d.send(d.ctx, address, m)
}

// sendPeer sends a message to another daemon; it may be lost.
func (d *Daemon) sendPeer(address string, m messenger.Message) {
	if err := d.send(d.ctx, address, m); err != nil && d.ctx.Err() == nil {
		d.logger.Warn().Err(err).Str("Address", address).Msg("message to another daemon was dropped")
	}
}

// noConfiguration answers other daemons' requests for a configuration: here, configurations come from the operators'
// entries in the store.
func (d *Daemon) noConfiguration(int64) (version int64, chunks [][]byte) { return 0, nil }

// handlers returns the handlers for the entries of the store.
func (d *Daemon) handlers() []relayer.Handler {
	p := &follower.EventPoster{
		Post: d.post, DecodeServer: d.platform.Entries.DecodeServer, DecodeConfiguration: d.platform.Entries.DecodeConfiguration,
		OnConfiguration: d.setConfiguration, ConfigurationKey: d.platform.Entries.ConfigurationKey, ServerID: d.platform.Entries.ServerID,
		Logger: d.logger,
	}
	return []relayer.Handler{
		{Prefix: d.platform.Entries.ConfigurationPrefix, Listed: p.ConfigurationListed, Changed: p.ConfigurationChanged, Removed: p.ConfigurationRemoved},
		{Prefix: d.platform.Entries.ServersPrefix, Listed: p.ServersListed, Changed: p.ServerChanged, Removed: p.ServerRemoved},
		{Prefix: follower.SharedPrefix, Listed: p.DaemonsListed, Changed: p.DaemonChanged, Removed: p.DaemonRemoved},
	}
}

// follow starts or stops the watches of the store. Only the driver's goroutine calls it.
func (d *Daemon) follow(on bool) {
	if d.stopWatches != nil {
		d.stopWatches()
		d.stopWatches = nil
	}
	d.relayer.Follow(on)
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	d.stopWatches = cancel
	for _, h := range d.handlers() {
		wrapped := d.relayer.Wrap(h)
		f := &follower.Follower{
			Prefix: h.Prefix, BatchDelay: watchBatchDelay, List: d.platform.Store.List, Poll: d.platform.Store.Poll,
			Wait: func() time.Duration { return d.relayer.Wait(h.Prefix) },
			Now:  d.now, Proved: func(at time.Duration) { d.relayer.Proved(h.Prefix, at) },
			Listed: wrapped.Listed, Changed: wrapped.Changed, Removed: wrapped.Removed, Logger: d.logger,
		}
		if h.Prefix == d.platform.Entries.ServersPrefix {
			f.BatchDelay = serversBatchDelay
		}
		go f.Run(ctx)
	}
}

// setConfiguration makes a configuration the current one for new requests, unless the current one is as new or newer.
func (d *Daemon) setConfiguration(c *matcher.Configuration) {
	for {
		current := d.configuration.Load()
		if current != nil && current.Version >= c.Version {
			return
		}
		if d.configuration.CompareAndSwap(current, c.WithNumbersOf(current)) {
			d.setIdleTimeout(c.Limits.IdleTimeout)
			return
		}
	}
}

// setIdleTimeout sets the idle timeout of callers' connections to the configured one plus idleTimeoutMargin.
func (d *Daemon) setIdleTimeout(timeout time.Duration) {
	if timeout > 0 {
		d.callerEndpoint.server.SetIdleTimeout(timeout + idleTimeoutMargin)
	}
}

func (d *Daemon) post(event conductor.Event) { d.driver.Post(event) }

// countAndPost counts the ends of attempts among the gateway's events, and posts all of them.
func (d *Daemon) countAndPost(event conductor.Event) {
	d.metrics.countAttempt(event)
	d.post(event)
}

// droppedLines returns the number of log lines that were dropped because the buffer was full.
func (d *Daemon) droppedLines() uint64 {
	if d.settings.DroppedLines == nil {
		return 0
	}
	return d.settings.DroppedLines()
}

func (d *Daemon) step(event conductor.Event) []conductor.Effect {
	return d.machine.Step(d.now(), event)
}

func (d *Daemon) tickDelay() time.Duration { return d.machine.NextWake() - d.now() }

// now returns the time since the daemon started. Unlike the monotonic clock of the Go runtime, it includes the time for
// which the host was suspended.
func (d *Daemon) now() time.Duration {
	now, err := d.clock()
	if err != nil {
		d.logger.Error().Err(err).Msg("clock can't be read")
	}
	return now - d.startedAt
}

func bootTime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, fmt.Errorf("read clock: %w", err)
	}
	return time.Duration(ts.Nano()), nil
}

func (d *Daemon) ready() bool {
	p := d.publishedDaemons.Load()
	return p != nil && p.Ready
}

// addresses returns the addresses for callers in a zone, and how long callers may cache them.
func (d *Daemon) addresses(zone string) ([]string, time.Duration) {
	p := d.publishedDaemons.Load()
	if p == nil {
		return nil, 0
	}
	return conductor.Addresses(p.Daemons, zone), d.settings.Conductor.AddressTTL
}

func (d *Daemon) closeAll() {
	for _, e := range d.endpoints {
		_ = e.listener.Close()
	}
}

// run accepts connections until the endpoint is stopped.
func (e *endpoint) run() {
	if err := e.server.Serve(e.listener); err != nil {
		e.logger.Error().Err(err).Str("Endpoint", e.name).Msg("listener failed")
	}
}
