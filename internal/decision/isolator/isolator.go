// Package isolator finds poisonous requests: those that crash the servers that run them.
//
// Requests that were running when a server died are suspects. A suspect runs at one server at a time and
// never beside another suspect, so that a second crash identifies exactly the poisonous request.
package isolator

import (
	"slices"
	"time"
)

const (
	// DefaultMaxEntries limits the suspects and the poisonous requests by default.
	DefaultMaxEntries = 1024
	// DefaultSuspectTTL is how long a request stays a suspect by default.
	DefaultSuspectTTL = 10 * time.Minute
	// DefaultPoisonTTL is how long a request counts as poisonous by default.
	DefaultPoisonTTL = time.Hour
)

// An Isolator tracks the running requests of a daemon, the suspects and the poisonous requests. Requests are
// identified by a hash of their deployment and body. The zero value is ready to use.
type Isolator struct {
	// Owns reports whether this daemon may run suspects at the server; nil means at any. If each server has
	// one owner, suspects of two daemons never run at the same server.
	Owns func(server string) bool
	// MaxEntries limits the suspects and the poisonous requests, each; zero means DefaultMaxEntries.
	MaxEntries int
	// SuspectTTL and PoisonTTL are how long requests stay suspects and poisonous; zero means the defaults.
	SuspectTTL time.Duration
	PoisonTTL  time.Duration

	suspects  expiringSet
	poisonous expiringSet
	// runningByServer counts the running requests of each server by hash. No count is zero.
	runningByServer map[string]map[uint64]int
	// runningByHash counts the running requests of each hash over all servers. No count is zero.
	runningByHash map[uint64]int
}

// HasEntries reports whether there are suspects or poisonous requests, including expired ones.
func (i *Isolator) HasEntries() bool { return len(i.suspects.byHash)+len(i.poisonous.byHash) > 0 }

// Poisonous reports whether the request must be refused.
func (i *Isolator) Poisonous(hash uint64, now time.Duration) bool { return i.poisonous.has(hash, now) }

// Finished records that a request ended at a live server. After a success the request is no longer a suspect.
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

// MayRun reports whether the request may be sent to the server now. Requests that are neither suspects nor
// poisonous may run anywhere.
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

// Merge adds a peer's poisonous requests and suspects until the given time, but not for longer than this
// daemon's own TTLs.
func (i *Isolator) Merge(poisonous, suspects []uint64, expires, now time.Duration) {
	for _, hash := range poisonous {
		i.markPoisonous(hash, min(expires, now+i.poisonTTL()), now)
	}
	i.markSuspected(suspects, min(expires, now+i.suspectTTL()), now)
}

// Started records that a request was sent to the server.
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

// ServerDied removes the requests that ran at the server and returns the new suspects or the poisonous
// request, sorted. A single suspect that ran there is poisonous. If there were several, one of them caused
// the crash and they stay suspects. Only if there was none, all requests that ran there become suspects.
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

// Suspected reports whether the request was running when a server died, has not succeeded since and is not
// poisonous. A request stays a suspect for a while after it has ceased to count as poisonous.
func (i *Isolator) Suspected(hash uint64, now time.Duration) bool {
	return !i.Poisonous(hash, now) && i.suspects.has(hash, now)
}

// markPoisonous marks the request as poisonous and clears the other suspects of its crash.
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

// markSuspected marks the requests that are not poisonous as suspects of one crash.
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
