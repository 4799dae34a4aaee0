package regulator

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// A network plays daemons that exchange asks and grants in virtual time, beside one ideal bucket for each workspace.
type network struct {
	now      time.Duration
	queue    eventQueue
	events   int
	rng      *rand.Rand
	settings Settings
	nodes    []*node
	quotas   map[string]Quota
	// sizeFactors multiply what the requests of a workspace count, where they are set.
	sizeFactors map[string]float64
	// ideals hold the ideal buckets, offered what they admitted, spends what the daemons did.
	ideals   map[string]*ideal
	admitted map[string]float64
	spends   map[string][]spend
	denied   []denial
	// loss is the share of messages that are lost, delay the longest time that a message takes, twice the share that come twice.
	loss   float64
	twice  float64
	delay  time.Duration
	asks   int
	nextID uint64
	// storeSilent reports whether the store answers no node.
	storeSilent bool
	// revision is that of the registered daemons.
	revision int64
}

type denial struct{ at, delay time.Duration }

type spend struct {
	at   time.Duration
	size float64
}

// An ideal is the bucket that one daemon with all requests would have.
type ideal struct {
	level float64
	at    time.Duration
}

// A node is one daemon of a network.
type node struct {
	name     string
	instance int
	number   int
	keeper   *Keeper
	spender  *Spender
	standing Standing
	// names is the node's view of the registered daemons, of a revision; registered is what the store has.
	names      []string
	revision   int64
	registered bool
	leaseUntil time.Duration
	down       bool
	frozen     time.Duration
	inbox      []func()
	// cut reports whether the node reaches neither the store nor other nodes.
	cut   bool
	sizes map[uint64]float64
}

type event struct {
	at     time.Duration
	number int
	do     func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].number, q[j].number)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

const (
	testTick = 50 * time.Millisecond
	testTTL  = 2 * time.Second
)

func newNetwork(nodes int, seed uint64, quotas map[string]Quota) *network {
	n := &network{
		rng: rand.New(rand.NewPCG(seed, seed)), quotas: quotas, settings: Settings{Window: 8 * time.Second, Overage: 0.1},
		ideals: make(map[string]*ideal), admitted: make(map[string]float64), spends: make(map[string][]spend), delay: 4 * time.Millisecond,
	}
	for i := range nodes {
		d := &node{name: fmt.Sprintf("d%03d", i), number: i, registered: true}
		n.nodes = append(n.nodes, d)
		n.start(d)
	}
	n.publish(0)
	n.run(4 * time.Second)
	n.now = 4 * time.Second
	return n
}

func (n *network) after(delay time.Duration, do func()) {
	n.events++
	heap.Push(&n.queue, event{at: n.now + delay, number: n.events, do: do})
}

func (n *network) run(duration time.Duration) {
	for end := n.now + duration; len(n.queue) > 0 && n.queue[0].at <= end; {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.do()
	}
}

func (n *network) start(d *node) {
	d.instance++
	d.keeper = NewKeeper(n.settings)
	d.spender = &Spender{Name: fmt.Sprint(d.name, "/", d.instance), Pause: PauseFor(len(n.nodes))}
	d.standing, d.sizes = Standing{}, make(map[uint64]float64)
	d.down, d.leaseUntil = false, n.now+testTTL
	n.see(d, n.registered(), n.revision)
	n.tick(d, d.instance)
}

// registered returns the names of the daemons that the store has.
func (n *network) registered() []string {
	var names []string
	for _, d := range n.nodes {
		if d.registered {
			names = append(names, d.name)
		}
	}
	return names
}

// publish passes a change of the registered daemons to all that reach the store.
func (n *network) publish(delay time.Duration) {
	n.revision++
	names, revision := n.registered(), n.revision
	for _, d := range n.nodes {
		n.after(time.Duration(n.rng.Int64N(int64(delay)+1)), func() {
			if !d.cut {
				n.step(d, func() { n.see(d, names, revision) })
			}
		})
	}
}

func (n *network) see(d *node, names []string, revision int64) {
	if revision < d.revision || slices.Equal(names, d.names) {
		return
	}
	old := d.names
	d.names, d.revision = names, revision
	d.keeper.DaemonsChanged(n.now, func(workspace string) bool {
		before, _ := Keepers(old, workspace)
		after, _ := Keepers(names, workspace)
		return before == d.name && after == d.name
	})
}

// tick renews the lease of a node and does what is due there.
func (n *network) tick(d *node, instance int) {
	if d.instance != instance || d.down {
		return
	}
	n.step(d, func() {
		if !d.cut && !n.storeSilent {
			d.leaseUntil = n.now + testTTL
			if !d.registered {
				d.registered = true
				n.publish(300 * time.Millisecond)
			}
			if d.revision < n.revision {
				n.see(d, n.registered(), n.revision)
			}
		}
		if n.now >= d.standing.NextAt(d.leaseUntil) {
			n.inquire(d)
		}
	})
	n.after(testTick, func() { n.tick(d, instance) })
	if d.cut || d.frozen > 0 {
		n.expireLease(d)
	}
}

// expireLease has the store drop a node that does not renew its lease.
func (n *network) expireLease(d *node) {
	n.after(testTTL+testTick, func() {
		if d.registered && !n.storeSilent && n.now >= d.leaseUntil && (d.down || d.cut || d.frozen > 0) {
			d.registered = false
			n.publish(300 * time.Millisecond)
		}
	})
}

