package conductor

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

// A daemonsHarness drives several daemons in virtual time. The first one leads. A server answers each request after
// serviceTime, with its advice in the header.
type daemonsHarness struct {
	t           *testing.T
	now         time.Duration
	machines    []*Machine
	serviceTime time.Duration
	rng         *rand.Rand
	requests    int
	// advice is what each server asks for.
	advice map[string]Advice
	// answers are the answers on their way.
	answers []pendingAnswer
	// sends holds the times at which each server got a request.
	sends map[string][]time.Duration
	// refusals holds what callers were refused, with the time that they had waited.
	refusals []heldRefusal
	arrived  map[reducer.RequestID]time.Duration
	served   int
}

type pendingAnswer struct {
	at      time.Duration
	machine int
	send    Send
	// advice is what the server asked for when it got the request.
	advice Advice
}

type heldRefusal struct {
	Refuse
	waited time.Duration
}

func newDaemonsHarness(t *testing.T, daemons int, entries ...registrar.Entry) *daemonsHarness {
	t.Helper()
	f := &daemonsHarness{
		t: t, serviceTime: 700 * time.Millisecond, rng: rand.New(rand.NewPCG(1, 2)), advice: make(map[string]Advice),
		sends: make(map[string][]time.Duration), arrived: make(map[reducer.RequestID]time.Duration),
	}
	var list []DaemonChanged
	for i := range daemons {
		name := fmt.Sprintf("d%d", i)
		list = append(list, DaemonChanged{Daemon: Daemon{Name: name, Instance: name, PeerAddress: name, Zone: "a"}, Revision: int64(i + 1)})
	}
	for i, d := range list {
		settings := testSettings()
		settings.Self, settings.Seed = d.Daemon, uint64(i+1)
		f.machines = append(f.machines, New(settings))
		for _, e := range []Event{
			ConfigurationChanged{Configuration: testConfiguration(t, 1)},
			ServersListed{Entries: entries, Revision: 100},
			DaemonsListed{Daemons: list, Revision: 100, Leader: &Leader{Name: "d0", Instance: "d0", FencingToken: 50}},
			LeaseRenewed{OK: true, Lost: true},
			RegisterEnded{OK: true},
			LeaderChanged{Leader: Leader{Name: "d0", Instance: "d0", FencingToken: 51}},
		} {
			f.step(i, e)
		}
	}
	return f
}

func (f *daemonsHarness) step(machine int, e Event) {
	for _, effect := range slices.Clone(f.machines[machine].Step(f.now, e)) {
		switch e := effect.(type) {
		case Send:
			f.sends[e.Server] = append(f.sends[e.Server], f.now)
			f.answers = append(f.answers, pendingAnswer{f.now + f.serviceTime, machine, e, f.advice[e.Server]})
		case Refuse:
			f.refusals = append(f.refusals, heldRefusal{e, f.now - f.arrived[e.Request]})
		case RenewLease:
			f.step(machine, LeaseRenewed{SentAt: f.now, OK: true})
		case SendPeer:
			f.deliver(e.Address, e.Message)
		case Forward:
			if machine == 0 {
				for i := 1; i < len(f.machines); i++ {
					f.step(i, PeerReceived{Message: messenger.Message{From: "d0", Fleet: e.Fleet}})
				}
			}
		}
	}
}

func (f *daemonsHarness) deliver(address string, m messenger.Message) {
	for i, machine := range f.machines {
		if machine.settings.Self.PeerAddress == address && m.Demand != nil {
			f.step(i, PeerReceived{Message: m})
		}
	}
}

// run plays callers that send requests at a rate to random daemons.
func (f *daemonsHarness) run(duration time.Duration, perSecond float64) {
	const tick = 10 * time.Millisecond
	route := reading
	route.Timeout = 4 * time.Second
	for end := f.now + duration; f.now < end; f.now += tick {
		due := slices.DeleteFunc(slices.Clone(f.answers), func(a pendingAnswer) bool { return a.at > f.now })
		f.answers = slices.DeleteFunc(f.answers, func(a pendingAnswer) bool { return a.at <= f.now })
		for _, a := range due {
			if a.advice != (Advice{}) || a.send.ReportAdvice {
				f.step(a.machine, ServerAdvised{Server: a.send.Server, StartedAt: 1, Advice: a.advice})
			}
			f.step(a.machine, AttemptEnded{Request: a.send.Request, Attempt: a.send.Attempt, Outcome: reducer.AttemptDone, Latency: f.serviceTime})
			f.served++
		}
		if f.rng.Float64() < perSecond*tick.Seconds() {
			f.requests++
			id := reducer.RequestID(f.requests)
			f.arrived[id] = f.now
			f.step(f.rng.IntN(len(f.machines)), RequestArrived{
				Request: id, ID: "r", Route: route, Version: 1, Service: plainService, TimeLimit: route.Timeout, Fingerprint: uint64(id),
			})
		}
		for i, machine := range f.machines {
			if f.now >= machine.NextWake() {
				f.step(i, Ticked{})
			}
		}
	}
}

