package prover_test

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/peer/messenger"
)

// orderGap is the delay between the expiry check of an order and its sending.
const orderGap = 100 * time.Microsecond

// A process is one daemon process: a reducer and the executor of its effects.
type process struct {
	w        *World
	name     string
	instance string
	machine  *reducer.Machine
	started  time.Duration
	frozen   bool
	dead     bool
	// resumedAt is when the process last resumed, at first when it started.
	resumedAt time.Duration
	// inbox contains the functions to run once the frozen process resumes.
	inbox []func()
	// backlog contains the calls that arrived while the process was frozen.
	backlog []*call
	// freezeAfterCheck freezes the process between the expiry check of its next load order and the sending.
	freezeAfterCheck bool
	// freezeBeforeCheck freezes the process before the expiry check of its next load order.
	freezeBeforeCheck bool
	// timerNumber identifies the current timer; wakeAt is when it fires, zero if none is set.
	timerNumber int
	wakeAt      time.Duration
	lease       int64
	// swaps contains the key of each write, by operation.
	swaps     map[reducer.OpID]string
	watches   map[string]*watch
	catalog   *cataloger.Catalog
	nextID    reducer.RequestID
	exchanges map[reducer.RequestID]*exchange
}

// startDaemon starts a process of a daemon. Its instance is a UUID of version 7, so later processes sort after earlier ones.
func (w *World) startDaemon(name string) {
	p := &process{w: w, name: name, started: w.now, resumedAt: w.now, watches: make(map[string]*watch), swaps: make(map[reducer.OpID]string), exchanges: make(map[reducer.RequestID]*exchange)}
	var id uuid.UUID
	milliseconds := epoch.Add(w.now).UnixMilli()
	for i := range 6 {
		id[i] = byte(milliseconds >> (40 - 8*i))
	}
	for i := 6; i < 16; i++ {
		id[i] = byte(w.rng.Uint32())
	}
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	p.instance = id.String()
	p.machine = reducer.New(reducer.Settings{
		Daemon: name, Instance: p.instance, Address: name, Zone: zoneOf(name), Region: "r", Seed: w.rng.Uint64(), DrainTime: 4 * time.Second,
	})
	w.processes[name] = p
	w.logf("%s starts", name)
	p.after(0, func() { p.step(reducer.Ticked{}) })
}

func zoneOf(name string) string { return []string{"z1", "z2"}[int(name[len(name)-1])%2] }

// after runs a function after a delay. It waits while the process is frozen and drops the function once the process
// has ended.
func (p *process) after(delay time.Duration, run func()) {
	p.w.after(delay, func() { p.deliver(run) })
}

// deliver runs a function, or queues it while the process is frozen.
func (p *process) deliver(run func()) {
	switch {
	case p.dead:
	case p.frozen:
		p.inbox = append(p.inbox, run)
	default:
		run()
	}
}

func (p *process) moment() reducer.Moment {
	return reducer.Moment{Monotonic: p.w.now - p.started, Wall: epoch.Add(p.w.now)}
}

// step passes an event to the reducer and executes its effects.
func (p *process) step(event reducer.Event) {
	if p.dead {
		return
	}
	event, ok := p.w.mutation.mutateEvent(p, event)
	if !ok {
		return
	}
	effects := slices.Clone(p.machine.Step(p.moment(), event))
	for _, effect := range p.w.mutation.mutateEffects(p, effects) {
		p.execute(effect)
	}
	p.scheduleWake()
}

// scheduleWake sets a timer for the reducer's next wake-up.
func (p *process) scheduleWake() {
	at := max(p.machine.NextWake()+p.started, p.w.now+time.Millisecond)
	if p.wakeAt > p.w.now && p.wakeAt <= at {
		return
	}
	p.wakeAt = at
	p.timerNumber++
	number := p.timerNumber
	p.after(at-p.w.now, func() {
		if p.timerNumber == number {
			p.wakeAt = 0
			p.step(reducer.Ticked{})
		}
	})
}

func (p *process) freeze() {
	p.frozen = true
	p.w.logf("%s is frozen", p.name)
}

func (p *process) resume() {
	if !p.frozen {
		return
	}
	p.frozen = false
	p.resumedAt = p.w.now
	p.w.logf("%s resumes", p.name)
	for len(p.inbox) > 0 && !p.frozen && !p.dead {
		run := p.inbox[0]
		p.inbox = p.inbox[1:]
		run()
	}
}

