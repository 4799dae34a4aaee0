package conductor

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

const (
	fleetTestEngines = 200
	// mostViewBytes is how many bytes a second the leader's messages may take of a daemon's 22 KB/s, both directions together, with
	// fleetTestEngines engines of which a tenth change each second.
	mostViewBytes = 11_000
)

// A viewFleet plays a leader whose messages go to other daemons, without their other work.
type viewFleet struct {
	t      *testing.T
	now    time.Duration
	leader *Machine
	others []*Machine
	// loss is the share of messages that are lost, late that of messages that arrive after the next one.
	loss, late float64
	rng        *rand.Rand
	delayed    []func()
	// bytes are those of the leader's messages to the first of the others, wholes how often it got a whole view.
	bytes  int
	wholes int
}

func newViewFleet(t *testing.T, others int, earlierVersion bool) *viewFleet {
	t.Helper()
	f := &viewFleet{t: t, now: time.Second, rng: rand.New(rand.NewPCG(1, 2))}
	daemon := func(i int) Daemon {
		name := fmt.Sprintf("d%03d", i)
		return Daemon{Name: name, Instance: name, CallerAddress: name + ":1", PeerAddress: name + ":2", Zone: "z", FleetChanges: !earlierVersion || i == 0}
	}
	for i := range others + 1 {
		settings := testSettings()
		settings.Self, settings.Seed = daemon(i), uint64(i+1)
		m := New(settings)
		m.Step(f.now, ConfigurationChanged{Configuration: testConfiguration(t, 1)})
		list := DaemonsListed{Revision: 10, Leader: &Leader{Name: "d000", Instance: "d000", FencingToken: 5}}
		for j := range others + 1 {
			list.Daemons = append(list.Daemons, DaemonChanged{Daemon: daemon(j), Revision: int64(j + 1)})
		}
		m.Step(f.now, list)
		f.others = append(f.others, m)
	}
	f.leader, f.others = f.others[0], f.others[1:]
	for i := range fleetTestEngines {
		f.setEngine(i, 100)
	}
	f.leader.startPlacement()
	return f
}

func engineName(i int) string { return fmt.Sprintf("i-%010d", i) }

// setEngine has an engine hold some adapters, which only the leader knows.
func (f *viewFleet) setEngine(i, version int) {
	entry := registrar.Entry{
		ID: engineName(i), StartedAt: 7, Service: engineService, Address: "10.0.0.1:80", Zone: "z0", SoftwareVersion: "v1", Slots: 8, Revision: int64(version),
		Weights: registrar.Weights{Models: []registrar.LoadedModel{{Name: "m1", Version: 1, Adapters: []string{"adapter-of-a-tenant-1", "adapter-of-a-tenant-2", fmt.Sprintf("adapter-%d", version)}}}},
	}
	for _, m := range append([]*Machine{f.leader}, f.others...) {
		m.Step(f.now, ServerChanged{Entry: entry})
	}
	f.leader.placement.engines[entry.ID] = &engineState{startedAt: 7, weights: entry.Weights, unreported: true}
}

// send has the leader send its next message to the others.
func (f *viewFleet) send() {
	f.leader.now = f.now
	message := f.leader.newMessage()
	message.Fleet = f.leader.fleetMessage()
	delayed := f.delayed
	f.delayed = nil
	for i, m := range f.others {
		if f.rng.Float64() < f.loss {
			continue
		}
		if i == 0 {
			f.bytes += proto.Size(message.Envelope())
		}
		if f.rng.Float64() < f.late {
			f.delayed = append(f.delayed, func() { f.deliver(m, message) })
			continue
		}
		f.deliver(m, message)
	}
	for _, deliver := range delayed {
		deliver()
	}
}

// deliver passes a message to a daemon. A whole view that it asks for arrives at once.
func (f *viewFleet) deliver(m *Machine, message messenger.Message) {
	for _, effect := range slices.Clone(m.Step(f.now, PeerReceived{Message: message})) {
		e, ok := effect.(SendPeer)
		if !ok || !e.Message.FleetRequested {
			continue
		}
		for _, answer := range slices.Clone(f.leader.Step(f.now, PeerReceived{Message: e.Message})) {
			if reply, ok := answer.(SendPeer); ok && reply.Message.Fleet != nil {
				f.wholes += boolToInt(m == f.others[0])
				if m == f.others[0] {
					f.bytes += proto.Size(reply.Message.Envelope())
				}
				m.Step(f.now, PeerReceived{Message: reply.Message})
			}
		}
	}
}

// play changes engines and sends for some seconds, ten messages in each.
func (f *viewFleet) play(seconds int) {
	for step := range seconds * 10 {
		f.now += 100 * time.Millisecond
		for range fleetTestEngines / 100 {
			engine := f.leader.placement.engines[engineName(f.rng.IntN(fleetTestEngines))]
			engine.weights = registrar.Weights{Models: []registrar.LoadedModel{{Name: "m1", Version: 1, Adapters: []string{"adapter-of-a-tenant-1", fmt.Sprintf("adapter-%d", step)}}}}
			engine.unreported = true
		}
		f.send()
	}
}

