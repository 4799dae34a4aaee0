// Package surveyor measures on one host how a daemon's costs grow with the size of the system: the processor
// time and memory of the real reducer, and its traffic with the key-value service, the host list, the engines
// and the other daemons. Time is virtual. Only one daemon is real; everything around it is a fake that counts calls.
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

// errRequestsRefused is returned if the daemon refused requests that it should have dispatched.
var errRequestsRefused = errors.New("daemon refused requests")

// surveyDuration is how long a daemon is measured, in virtual time.
const surveyDuration = 30 * time.Second

// lookupCount is the number of look-ups over which the cost of one is averaged.
const lookupCount = 2000

// routingRequestsPerSecond is the request rate at which the cost of one request is measured.
const routingRequestsPerSecond = 2000

// A Quantity is a measured quantity as a function of the varied size.
type Quantity struct {
	Name   string
	Unit   string
	Points []Point
	Fit    Fit
}

// A Survey shows how quantities grow with one size while the other sizes are fixed.
type Survey struct {
	Name string
	// Against names the varied size, which is X.
	Against string
	// Fixed contains the sizes that are not varied.
	Fixed      Size
	Quantities []Quantity
}

// A sample contains the values measured at one x.
type sample struct {
	x      float64
	values []value
}

type value struct {
	name, unit string
	y          float64
}

// newSurvey fits a line through each quantity. All samples must have the same quantities in the same order.
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

// measureControl measures a daemon's control costs in a steady state.
func measureControl(size Size, x float64) (sample, error) {
	heap := measureHeap()
	d := newDaemon(size)
	d.startRequests()
	d.run(2 * time.Second)
	d.resetCounters()
	d.run(surveyDuration)
	processorTime := d.processorTime
	for range 2 {
		d.processorTime = 0
		steps, traffic := d.stepCount, d.traffic
		d.traffic = make(trafficCounts)
		d.run(surveyDuration)
		processorTime = min(processorTime, d.processorTime)
		d.stepCount, d.traffic = steps, traffic
	}
	s := sample{x: x, values: []value{
		{"ProcessorTime", "µs/s", float64(processorTime.Microseconds()) / surveyDuration.Seconds()},
		{"Heap", "MB", float64(measureHeap()-heap) / 1e6},
	}}
	for _, r := range d.traffic.allRates(surveyDuration) {
		s.values = append(s.values,
			value{string(r.Kind) + "Calls", "/s", r.CallsPerSecond},
			value{string(r.Kind) + "Bytes", "B/s", r.BytesPerSecond})
	}
	largest, _ := d.storedBytes()
	s.values = append(s.values, value{"PlacementRecord", "B", float64(largest)})
	runtime.KeepAlive(d)
	return s, nil
}

// measureClaims measures what claims cost one daemon that owns all partitions of a cell, and how much they store
// in the key-value service, which keeps claims that are younger than the retention.
func measureClaims(size Size, x float64) (sample, error) {
	d := newDaemon(size)
	d.startRequests()
	d.run(2 * time.Second)
	d.resetCounters()
	before, _ := d.store.prefixBytes(claimsPrefix)
	heap := measureHeap()
	d.run(surveyDuration)
	grown := float64(measureHeap()) - float64(heap)
	after, largest := d.store.prefixBytes(claimsPrefix)
	if d.refused > 0 || d.dispatched == 0 {
		return sample{}, fmt.Errorf("%w: %d of %d", errRequestsRefused, d.refused, d.refused+d.dispatched)
	}
	d.traffic.allRates(surveyDuration)
	seconds := surveyDuration.Seconds()
	return sample{x: x, values: []value{
		{"ProcessorTime", "µs/s", float64(d.processorTime.Microseconds()) / seconds},
		{"StoreReads", "/s", float64(d.traffic[TrafficStoreReads].Calls) / seconds},
		{"StoreWrites", "/s", float64(d.traffic[TrafficStoreWrites].Calls) / seconds},
		{"StoreWrittenBytes", "B/s", float64(d.traffic[TrafficStoreWrites].Bytes) / seconds},
		{"StoredBytes", "B/s", float64(after-before) / seconds},
		{"LargestValue", "B", float64(largest)},
		{"DaemonHeap", "B/s", (grown - float64(after-before)) / seconds},
	}}, nil
}

// measureLookup measures the processor time of one address look-up.
func measureLookup(size Size, x float64) (sample, error) {
	d := newDaemon(size)
	best := time.Duration(0)
	for range 5 {
		d.resetCounters()
		for i := range lookupCount {
			d.lastRequest++
			d.step(reducer.AddressesAsked{Request: d.lastRequest, Target: d.models[i%len(d.models)], Zone: zoneName})
		}
		if each := d.processorTime / lookupCount; best == 0 || each < best {
			best = each
		}
	}
	return sample{x: x, values: []value{{"ProcessorTime", "µs", float64(best.Nanoseconds()) / 1000}}}, nil
}

// measureMembership measures the processor time that a daemon spends when another one registers and ends.
func measureMembership(size Size, x float64) (sample, error) {
	d := newDaemon(size)
	best := time.Duration(0)
	for i := range 20 {
		peer := newPeer(size.Daemons + i)
		data, err := peer.Encode()
		if err != nil {
			return sample{}, fmt.Errorf("encode registration: %w", err)
		}
		d.resetCounters()
		d.store.put(peer.Key(), data)
		d.step(reducer.StoreChanged{Entry: d.store.entries[peer.Key()]})
		d.now += time.Millisecond
		d.store.revision++
		d.step(reducer.StoreChanged{Entry: storer.Entry{Key: peer.Key(), Revision: d.store.revision}, Deleted: true})
		d.now += time.Millisecond
		if best == 0 || d.processorTime < best {
			best = d.processorTime
		}
	}
	bytes, _ := d.store.prefixBytes(tracker.KeyPrefix)
	return sample{x: x, values: []value{
		{"JoinAndEnd", "µs", float64(best.Nanoseconds()) / 1000},
		{"MembersList", "B", float64(bytes)},
	}}, nil
}

// measureRouting measures a daemon's processor time per request, without the control costs.
func measureRouting(size Size, x float64) (sample, error) {
	idle := newDaemon(size)
	idle.resetCounters()
	idle.run(surveyDuration / 10)
	size.RequestsPerSecond = routingRequestsPerSecond
	best := time.Duration(0)
	for range 3 {
		d := newDaemon(size)
		d.startRequests()
		d.run(2 * time.Second)
		d.resetCounters()
		d.run(surveyDuration / 10)
		if each := (d.processorTime - idle.processorTime) / time.Duration(max(d.dispatched, 1)); best == 0 || each < best {
			best = each
		}
	}
	return sample{x: x, values: []value{{"ProcessorTime", "µs", float64(best.Nanoseconds()) / 1000}}}, nil
}

// storedBytes returns the size of the largest placement record, which the daemon's peers would relay, and of the
// whole store.
func (d *daemon) storedBytes() (largest, all int) {
	_, largest = d.store.prefixBytes("cells/")
	all, _ = d.store.prefixBytes("")
	return largest, all
}

// allRates returns the rates of all kinds, including those without traffic. It adds empty counts of these to t, so that
// the counts of every kind can be read afterwards.
func (t trafficCounts) allRates(duration time.Duration) []Rate {
	for _, kind := range trafficKinds {
		if t[kind] == nil {
			t[kind] = &Traffic{}
		}
	}
	return t.rates(duration)
}

// measureHeap returns the size of the live objects on the heap.
func measureHeap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