// crash ends the process. Messages that it has sent may still arrive.
func (p *process) crash() {
	p.dead = true
	p.w.logf("%s crashes", p.name)
	for _, id := range sortedIDs(p.exchanges) {
		p.exchanges[id].abort()
	}
	for _, c := range p.backlog {
		if c.x == nil {
			c.end("unreachable", refuser.Refusal{})
		}
	}
}

func (p *process) storeCall(c storeCall, then func(storeAnswer)) {
	p.w.store.call(p.name, c, func(a storeAnswer) { p.deliver(func() { then(a) }) })
}

// execute carries out an effect like the daemon's executor and responder.
func (p *process) execute(effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.StoreGet:
		p.storeCall(storeCall{kind: callGet, key: e.Key}, func(a storeAnswer) {
			p.step(reducer.StoreGot{Op: e.Op, Result: a.result, Entry: a.entry})
		})
	case reducer.StoreSwap:
		p.swap(e)
	case reducer.StoreDelete:
		p.storeCall(storeCall{kind: callDelete, key: e.Key, revision: e.Revision}, func(a storeAnswer) {
			p.step(reducer.StoreSwapped{Op: e.Op, Result: a.result})
		})
	case reducer.StoreList:
		p.storeCall(storeCall{kind: callList, key: e.Prefix}, func(a storeAnswer) {
			p.step(reducer.StoreListed{Op: e.Op, Result: a.result, Entries: a.entries, Revision: a.revision})
		})
	case reducer.StoreWatch:
		if p.watches[e.Prefix] == nil {
			x := &watch{p: p, prefix: e.Prefix, revisions: make(map[string]int64), interrupted: true}
			p.watches[e.Prefix] = x
			x.refresh()
		}
	case reducer.StoreUnwatch:
		delete(p.watches, e.Prefix)
	case reducer.LeaseRenew:
		p.renew(e)
	case reducer.LeaseRevoke:
		p.storeCall(storeCall{kind: callRevoke, lease: p.lease}, func(storeAnswer) {})
	case reducer.ListHosts:
		p.listHosts(e.Service)
	case reducer.PollServer:
		p.poll(e)
	case reducer.SendOrder:
		p.sendOrder(e)
	case reducer.SendPeer:
		p.sendPeer(e)
	case reducer.LoadConfiguration:
		p.loadConfiguration(e)
	case reducer.Noted:
		p.noted(e)
	case reducer.PlacementDecided:
		p.w.logf("%s decided %s %s %s on %s: %s", p.name, e.Action, e.Deployment, e.Replica, e.Server, e.Reason)
	case reducer.Exit:
		p.exit()
	default:
		p.executeRequest(effect)
	}
}

func (p *process) exit() {
	if p.w.oracle.observeExit(p); !p.dead {
		p.crash()
	}
}

func (p *process) noted(e reducer.Noted) {
	p.w.logf("%s: %s %s %s", p.name, e.Message, e.Subject, e.Detail)
	if catalog, ok := p.w.configs[e.Subject]; ok && e.Message == "configuration in force" {
		p.w.oracle.observeConfiguration(p, catalog.Version())
		p.catalog = catalog
	}
}

func (p *process) swap(e reducer.StoreSwap) {
	p.swaps[e.Op] = e.Key
	c := storeCall{kind: callSwap, key: e.Key, value: e.Value, revision: e.Revision}
	if e.Leased {
		c.lease = p.lease
		if c.lease == 0 {
			p.after(0, func() { p.step(reducer.StoreSwapped{Op: e.Op, Result: storer.ResultNotSent}) })
			return
		}
	}
	p.storeCall(c, func(a storeAnswer) {
		if e.Leased && a.result == storer.ResultNotFound {
			p.lease = 0
		}
		p.step(reducer.StoreSwapped{Op: e.Op, Result: a.result, Revision: a.entry.Revision})
	})
}

func (p *process) renew(e reducer.LeaseRenew) {
	sent := p.moment().Monotonic
	grant := func() {
		sent := p.moment().Monotonic
		p.storeCall(storeCall{kind: callGrant, ttl: e.TimeToLive}, func(a storeAnswer) {
			if a.result == storer.ResultOK {
				p.lease = a.lease
			}
			p.step(reducer.LeaseRenewed{SentAt: sent, Result: a.result, Lost: true})
		})
	}
	if p.lease == 0 {
		grant()
		return
	}
	p.storeCall(storeCall{kind: callKeepAlive, lease: p.lease, ttl: e.TimeToLive}, func(a storeAnswer) {
		if a.result != storer.ResultOK || a.alive {
			p.step(reducer.LeaseRenewed{SentAt: sent, Result: a.result})
			return
		}
		grant()
	})
}

