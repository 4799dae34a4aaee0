// Package isolator finds requests that crash the servers that run them.
//
// Requests that were running when a server died are suspects. A suspect runs at one server at a time
// and never beside another suspect, so that a second crash convicts it and nothing else.
package isolator

import (
	"slices"
	"time"
)

const (
	// DefaultMaxVerdicts bounds the suspects and the convicted if nothing is set.
	DefaultMaxEntries = 1024
	// DefaultSuspectFor is how long a request stays suspected if nothing is set.
	DefaultSuspectTTL = 10 * time.Minute
	// DefaultConvictFor is how long a request stays convicted if nothing is set.
	DefaultPoisonTTL = time.Hour
)

// An Isolator keeps the running requests of a daemon and the verdicts on them. Requests are known by
// a hash of their deployment and body. The zero value is ready to use.
type Isolator struct {
	// Owns tells whether this daemon may run suspects at the server; nil means at any. When each
	// server has one owner, suspects of two daemons never meet.
	Owns func(server string) bool
	// MaxVerdicts bounds suspects and convicted, each; zero means DefaultMaxVerdicts.
	MaxEntries int
	// SuspectFor and ConvictFor are how long verdicts hold; zero means the defaults.
	SuspectTTL time.Duration
	PoisonTTL  time.Duration

	suspects  expiringSet
	poisonous expiringSet
	// byServer counts the running requests of each server by hash. No count is zero.
	runningByServer map[string]map[uint64]int
	// byHash counts the running requests of each hash over all servers. No count is zero.
	runningByHash map[uint64]int
}

// Any reports whether there are suspects or convicted requests, expired ones included.
func (i *Isolator) Any() bool { return len(i.suspects.byHash)+len(i.poisonous.byHash) > 0 }

// Poisonous reports whether the request must be refused.
func (i *Isolator) Poisonous(hash uint64, now time.Duration) bool { return i.poisonous.has(hash, now) }

// Finished notes that a request ended at a live server. A success clears it from suspicion.
func (i *Isolator) Finished(server string, hash uint64, success bool) {
	if success {
		i.suspects.remove(hash)
	}
	running, ok := i.runningByServer[server]
	if !ok || running[hash] == 0 {
		return
	}
	decrement(running, hash, 1)
	decrement(i.runningByHash, hash, 1)
	if len(running) == 0 {
		delete(i.runningByServer, server)
	}
}

// MayRun reports whether the request may be sent to the server now. Requests that are not suspected
// may run anywhere.
func (i *Isolator) MayRun(server string, hash uint64, now time.Duration) bool {
	if i.Poisonous(hash, now) {
		return false
	}
	if !i.Suspected(hash, now) {
		return true
	}
	if i.runningByHash[hash] > 0 || (i.Owns != nil && !i.Owns(server)) {
		return false
	}
	for other := range i.runningByServer[server] {
		if i.Suspected(other, now) {
			return false
		}
	}
	return true
}

// Merge takes a peer's verdicts, which hold until expires.
func (i *Isolator) Merge(poisonous, suspects []uint64, expires, now time.Duration) {
	for _, hash := range poisonous {
		i.markPoisonous(hash, min(expires, now+i.poisonTTL()), now)
	}
	i.markSuspected(suspects, min(expires, now+i.suspectTTL()), now)
}

// Started notes that a request was sent to the server.
func (i *Isolator) Started(server string, hash uint64) {
	if i.runningByServer == nil {
		i.runningByServer = make(map[string]map[uint64]int)
		i.runningByHash = make(map[uint64]int)
	}
	if i.runningByServer[server] == nil {
		i.runningByServer[server] = make(map[uint64]int)
	}
	i.runningByServer[server][hash]++
	i.runningByHash[hash]++
}

// ServerDied forgets what ran at the server and returns the verdicts on it, ordered. If one suspect
// ran there it is convicted. If several did, the crash is laid to one of them. Only if none did,
// everything that ran there becomes suspected.
func (i *Isolator) ServerDied(server string, now time.Duration) (suspects, poisonous []uint64) {
	var suspected, others []uint64
	for hash, count := range i.runningByServer[server] {
		decrement(i.runningByHash, hash, count)
		if i.Suspected(hash, now) {
			suspected = append(suspected, hash)
		} else if !i.Poisonous(hash, now) {
			others = append(others, hash)
		}
	}
	delete(i.runningByServer, server)
	slices.Sort(suspected)
	slices.Sort(others)
	switch len(suspected) {
	case 0:
		suspects = others
	case 1:
		i.markPoisonous(suspected[0], now+i.poisonTTL(), now)
		return nil, suspected
	default:
		suspects = suspected
	}
	i.markSuspected(suspects, now+i.suspectTTL(), now)
	return suspects, nil
}

// Suspected reports whether the request was running when a server died, has not succeeded since and
// is not convicted. A request stays suspected for a while after its conviction has expired.
func (i *Isolator) Suspected(hash uint64, now time.Duration) bool {
	return !i.Poisonous(hash, now) && i.suspects.has(hash, now)
}

// markPoisonous convicts the request and clears those that were suspected for its crash.
func (i *Isolator) markPoisonous(hash uint64, expires, now time.Duration) {
	if c := i.suspects.crashOf(hash); c != nil {
		for _, other := range c.hashes {
			if i.suspects.crashOf(other) == c {
				i.suspects.remove(other)
			}
		}
	}
	i.poisonous.add(hash, nil, expires, now, i.maxEntries())
	i.suspects.add(hash, nil, expires+i.suspectTTL(), now, i.maxEntries())
}

func (i *Isolator) poisonTTL() time.Duration {
	if i.PoisonTTL > 0 {
		return i.PoisonTTL
	}
	return DefaultPoisonTTL
}

func (i *Isolator) maxEntries() int {
	if i.MaxEntries > 0 {
		return i.MaxEntries
	}
	return DefaultMaxEntries
}

// markSuspected makes the requests that are not convicted suspects for one crash.
func (i *Isolator) markSuspected(hashes []uint64, expires, now time.Duration) {
	c := &crash{hashes: hashes}
	for _, hash := range hashes {
		if !i.Poisonous(hash, now) {
			i.suspects.add(hash, c, expires, now, i.maxEntries())
		}
	}
}

func (i *Isolator) suspectTTL() time.Duration {
	if i.SuspectTTL > 0 {
		return i.SuspectTTL
	}
	return DefaultSuspectTTL
}

func decrement(counts map[uint64]int, hash uint64, by int) {
	counts[hash] -= by
	if counts[hash] <= 0 {
		delete(counts, hash)
	}
}
