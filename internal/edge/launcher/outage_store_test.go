package launcher

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"samphirewharf/internal/edge/follower"
	"samphirewharf/internal/external/storer"
)

const (
	// These are the times of the platform's client of the store.
	storeCallTime    = 4 * time.Millisecond
	storeCallTimeout = 900 * time.Millisecond
	storeListTimeout = 2 * time.Second
	// storeWatchTimeout is more than the longest time of a watch.
	storeWatchTimeout = 10 * time.Second
)

var (
	errRefused = fmt.Errorf("status 503: %w", storer.ErrRefused)
	errTimeout = fmt.Errorf("no answer in time: %w", context.DeadlineExceeded)
)

// An outageStore is a store in the memory of a test that leaves some daemons without answers for a time.
type outageStore struct {
	mu       sync.Mutex
	revision int64
	items    map[string]storer.Entry
	// leaseTTL is the time to which leases are renewed.
	leaseTTL time.Duration
	// leases holds when each lease expires, leased the lease of each key that has one.
	leases map[int64]time.Time
	leased map[string]int64
	// history holds all changes.
	history []storer.Change
	// changed is closed at the next change, of the items or of who gets answers.
	changed chan struct{}
	// silent reports whether daemons without answers wait for their time-outs; otherwise they are refused at once.
	silent   bool
	unserved map[string]bool
	// readsAlone reports whether writes and leases are served nevertheless.
	readsAlone bool
	// losses is how many of the next answers to watches are lost, by daemon.
	losses map[string]int
}

func newOutageStore() *outageStore {
	return &outageStore{
		items: make(map[string]storer.Entry), leases: make(map[int64]time.Time), leased: make(map[string]int64),
		changed: make(chan struct{}), unserved: make(map[string]bool),
	}
}

// setUnserved sets which daemons get no answers, and whether they wait for them.
func (s *outageStore) setUnserved(names []string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	clear(s.unserved)
	for _, name := range names {
		s.unserved[name] = true
	}
	s.signal()
}

func (s *outageStore) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key and returns when the store has acknowledged that.
func (s *outageStore) put(key string, value []byte, lease int64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(storer.Entry{Key: key, Value: value}, lease)
	return time.Now()
}

func (s *outageStore) write(e storer.Entry, lease int64) {
	s.revision++
	e.Revision = s.revision
	s.items[e.Key] = e
	delete(s.leased, e.Key)
	if lease != 0 {
		s.leased[e.Key] = lease
	}
	s.history = append(s.history, storer.Change{Entry: e})
	s.signal()
}

// remove removes a key.
func (s *outageStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, storer.Change{Entry: storer.Entry{Key: key, Revision: s.revision}, Deleted: true})
	s.signal()
}

// loseWatches has the next answers to watches of some daemons lost, n for each prefix of each of them, or all for n 0.
func (s *outageStore) loseWatches(daemons []string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses = make(map[string]int)
	for _, daemon := range daemons {
		for _, prefix := range []string{"servers/", "config/", follower.SharedPrefix} {
			s.losses[daemon+" "+prefix] = cmp.Or(n, math.MaxInt)
		}
	}
}

// loses reports whether an answer to a watch is lost.
func (s *outageStore) loses(daemon, prefix string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := daemon + " " + prefix
	lost := s.losses[key] > 0
	if lost {
		s.losses[key]--
	}
	return lost
}

// expireLeases removes the keys whose leases have expired.
func (s *outageStore) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, lease := range s.leased {
		if time.Now().After(s.leases[lease]) {
			s.revision++
			delete(s.items, key)
			delete(s.leased, key)
			s.history = append(s.history, storer.Change{Entry: storer.Entry{Key: key, Revision: s.revision}, Deleted: true})
			s.signal()
		}
	}
}

// A storeView is the store as one daemon reaches it.
type storeView struct {
	store   *outageStore
	daemon  string
	observe func(StoreCall)
}

// call waits as a call does and has it carried out if the store answers the daemon.
func (v storeView) call(ctx context.Context, name string, timeout time.Duration, do func()) error {
	sentAt := time.Now()
	err := v.try(ctx, name, timeout, do)
	if ctx.Err() == nil {
		v.observe(StoreCall{Name: name, Read: name == "kv-range", SentAt: sentAt, Err: err})
	}
	return err
}

func (v storeView) try(ctx context.Context, name string, timeout time.Duration, do func()) error {
	v.store.mu.Lock()
	unserved, silent := v.store.unserved[v.daemon] && (name == "kv-range" || !v.store.readsAlone), v.store.silent
	v.store.mu.Unlock()
	wait := storeCallTime
	if unserved && silent {
		wait = timeout
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return fmt.Errorf("call: %w", ctx.Err())
	}
	switch {
	case unserved && silent:
		return errTimeout
	case unserved:
		return errRefused
	}
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	do()
	return nil
}

