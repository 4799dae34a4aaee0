package prover_test

import (
	"strings"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/external/storer"
)

type callKind uint8

const (
	callGet callKind = iota
	callSwap
	callDelete
	callList
	callKeepAlive
	callGrant
	callRevoke
)

// A storeCall is one call to the key-value service.
type storeCall struct {
	kind     callKind
	key      string
	value    []byte
	revision int64
	lease    int64
	ttl      time.Duration
}

type storeAnswer struct {
	result  storer.Result
	entry   storer.Entry
	entries []storer.Entry
	lease   int64
	alive   bool
	// revision is the store's revision at the time of a list.
	revision int64
}

type storedValue struct {
	entry storer.Entry
	lease int64
}

// A store is a fake of the key-value service.
type store struct {
	w        *World
	values   map[string]storedValue
	revision int64
	leases   map[int64]time.Duration // expiry times by lease ID
	nextID   int64
	down     bool
	slow     time.Duration
	// loseAnswerPrefix is a key prefix: the answer to the next write under it is lost, although the write takes effect.
	loseAnswerPrefix string
	// writes counts the writes that took effect, by the first segment of their key.
	writes map[string]int
}

func newStore(w *World) *store {
	return &store{w: w, values: make(map[string]storedValue), leases: make(map[int64]time.Duration), writes: make(map[string]int)}
}

// call executes a call with delays and faults, and calls then once with the answer.
func (s *store) call(from string, c storeCall, then func(storeAnswer)) {
	w := s.w
	if !w.reaches(from, "store") || s.down {
		s.failCall(c, then)
		return
	}
	delay := w.delay()
	if s.slow > 0 {
		delay += s.slow/2 + time.Duration(w.rng.Int64N(int64(s.slow)))
	}
	lost := s.loseAnswerPrefix != "" && c.kind == callSwap && strings.HasPrefix(c.key, s.loseAnswerPrefix)
	if lost {
		s.loseAnswerPrefix = ""
		w.logf("the answer to %s's write of %s will be lost", from, c.key)
	}
	returnDelay := w.delay()
	if delay+returnDelay > callTimeout || lost {
		w.after(callTimeout, func() { then(storeAnswer{}) })
		w.after(delay, func() { s.apply(c) })
		return
	}
	w.after(delay, func() {
		a := s.apply(c)
		w.after(returnDelay, func() { then(a) })
	})
}

// failCall fails a call during an outage: the call is not sent, is lost, or takes effect up to 20 seconds later.
func (s *store) failCall(c storeCall, then func(storeAnswer)) {
	w := s.w
	result := storer.ResultNotSent
	wait := w.delay()
	if w.rng.IntN(2) == 0 {
		result = storer.ResultUnknown
		wait = callTimeout
		if w.rng.IntN(2) == 0 {
			w.after(time.Duration(w.rng.Int64N(int64(20*time.Second))), func() { s.applyLate(c) })
		}
	}
	w.after(wait, func() { then(storeAnswer{result: result}) })
}

// applyLate applies a call whose caller has timed out, if the service is up.
func (s *store) applyLate(c storeCall) {
	if !s.down {
		s.apply(c)
	}
}

// apply executes a call and returns its answer.
func (s *store) apply(c storeCall) storeAnswer {
	s.expire()
	switch c.kind {
	case callGet:
		v, ok := s.values[c.key]
		if !ok {
			return storeAnswer{result: storer.ResultNotFound}
		}
		return storeAnswer{result: storer.ResultOK, entry: v.entry}
	case callSwap:
		return s.swap(c)
	case callDelete:
		if v, ok := s.values[c.key]; !ok || v.entry.Revision != c.revision {
			return storeAnswer{result: storer.ResultConflict}
		}
		s.remove(c.key)
		return storeAnswer{result: storer.ResultOK}
	case callList:
		a := storeAnswer{result: storer.ResultOK, revision: s.revision}
		for _, key := range sortedKeys(s.values) {
			if strings.HasPrefix(key, c.key) {
				a.entries = append(a.entries, s.values[key].entry)
			}
		}
		return a
	case callGrant:
		s.nextID++
		s.leases[s.nextID] = s.w.now + c.ttl
		s.w.after(c.ttl, s.expire)
		return storeAnswer{result: storer.ResultOK, lease: s.nextID}
	case callKeepAlive:
		_, alive := s.leases[c.lease]
		if alive {
			s.leases[c.lease] = s.w.now + c.ttl
			s.w.after(c.ttl, s.expire)
		}
		return storeAnswer{result: storer.ResultOK, alive: alive}
	default:
		delete(s.leases, c.lease)
		s.expire()
		return storeAnswer{result: storer.ResultOK}
	}
}

