// Package surveyor measures on one machine how a daemon's costs grow with the size of the system: the processor
// time and memory of the real reducer, and its calls and bytes towards the key-value service, the host list, the
// engines and the other daemons. Time is virtual, all others are counting fakes, and only one daemon is real.
package surveyor

import (
	"errors"
	"fmt"
	"runtime"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/decision/tracker"
	"samphirewharf/internal/external/storer"
)

const claimsPrefix = "claims/"

// errRefused tells that requests were refused that should have been dispatched.
var errRefused = errors.New("requests were refused")

// The time over which a daemon is surveyed, in virtual time.
const surveyTime = 30 * time.Second

// lookups is how many look-ups are made to measure the cost of one.
const lookups = 2000

// routingRate is how many requests a second come while the cost of one is measured.
const routingRate = 2000

// A Quantity is something that is measured against a size.
type Quantity struct {
	Name   string
	Unit   string
	Points []Point
	Fit    Fit
}

// A Survey is how quantities grow with one size while the others stay.
type Survey struct {
	Name string
	// Against is what X is.
	Against string
	// Fixed is the size that does not change.
	Fixed      Size
	Quantities []Quantity
}

// A sample is what one daemon cost.
type sample struct {
	x      float64
	values []value
}

type value struct {
	name, unit string
	y          float64
}

// newSurvey fits lines through samples. All must have the same values in the same order.
func newSurvey(name, against string, fixed Size, samples []sample) Survey {
	s := Survey{Name: name, Against: against, Fixed: fixed}
	for i, v := range samples[0].values {
		q := Quantity{Name: v.name, Unit: v.unit}
		for _, sample := range samples {
			q.Points = append(q.Points, Point{sample.x, sample.values[i].y})
		}
		q.Fit = NewFit(q.Points)
		s.Quantities = append(s.Quantities, q)
	}
	return s
}

// control measures what a daemon of a size spends on control while nothing changes.
func control(size Size, x float64) (sample, error) {
	heap := measureHeap()
	d := newDaemon(size)
	d.load()
	d.run(2 * time.Second)
	d.reset()
	d.run(surveyTime)
	spent := d.spent
	for range 2 {
		d.spent = 0
		steps, traffic := d.steps, d.traffic
		d.traffic = make(tally)
		d.run(surveyTime)
		spent = min(spent, d.spent)
		d.steps, d.traffic = steps, traffic
	}
	s := sample{x: x, values: []value{
		{"ProcessorTime", "µs/s", float64(spent.Microseconds()) / surveyTime.Seconds()},
		{"Heap", "MB", float64(measureHeap()-heap) / 1e6},
	}}
	for _, r := range d.traffic.allRates(surveyTime) {
		s.values = append(s.values,
			value{string(r.Kind) + "Calls", "/s", r.CallsPerSecond},
			value{string(r.Kind) + "Bytes", "B/s", r.BytesPerSecond})
	}
	largest, _ := d.recordBytes()
	s.values = append(s.values, value{"PlacementRecord", "B", float64(largest)})
	runtime.KeepAlive(d)
	return s, nil
}

// claiming measures what claims cost one daemon, which owns all partitions of a cell, and what they leave in the
// key-value service. Claims that are younger than the retention stay there.
func claiming(size Size, x float64) (sample, error) {
	d := newDaemon(size)
	d.load()
	d.run(2 * time.Second)
	d.reset()
	before, _ := d.store.bytes(claimsPrefix)
	heap := measureHeap()
	d.run(surveyTime)
	grown := float64(measureHeap()) - float64(heap)
	after, largest := d.store.bytes(claimsPrefix)
	if d.refused > 0 || d.dispatched == 0 {
		return sample{}, fmt.Errorf("%w: %d of %d", errRefused, d.refused, d.refused+d.dispatched)
	}
	d.traffic.allRates(surveyTime)
	seconds := surveyTime.Seconds()
	return sample{x: x, values: []value{
		{"ProcessorTime", "µs/s", float64(d.spent.Microseconds()) / seconds},
		{"StoreReads", "/s", float64(d.traffic[TrafficStoreReads].Calls) / seconds},
		{"StoreWrites", "/s", float64(d.traffic[TrafficStoreWrites].Calls) / seconds},
		{"StoreWrittenBytes", "B/s", float64(d.traffic[TrafficStoreWrites].Bytes) / seconds},
		{"StoredBytes", "B/s", float64(after-before) / seconds},
		{"LargestValue", "B", float64(largest)},
		{"DaemonHeap", "B/s", (grown - float64(after-before)) / seconds},
	}}, nil
}

// lookup measures what one look-up of addresses costs.
func lookup(size Size, x float64) (sample, error) {
	d := newDaemon(size)
	best := time.Duration(0)
	for range 5 {
		d.reset()
		for i := range lookups {
			d.requests++
			d.step(reducer.AddressesAsked{Request: d.requests, Target: d.models[i%len(d.models)], Zone: zoneName})
		}
		if each := d.spent / lookups; best == 0 || each < best {
			best = each
		}
	}
	return sample{x: x, values: []value{{"ProcessorTime", "µs", float64(best.Nanoseconds()) / 1000}}}, nil
}

// joining measures what a daemon spends on another one's registration, heartbeat and end.
func joining(size Size, x float64) (sample, error) {
	d := newDaemon(size)
	best := time.Duration(0)
	for i := range 20 {
		peer := newPeer(size.Daemons + i)
		data, err := peer.Encode()
		if err != nil {
			return sample{}, fmt.Errorf("encode daemon: %w", err)
		}
		d.reset()
		d.store.put(peer.Key(), data)
		d.step(reducer.StoreChanged{Entry: d.store.entries[peer.Key()]})
		d.now += time.Millisecond
		d.store.revision++
		d.step(reducer.StoreChanged{Entry: storer.Entry{Key: peer.Key(), Revision: d.store.revision}, Deleted: true})
		d.now += time.Millisecond
		if best == 0 || d.spent < best {
			best = d.spent
		}
	}
	bytes, _ := d.store.bytes(tracker.KeyPrefix)
	return sample{x: x, values: []value{
		{"JoinAndEnd", "µs", float64(best.Nanoseconds()) / 1000},
		{"MembersList", "B", float64(bytes)},
	}}, nil
}

// routing measures what a daemon of a size spends on requests, beyond what it spends on control.
func routing(size Size, x float64) (sample, error) {
	idle := newDaemon(size)
	idle.reset()
	idle.run(surveyTime / 10)
	size.RequestsPerSecond = routingRate
	best := time.Duration(0)
	for range 3 {
		d := newDaemon(size)
		d.load()
		d.run(2 * time.Second)
		d.reset()
		d.run(surveyTime / 10)
		if each := (d.spent - idle.spent) / time.Duration(max(d.dispatched, 1)); best == 0 || each < best {
			best = each
		}
	}
	return sample{x: x, values: []value{{"ProcessorTime", "µs", float64(best.Nanoseconds()) / 1000}}}, nil
}

// recordBytes returns the size of the placement record that the daemon's peers would send on, and of the store.
func (d *daemon) recordBytes() (largest, all int) {
	_, largest = d.store.bytes("cells/")
	all, _ = d.store.bytes("")
	return largest, all
}

// allRates returns the rates of all parties, those without traffic too.
func (t tally) allRates(over time.Duration) []Rate {
	for _, p := range parties {
		if t[p] == nil {
			t[p] = &Traffic{}
		}
	}
	return t.rates(over)
}

// measureHeap returns the bytes of live objects.
func measureHeap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