func resultOf(err error) storer.Result {
	switch {
	case err == nil:
		return storer.ResultOK
	case errors.Is(err, errRefused):
		return storer.ResultNotSent
	default:
		return storer.ResultUnknown
	}
}

func (v storeView) delete(ctx context.Context, _ string, _ int64) storer.Result {
	return resultOf(v.call(ctx, "kv-txn", storeCallTimeout, func() {}))
}

func (v storeView) revoke(ctx context.Context, _ int64) storer.Result {
	return resultOf(v.call(ctx, "kv-lease-end", storeCallTimeout, func() {}))
}

func (v storeView) grant(ctx context.Context, _ time.Duration) (lease int64, result storer.Result) {
	err := v.call(ctx, "kv-lease", storeCallTimeout, func() {
		lease = int64(len(v.store.leases) + 1)
		v.store.leases[lease] = time.Now().Add(v.store.leaseTTL)
	})
	return lease, resultOf(err)
}

func (v storeView) keepAlive(ctx context.Context, lease int64) (alive bool, result storer.Result) {
	err := v.call(ctx, "kv-keep", storeCallTimeout, func() {
		if alive = !time.Now().After(v.store.leases[lease]); alive {
			v.store.leases[lease] = time.Now().Add(v.store.leaseTTL)
		}
	})
	return alive, resultOf(err)
}

func (v storeView) put(ctx context.Context, key string, value []byte, lease int64) storer.Result {
	return resultOf(v.call(ctx, "kv-txn", storeCallTimeout, func() { v.store.write(storer.Entry{Key: key, Value: value}, lease) }))
}

func (v storeView) compareAndSwap(ctx context.Context, key string, value []byte, revision, lease int64) (newRevision int64, result storer.Result) {
	matched := false
	err := v.call(ctx, "kv-txn", storeCallTimeout, func() {
		if matched = v.store.items[key].Revision == revision; matched {
			v.store.write(storer.Entry{Key: key, Value: value}, lease)
			newRevision = v.store.revision
		}
	})
	if err == nil && !matched {
		return 0, storer.ResultConflict
	}
	return newRevision, resultOf(err)
}

func (v storeView) list(ctx context.Context, prefix string) (entries []storer.Entry, revision int64, result storer.Result) {
	err := v.call(ctx, "kv-range", storeListTimeout, func() {
		for key, e := range v.store.items {
			if strings.HasPrefix(key, prefix) {
				entries = append(entries, e)
			}
		}
		revision = v.store.revision
	})
	slices.SortFunc(entries, func(a, b storer.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return entries, revision, resultOf(err)
}

// poll waits for changes as one call of a watch does. The call ends with an error if the store begins to refuse the daemon, and has no
// answer once it has become silent for it.
func (v storeView) poll(ctx context.Context, prefix string, from int64, wait, timeout time.Duration) ([]storer.Change, int64, error) {
	sentAt := time.Now()
	changes, next, err := v.await(ctx, prefix, from, wait, timeout)
	if ctx.Err() == nil {
		v.observe(StoreCall{Name: "kv-watch", Watch: true, Read: true, SentAt: sentAt, Err: err})
	}
	return changes, next, err
}

func (v storeView) await(ctx context.Context, prefix string, from int64, wait, timeout time.Duration) (changes []storer.Change, next int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case <-time.After(storeCallTime):
	case <-ctx.Done():
		return nil, from, errTimeout
	}
	end := time.After(wait)
	ended := false
	for {
		v.store.mu.Lock()
		unserved, silent, changed := v.store.unserved[v.daemon], v.store.silent, v.store.changed
		first, _ := slices.BinarySearchFunc(v.store.history, from, func(c storer.Change, revision int64) int { return cmp.Compare(c.Revision, revision) })
		for _, c := range v.store.history[first:] {
			if strings.HasPrefix(c.Key, prefix) {
				changes = append(changes, c)
			}
		}
		next = v.store.revision + 1
		v.store.mu.Unlock()
		switch {
		case unserved && silent:
			<-ctx.Done()
			return nil, from, errTimeout
		case unserved:
			return nil, from, errRefused
		case (len(changes) > 0 || ended) && v.store.loses(v.daemon, prefix):
			<-ctx.Done()
			return nil, from, errTimeout
		case len(changes) > 0 || ended:
			return changes, next, nil
		}
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-ctx.Done():
			return nil, from, errTimeout
		}
	}
}