// maxSends returns the highest number of requests that a server got in any window that ends after a time.
func (f *daemonsHarness) maxSends(server string, after, window time.Duration) int {
	sends := slices.DeleteFunc(slices.Clone(f.sends[server]), func(at time.Duration) bool { return at < after-window })
	most := 0
	for i := range sends {
		n := 0
		for _, at := range sends[i:] {
			if at < sends[i]+window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

const (
	// rateWindow is the time over which a server's rate is checked, ratePeak how much more than the rate it may get, and
	// rateBurst how many requests beyond that.
	rateWindow = 4 * time.Second
	ratePeak   = 1.5
	rateBurst  = 5
	// usualLoad is how many times its rate a server gets before it names it, heavyLoad what callers send at the worst.
	usualLoad = 2.7
	heavyLoad = 8
	// leastUsedRate is the least share of the rate that daemons use while callers press.
	leastUsedRate = 0.5
	// adviceDelay is how long after a server first names its rate daemons keep to it.
	adviceDelay = 3 * time.Second
)

func TestRateLimit(t *testing.T) {
	entry := registrar.Entry{ID: "s1", StartedAt: 1, Service: plainService, Address: "s1:80", Zone: "a", Slots: 6, Revision: 90}
	other := registrar.Entry{ID: "s2", StartedAt: 1, Service: plainService, Address: "s2:80", Zone: "a", Slots: 6, Revision: 91}
	for _, c := range []struct {
		daemons int
		rate    float64
	}{{7, 4.3}, {7, 2.9}, {7, 2.4}, {7, 0.5}, {1, 4}, {60, 2}, {76, 12}} {
		t.Run(fmt.Sprintf("%d daemons together keep to %v requests a second", c.daemons, c.rate), func(t *testing.T) {
			f := newDaemonsHarness(t, c.daemons, entry)
			f.run(4*time.Second, usualLoad*c.rate)
			f.advice["s1"] = Advice{RateLimited: true, RateLimit: c.rate}
			limitedAt := f.now
			f.run(adviceDelay, usualLoad*c.rate)
			f.run(40*time.Second, heavyLoad*c.rate)
			want := int(ratePeak*c.rate*rateWindow.Seconds()) + rateBurst
			if got := f.maxSends("s1", limitedAt+adviceDelay, rateWindow); got > want {
				t.Errorf("got %d requests in %v, want at most %d", got, rateWindow, want)
			}
			sends := slices.DeleteFunc(slices.Clone(f.sends["s1"]), func(at time.Duration) bool { return at < limitedAt+adviceDelay })
			if got, least := len(sends), int(leastUsedRate*c.rate*(f.now-limitedAt-adviceDelay).Seconds()); got < least {
				t.Errorf("got %d requests sent, want at least %d", got, least)
			}
			for _, r := range f.refusals {
				if r.RetryAfter <= 0 {
					t.Errorf("got a refusal for %v without a time to come back, want one", r.Reason)
				}
			}
		})
	}
	t.Run("requests go to servers without a limit", func(t *testing.T) {
		f := newDaemonsHarness(t, 7, entry, other)
		f.advice["s1"] = Advice{RateLimited: true, RateLimit: 2}
		f.run(20*time.Second, 20)
		if got, want := len(f.refusals), 0; got != want {
			t.Errorf("got %d refusals, want %d", got, want)
		}
		if got := f.maxSends("s1", adviceDelay, rateWindow); got > 17 {
			t.Errorf("got %d requests in %v, want at most 17", got, rateWindow)
		}
	})
	t.Run("a server that no longer names a limit gets all requests again", func(t *testing.T) {
		f := newDaemonsHarness(t, 60, entry)
		f.run(time.Second, 30)
		f.advice["s1"] = Advice{RateLimited: true, RateLimit: 2}
		f.run(20*time.Second, 30)
		delete(f.advice, "s1")
		f.run(10*time.Second, 30)
		refused := len(f.refusals)
		f.run(10*time.Second, 30)
		if got, want := len(f.refusals), refused; got != want {
			t.Errorf("got %d refusals after the limit, want none", got-want)
		}
	})
}

func TestRateOfNoServer(t *testing.T) {
	h := newHarness(t)
	h.engine("e1", "a", loadedModel("m1"))
	r := newRequest(RequestArrived{Request: 1, Route: quick, Service: engineService, Model: "m2", TimeLimit: quick.Timeout}, h.now)
	assertEqual(t, "wait for a rate", h.machine.rateAllowsIn(r, 0), 0)
	assertEqual(t, "run time", h.machine.limitedRunTime(r), 0)
}
