package surveyor

import (
	"math"
	"reflect"
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
)

// smallSize is the size of a cell that is quick to survey.
var smallSize = Size{Services: 1, Servers: 10, Daemons: 3, Models: 4, Adapters: 8, Replicas: 1}

func assertClose(t *testing.T, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance {
		t.Errorf("got %g, want %g within %g", got, want, tolerance)
	}
}

// runSurveyed returns a daemon of the size after a run of ten seconds. The counters cover only these seconds.
func runSurveyed(t *testing.T, size Size) *daemon {
	t.Helper()
	d := newDaemon(size)
	d.startRequests()
	d.run(2 * time.Second)
	d.resetCounters()
	d.run(10 * time.Second)
	d.traffic.allRates(time.Second)
	return d
}

func TestNewFit(t *testing.T) {
	t.Run("line", func(t *testing.T) {
		got := NewFit([]Point{{1, 5}, {2, 7}, {4, 11}})
		assertClose(t, got.Slope, 2, 1e-9)
		assertClose(t, got.Intercept, 3, 1e-9)
		assertClose(t, got.Residual, 0, 1e-9)
	})
	t.Run("points off the line", func(t *testing.T) {
		assertClose(t, NewFit([]Point{{0, 1}, {1, -1}, {2, -1}, {3, 1}}).Residual, 1, 1e-9)
	})
}

func TestControlTraffic(t *testing.T) {
	d := runSurveyed(t, smallSize)
	if got, want := d.traffic[TrafficPeersIn].Calls, 2*2*10; got != want {
		t.Errorf("got %d messages from peers, want %d: a heartbeat and a report message per second from each of 2", got, want)
	}
	if got, want := d.traffic[TrafficHostList].Calls, 10; got != want {
		t.Errorf("got %d calls to the host list, want %d", got, want)
	}
	if got, want := d.traffic[TrafficStoreReads].Calls, 0; got != want {
		t.Errorf("got %d reads in a steady state, want %d", got, want)
	}
	if d.traffic[TrafficEngines].Bytes == 0 || d.traffic[TrafficPeersOut].Bytes == 0 {
		t.Errorf("got %+v, want polls and messages", d.traffic)
	}
}

func TestControlIsDeterministic(t *testing.T) {
	got := runSurveyed(t, smallSize).traffic.rates(time.Second)
	want := runSurveyed(t, smallSize).traffic.rates(time.Second)
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestPollsAreShared(t *testing.T) {
	polls := 0
	for number := range smallSize.Daemons {
		d := &daemon{size: smallSize}
		for _, h := range smallSize.hosts(serviceName(0)) {
			if d.poller(serviceName(0), h.Server) == newPeer(number).ID {
				polls++
			}
		}
	}
	if got, want := polls, smallSize.Servers; got != want {
		t.Errorf("got %d servers assigned, want %d", got, want)
	}
}

func TestClaimsReachTheStore(t *testing.T) {
	d := runSurveyed(t, Size{Services: 1, Servers: 10, Daemons: 1, Plain: true, Retention: time.Hour, RequestsPerSecond: 5})
	if got, want := d.dispatched, 50; got < want-1 || d.refused > 0 {
		t.Errorf("got %d dispatched and %d refused, want %d dispatched", got, d.refused, want)
	}
	stored, largest := d.store.prefixBytes(claimsPrefix)
	if d.traffic[TrafficStoreWrites].Calls == 0 || stored == 0 || largest == 0 {
		t.Errorf("got %d bytes stored by %+v, want claims", stored, d.traffic[TrafficStoreWrites])
	}
}

func TestRequestsAreRouted(t *testing.T) {
	size := smallSize
	size.RequestsPerSecond = 20
	d := runSurveyed(t, size)
	if got, want := d.dispatched, 200; got != want || d.refused > 0 {
		t.Errorf("got %d dispatched and %d refused, want %d dispatched", got, d.refused, want)
	}
}

func TestChangeReadsFewShards(t *testing.T) {
	got, err := measureChange(Size{Services: 4, Servers: 4, Models: 100, Adapters: 1000}, 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range got.values {
		if v.name == "DaemonReads" && v.y != 2 {
			t.Errorf("got %g reads by a daemon, want the head and one shard", v.y)
		}
	}
}

func TestStoreSwap(t *testing.T) {
	var s store
	for _, test := range []struct {
		name     string
		revision int64
		want     int
	}{{"create", 0, 1}, {"create again", 0, 1}, {"replace", 1, 2}} {
		s.execute(reducer.StoreSwap{Key: "k", Value: []byte{1}, Revision: test.revision})
		if got := int(s.entries["k"].Revision); got != test.want {
			t.Errorf("%s: got revision %d, want %d", test.name, got, test.want)
		}
	}
}