func (s *store) swap(c storeCall) storeAnswer {
	if _, ok := s.leases[c.lease]; c.lease != 0 && !ok {
		return storeAnswer{result: storer.ResultNotFound}
	}
	if s.values[c.key].entry.Revision != c.revision {
		return storeAnswer{result: storer.ResultConflict}
	}
	s.revision++
	entry := storer.Entry{Key: c.key, Value: c.value, Revision: s.revision}
	s.values[c.key] = storedValue{entry, c.lease}
	first, _, _ := strings.Cut(c.key, "/")
	s.writes[first]++
	s.w.oracle.observeWrite(entry)
	s.notify(entry, false)
	return storeAnswer{result: storer.ResultOK, entry: entry}
}

func (s *store) remove(key string) {
	delete(s.values, key)
	s.revision++
	s.notify(storer.Entry{Key: key, Revision: s.revision}, true)
}

// expire deletes expired leases and their keys.
func (s *store) expire() {
	if s.down {
		return
	}
	for id, expiresAt := range s.leases {
		if expiresAt <= s.w.now {
			delete(s.leases, id)
		}
	}
	for _, key := range sortedKeys(s.values) {
		lease := s.values[key].lease
		if _, ok := s.leases[lease]; lease != 0 && !ok {
			s.remove(key)
		}
	}
}

func (s *store) notify(e storer.Entry, deleted bool) {
	for _, p := range s.w.liveProcesses() {
		for _, prefix := range sortedKeys(p.watches) {
			if strings.HasPrefix(e.Key, prefix) {
				p.watches[prefix].notify(e, deleted)
			}
		}
	}
}

// A watch is a process's watch of a prefix. After an interruption it lists the whole prefix again.
type watch struct {
	p      *process
	prefix string
	// revisions contains the revision of each key that the process was notified of.
	revisions map[string]int64
	// lastDelivery is when the last change is delivered; later changes are not delivered before it.
	lastDelivery time.Duration
	interrupted  bool
}

func (x *watch) notify(e storer.Entry, deleted bool) {
	w := x.p.w
	if w.store.down || !w.reaches(x.p.name, "store") {
		x.interrupt()
	}
	if x.interrupted {
		return
	}
	delay := w.delay()
	if w.store.slow > 0 {
		delay += time.Duration(w.rng.Int64N(int64(w.store.slow)))
	}
	x.lastDelivery = max(x.lastDelivery, w.now+delay)
	x.p.after(x.lastDelivery-w.now, func() { x.deliver(e, deleted) })
}

func (x *watch) interrupt() {
	if x.interrupted {
		return
	}
	x.interrupted = true
	x.retry()
}

func (x *watch) retry() { x.p.after(500*time.Millisecond, x.refresh) }

// deliver passes a change to the process.
func (x *watch) deliver(e storer.Entry, deleted bool) {
	if deleted {
		delete(x.revisions, e.Key)
	} else {
		x.revisions[e.Key] = e.Revision
	}
	x.p.step(reducer.StoreChanged{Entry: e, Deleted: deleted})
}

// refresh lists the prefix and reports the differences.
func (x *watch) refresh() {
	x.p.storeCall(storeCall{kind: callList, key: x.prefix}, func(a storeAnswer) {
		if a.result != storer.ResultOK {
			x.retry()
			return
		}
		// The watch misses changes between the list and now, so another list is needed after any.
		x.interrupted = a.revision != x.p.w.store.revision
		if x.interrupted {
			x.retry()
		}
		present := make(map[string]bool)
		for _, e := range a.entries {
			present[e.Key] = true
			if x.revisions[e.Key] < e.Revision {
				x.deliver(e, false)
			}
		}
		for _, key := range sortedKeys(x.revisions) {
			if !present[key] {
				x.deliver(storer.Entry{Key: key, Revision: x.p.w.store.revision}, true)
			}
		}
	})
}
