package reducer

import (
	"testing"
	"time"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/external/storer"
)

// maxRecoveryTime is the longest time that a daemon may take to work after the key-value service has
// recovered: the longest delay with jitter.
const maxRecoveryTime = maxRetryDelay + maxRetryDelay/4

// A storeOutage is a daemon that starts during an outage of the key-value service.
type storeOutage struct {
	fixture
	storeUp bool
	// lists and loads count the reads of the members and of the configuration.
	lists, loads int
	pending      []Effect
}

func newStoreOutage(seed uint64) *storeOutage {
	o := &storeOutage{fixture: fixture{now: Moment{Monotonic: time.Second, Wall: time.Unix(1_800_000_000, 0)}}}
	o.machine = New(Settings{Daemon: "d1", Instance: "i1", Address: "127.0.0.1:1", Zone: "z1", Seed: seed})
	return o
}

// answer answers one effect according to the state of the key-value service.
func (o *storeOutage) answer(e Effect) {
	result := storer.ResultNotSent
	if o.storeUp {
		result = storer.ResultOK
	}
	switch e := e.(type) {
	case StoreList:
		o.lists++
		o.deliver(StoreListed{Op: e.Op, Result: result})
	case StoreSwap:
		o.deliver(StoreSwapped{Op: e.Op, Result: result, Revision: 1})
	case LeaseRenew:
		o.deliver(LeaseRenewed{SentAt: o.now.Monotonic, Result: result, Lost: o.storeUp && o.machine.lease.Epoch() == 0})
	case LoadConfiguration:
		o.loads++
		loaded := ConfigurationLoaded{}
		if o.storeUp {
			loaded.Catalog = cataloger.NewCatalog(o.configuration(1, 1, 0))
		}
		o.deliver(loaded)
	}
}

// advance advances the clock to the given time, with all wake-ups and answers in between.
func (o *storeOutage) advance(until time.Duration) {
	for o.now.Monotonic < until {
		o.deliver(Ticked{})
		for len(o.pending) > 0 {
			e := o.pending[0]
			o.pending = o.pending[1:]
			o.answer(e)
		}
		o.now.Monotonic = min(until, max(o.now.Monotonic+time.Millisecond, o.machine.NextWake()))
	}
}

func (o *storeOutage) deliver(e Event) { o.pending = append(o.pending, o.machine.Step(o.now, e)...) }

func TestOutage(t *testing.T) {
	const minutes = 10
	for seed := range uint64(20) {
		o := newStoreOutage(seed)
		o.advance(time.Minute)
		o.lists, o.loads = 0, 0
		o.advance((1 + minutes) * time.Minute)
		assertCallCount(t, "lists", o.lists, minutes)
		assertCallCount(t, "loads", o.loads, minutes)
		o.storeUp = true
		o.advance(o.now.Monotonic + maxRecoveryTime + time.Second/10)
		if got := o.machine.registration; got.nextListAt != 0 || got.revision == 0 {
			t.Errorf("seed %d: got members due at %v and registration at revision %d, want both read and written", seed, got.nextListAt, got.revision)
		}
		if got, want := o.machine.configurationVersion(), int64(1); got != want {
			t.Errorf("seed %d: got configuration %d, want %d", seed, got, want)
		}
	}
}

// assertCallCount checks that the number of calls fits the longest delay with jitter.
func assertCallCount(t *testing.T, name string, got, minutes int) {
	t.Helper()
	least, most := minutes*int(time.Minute/maxRecoveryTime)-1, minutes*int(time.Minute/(maxRetryDelay-maxRetryDelay/4))+1
	if got < least || got > most {
		t.Errorf("%s in %d minutes: got %d, want %d to %d", name, minutes, got, least, most)
	}
}