func (n *network) inquire(d *node) {
	var others []*node
	for _, o := range n.nodes {
		if o != d && slices.Contains(d.names, o.name) {
			others = append(others, o)
		}
	}
	n.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), InquiryDaemons)]
	number := d.standing.Inquire(n.now, len(others))
	for _, o := range others {
		n.send(d, o, func() {
			registered, revision := slices.Contains(o.names, d.name), o.revision
			n.send(o, d, func() { d.standing.Answered(number, registered, revision) })
		})
	}
}

// step handles an event at a node, once it is not frozen, and carries out what follows from it.
func (n *network) step(d *node, do func()) {
	switch {
	case d.down:
		return
	case d.frozen > n.now:
		d.inbox = append(d.inbox, do)
		return
	}
	d.keeper.Advance(n.now)
	do()
	d.spender.Tick(n.now)
	n.finish(d)
	if at, ok := d.spender.NextAt(); ok && at > n.now {
		n.after(at-n.now, func() { n.step(d, func() {}) })
	}
}

func (n *network) finish(d *node) {
	for {
		asks, results := d.spender.TakeAsks(), d.spender.TakeResults()
		if len(asks)+len(results) == 0 {
			return
		}
		for _, r := range results {
			switch r.Outcome {
			case Granted:
				n.spend(r.Workspace, d.sizes[r.Request])
			case Denied:
				n.denied = append(n.denied, denial{at: n.now, delay: r.RetryAfter})
			case Waiting, Unanswered:
			}
			delete(d.sizes, r.Request)
		}
		for _, o := range asks {
			n.ask(d, o.Ask)
		}
	}
}

func (n *network) spend(workspace string, size float64) {
	n.spends[workspace] = append(n.spends[workspace], spend{at: n.now, size: size})
}

// keeperNames returns the keepers of a workspace as a node sees them.
func (n *network) keeperNames(d *node, workspace string) (first, second string) {
	names := d.names
	if !d.standing.Holds(n.now, d.leaseUntil) {
		names = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == d.name })
	}
	return Keepers(names, workspace)
}

func (n *network) ask(d *node, ask Ask) {
	name, second := n.keeperNames(d, ask.Workspace)
	if ask.Fallback {
		name = second
	}
	n.asks++
	for _, o := range n.nodes {
		if o.name == name {
			n.send(d, o, func() { n.answer(d, o, ask, false) })
		}
	}
}

func (n *network) answer(d, o *node, ask Ask, forwarded bool) {
	first, second := n.keeperNames(o, ask.Workspace)
	keeps := first == o.name
	if !keeps && !ask.Fallback && !forwarded {
		for _, k := range n.nodes {
			if k.name == first {
				n.send(o, k, func() { n.answer(d, k, ask, true) })
			}
		}
		return
	}
	if !keeps && second != o.name {
		return
	}
	if g, ok := o.keeper.Answer(n.now, ask, Quota{}, keeps); ok {
		instance := d.instance
		n.send(o, d, func() {
			if d.instance == instance {
				d.spender.Receive(n.now, g)
			}
		})
	}
}

// send passes a message, which may be lost, delayed or come twice.
func (n *network) send(from, to *node, do func()) {
	if from == to {
		do()
		return
	}
	copies := 1
	if n.rng.Float64() < n.twice {
		copies++
	}
	for range copies {
		if n.rng.Float64() < n.loss {
			continue
		}
		n.after(time.Millisecond+time.Duration(n.rng.Int64N(int64(n.delay))), func() {
			if !from.cut && !to.cut {
				n.step(to, do)
			}
		})
	}
}

// request has a request of a workspace arrive at a node.
func (n *network) request(d *node, workspace string, size float64) {
	quota := n.quotas[workspace]
	n.offer(workspace, size, quota)
	n.step(d, func() {
		n.nextID++
		id := n.nextID
		switch d.spender.Request(n.now, id, workspace, size, quota) {
		case Granted:
			n.spend(workspace, size)
		default:
			d.sizes[id] = size
		}
	})
}

func (n *network) offer(workspace string, size float64, quota Quota) {
	b, ok := n.ideals[workspace]
	if !ok {
		b = &ideal{level: quota.Burst, at: n.now}
		n.ideals[workspace] = b
	}
	b.level = min(quota.Burst, b.level+quota.PerSecond*(n.now-b.at).Seconds())
	b.at = n.now
	if b.level >= min(size, quota.Burst) {
		b.level -= size
		n.admitted[workspace] += size
	}
}

// load has requests arrive for a time, at random times at the nodes that pick returns.
func (n *network) load(duration time.Duration, workspace string, perSecond float64, pick func(at time.Duration) *node) {
	for at := time.Duration(0); ; {
		at += time.Duration(n.rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= duration {
			return
		}
		size := 300 + 1200*n.rng.Float64()
		if factor, ok := n.sizeFactors[workspace]; ok {
			size *= factor
		}
		n.after(at, func() { n.request(pick(n.now), workspace, size) })
	}
}

// spread picks nodes at random.
func (n *network) spread(time.Duration) *node { return n.nodes[n.rng.IntN(len(n.nodes))] }

// spent returns what was spent of a workspace, and the most that was spent in any window, as a share of the bound.
func (n *network) spent(workspace string, quota Quota) (total, worst float64) {
	const slack = 7400
	bound := (quota.PerSecond*n.settings.Window.Seconds()+quota.Burst)*(1+n.settings.Overage) + slack
	list := n.spends[workspace]
	first, sum := 0, 0.0
	for _, s := range list {
		total += s.size
		sum += s.size
		for list[first].at <= s.at-n.settings.Window {
			sum -= list[first].size
			first++
		}
		worst = max(worst, sum/bound)
	}
	return total, worst
}