func (f *viewFleet) assertSameView(t *testing.T) {
	t.Helper()
	for i, m := range f.others {
		for _, id := range f.leader.placement.engineIDs() {
			got, want := m.weights(m.servers[id]).Models, f.leader.placement.engines[id].available(f.now).Models
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("daemon %d: got models %v at %s, want %v", i, got, id, want)
			}
		}
	}
}

func TestFleetView(t *testing.T) {
	t.Run("changes fit into half of a daemon's bytes", func(t *testing.T) {
		f := newViewFleet(t, 3, false)
		f.send()
		f.bytes = 0
		const seconds = 10
		f.play(seconds)
		f.assertSameView(t)
		if got := f.bytes / seconds; got > mostViewBytes {
			t.Errorf("got %d bytes a second, want at most %d", got, mostViewBytes)
		}
	})
	for name, c := range map[string]struct{ loss, late float64 }{"lost": {0.2, 0}, "late": {0, 0.2}, "lost and late": {0.2, 0.2}} {
		t.Run("messages are "+name, func(t *testing.T) {
			f := newViewFleet(t, 3, false)
			f.loss, f.late = c.loss, c.late
			f.play(20)
			f.loss, f.late = 0, 0
			f.play(1)
			f.assertSameView(t)
		})
	}
	t.Run("a daemon of an earlier version gets all of it each second", func(t *testing.T) {
		f := newViewFleet(t, 1, true)
		f.play(3)
		f.assertSameView(t)
		f.now += fleetInterval
		f.leader.now = f.now
		if fleet := f.leader.fleetMessage(); fleet.Changes || len(fleet.Servers) != fleetTestEngines {
			t.Errorf("got changes %t of %d servers, want all of %d", fleet.Changes, len(fleet.Servers), fleetTestEngines)
		}
	})
	t.Run("a daemon that knows nothing asks for the whole view, and has it", func(t *testing.T) {
		f := newViewFleet(t, 2, false)
		f.play(2)
		f.others[0], f.wholes = newViewFleet(t, 1, false).others[0], 0
		f.play(2)
		f.assertSameView(t)
		if f.wholes != 1 {
			t.Errorf("got %d whole views, want 1", f.wholes)
		}
	})
	t.Run("a missed message is logged once, and so is that the view is complete again", func(t *testing.T) {
		f := newViewFleet(t, 1, false)
		f.play(1)
		missed := f.leader.newMessage()
		missed.Fleet = f.leader.fleetMessage()
		next := f.leader.newMessage()
		next.Fleet = f.leader.fleetMessage()
		var got []string
		note := func(effects []Effect) {
			for _, e := range effects {
				if change, ok := e.(LogStateChange); ok && change.Subject == "LeaderView" {
					got = append(got, change.Change)
				}
			}
		}
		note(f.others[0].Step(f.now, PeerReceived{Message: next}))
		whole := f.leader.newMessage()
		whole.Fleet = f.leader.wholeFleet()
		note(f.others[0].Step(f.now, PeerReceived{Message: whole}))
		if want := []string{"Incomplete", "Completed"}; !slices.Equal(got, want) {
			t.Errorf("got changes %v logged, want %v", got, want)
		}
	})
	t.Run("a leader doesn't ask for what it has sent itself", func(t *testing.T) {
		f := newViewFleet(t, 1, false)
		f.play(1)
		relayed := messenger.Message{From: "d001", Fleet: f.leader.fleetMessage()}
		for _, e := range f.leader.Step(f.now, PeerReceived{Message: relayed}) {
			if sent, ok := e.(SendPeer); ok && sent.Message.FleetRequested {
				t.Error("got a request for the whole view, want none")
			}
		}
	})
	t.Run("a daemon that gets no whole view asks ever less often", func(t *testing.T) {
		f := newViewFleet(t, 1, false)
		f.play(1)
		other, requests := newViewFleet(t, 1, false).others[0], 0
		for range 100 {
			f.now += 100 * time.Millisecond
			f.leader.now = f.now
			message := f.leader.newMessage()
			message.Fleet = f.leader.fleetMessage()
			for _, e := range other.Step(f.now, PeerReceived{Message: message}) {
				sent, ok := e.(SendPeer)
				requests += boolToInt(ok && sent.Message.FleetRequested)
			}
		}
		if requests < 3 || requests > 6 {
			t.Errorf("got %d requests in 10 s, want 3 to 6", requests)
		}
	})
	t.Run("a daemon that has the whole view answers for the leader", func(t *testing.T) {
		f := newViewFleet(t, 2, false)
		f.play(2)
		fleet := f.others[0].receivedFleet()
		other := newViewFleet(t, 1, false).others[0]
		other.Step(f.now, PeerReceived{Message: messenger.Message{From: "d001", Fleet: fleet}})
		f.others = append(f.others, other)
		f.assertSameView(t)
	})
	t.Run("an engine that is no longer in the view is known by its own entry", func(t *testing.T) {
		f := newViewFleet(t, 1, false)
		f.play(1)
		delete(f.leader.placement.engines, engineName(3))
		f.play(1)
		s := f.others[0].servers[engineName(3)]
		if got, want := f.others[0].weights(s).Models, s.entry.Weights.Models; !reflect.DeepEqual(got, want) {
			t.Errorf("got models %v, want those of its entry, %v", got, want)
		}
	})
}