func (p *process) listHosts(service string) {
	w := p.w
	sent := p.moment().Monotonic
	if w.hostsDown || !w.reaches(p.name, "hosts") {
		p.after(callTimeout, func() { p.step(reducer.HostsListed{Service: service, SentAt: sent}) })
		return
	}
	p.after(w.delay(), func() {
		p.step(reducer.HostsListed{Service: service, SentAt: sent, OK: true, Hosts: w.hostList(service)})
	})
}

func (p *process) poll(e reducer.PollServer) {
	w := p.w
	sent := p.moment().Monotonic
	s := w.servers[e.Server]
	fail := func() { p.step(reducer.ServerPolled{Server: e.Server, SentAt: sent}) }
	if !w.reaches(p.name, e.Server) {
		p.after(callTimeout, fail)
		return
	}
	w.after(w.delay(), func() {
		if s.dead {
			p.after(w.delay(), fail)
			return
		}
		answer := reducer.ServerPolled{Server: e.Server, OK: true, SentAt: sent}
		if !e.ConnectOnly {
			answer.Report = s.report(e.Checkpoints)
		}
		p.after(w.delay(), func() { p.step(answer) })
	})
}

// sendOrder checks whether an order has expired, then sends it. The process may be frozen in between.
func (p *process) sendOrder(e reducer.SendOrder) {
	ended := func(o orderer.Outcome, fence int64) {
		p.step(reducer.OrderEnded{OrderID: e.Order.OrderID, Server: e.Server, Outcome: o, Fence: fence})
	}
	if p.freezeBeforeCheck && e.Order.Kind == orderer.KindLoad {
		p.freezeBeforeCheck = false
		p.freeze()
	}
	p.after(orderGap, func() {
		if p.moment().Monotonic > e.Expires && !p.w.mutation.ignoreExpiry {
			ended(orderer.OutcomeNotSent, 0)
			return
		}
		if p.freezeAfterCheck && e.Order.Kind == orderer.KindLoad {
			p.freezeAfterCheck = false
			p.freeze()
		}
		checked := p.w.now
		p.after(orderGap, func() {
			p.w.oracle.observeOrder(p.w.servers[e.Server], e.Order, p.resumedAt > checked)
			p.w.servers[e.Server].receive(p, e.Order, ended)
		})
	})
}

func (p *process) sendPeer(e reducer.SendPeer) {
	w := p.w
	m := e.Message
	m.From, m.Instance, m.Address, m.Zone, m.Region = p.name, p.instance, p.name, zoneOf(p.name), "r"
	if w.chance(w.peerLoss) || !w.reaches(p.name, e.Daemon) {
		return
	}
	copies := 1
	if w.chance(w.peerDuplicates) {
		copies = 2
	}
	for range copies {
		w.after(w.delay()+w.randomDuration(w.peerDelay), func() { w.receivePeer(e.Daemon, m) })
	}
}

func (w *World) receivePeer(daemon string, m messenger.Message) {
	if to := w.process(daemon); to != nil {
		to.deliver(func() { to.step(reducer.PeerReceived{Message: m}) })
	}
}

func (w *World) randomDuration(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(w.rng.Int64N(int64(limit)))
}

func (p *process) loadConfiguration(e reducer.LoadConfiguration) {
	w := p.w
	if e.PeerAddress == "" {
		p.storeCall(storeCall{kind: callGet, key: headKey}, func(a storeAnswer) {
			loaded := reducer.ConfigurationLoaded{Revision: a.entry.Revision}
			if a.result == storer.ResultOK {
				loaded.Catalog = w.catalog(a.entry.Value)
			}
			p.step(loaded)
		})
		return
	}
	peer := w.process(e.PeerAddress)
	if peer == nil || peer.dead || peer.frozen || !w.reaches(p.name, peer.name) {
		p.after(callTimeout, func() { p.step(reducer.ConfigurationLoaded{}) })
		return
	}
	catalog := peer.catalog
	p.after(w.delay(), func() { p.step(reducer.ConfigurationLoaded{Catalog: catalog}) })
}
