// Package regulator keeps the requests of each workspace within its quota, over all daemons together.
//
// The keeper of a workspace is one daemon, which holds the workspace's token bucket. The spender of each daemon asks it for what
// waiting requests need and for some more. A token is at any time in the bucket, in the hands of one spender, or spent, so all
// daemons together never spend more than one bucket would have let pass; what is lost with a message or a daemon isn't restored.
package regulator

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// A Quota is the limit of a workspace in the configuration of a version.
type Quota struct {
	PerSecond float64
	Burst     float64
	Version   int64
}

// Settings are the bounds that the requests of a workspace must keep.
type Settings struct {
	// Window is the time over which requests are counted, Overage the share by which they may exceed the quota.
	Window  time.Duration
	Overage float64
}

// An Ask asks a keeper for tokens. A repeated ask has the same content and sequence number.
type Ask struct {
	Workspace string
	// Spender identifies the process that asks.
	Spender  string
	Sequence uint64
	// Sizes are the counts of the waiting requests, in order of arrival.
	Sizes []float64
	// Extra is what the spender expects to spend soon, Returned what it held and gives back with this ask.
	Extra    float64
	Returned float64
	// Quota is the limit that the spender knows.
	Quota Quota
	// Fallback reports whether the workspace's keeper hasn't answered.
	Fallback bool
}

// A Grant answers an Ask.
type Grant struct {
	Workspace string
	Sequence  uint64
	// Delays has an element for each of the ask's sizes: 0 if it is granted, or the time after which such a request fits.
	Delays []time.Duration
	// Extra is granted in addition.
	Extra float64
	// Fallback reports whether the sender isn't the workspace's keeper, so that a denial says nothing of the quota.
	Fallback bool
}

const (
	// grantTTL is how long tokens may be held.
	grantTTL = 2 * time.Second
	// askTimeout is how long an answer is waited for, maxWait how long a request waits for its asks together.
	askTimeout = 150 * time.Millisecond
	maxWait    = 2 * askTimeout
	// expectedTime is the time for which a spender asks in advance.
	expectedTime = 500 * time.Millisecond
	// rateTime is the time over which a spender averages what it spends.
	rateTime = time.Second
	// minPause and maxPause bound the pause after a denial. Requests wait for it, so it is less than an ask may take.
	minPause = 20 * time.Millisecond
	maxPause = 120 * time.Millisecond
	// silentTime is for how long a keeper that didn't answer is passed over.
	silentTime = time.Second
	// maxIdle is the interval without any event after which a keeper begins anew: another daemon may have granted in its place.
	maxIdle = time.Second
	// maxSizes bounds the requests of one ask.
	maxSizes = 256
	// bucketTTL is how long a keeper remembers a bucket that isn't asked for. It is full long before.
	bucketTTL = 30 * time.Second
	// sweepInterval is how often expired holdings are dropped.
	sweepInterval = 100 * time.Millisecond

	// marginShare is the share of the overage by which a keeper's bucket exceeds the quota, so that delays and rounding don't refuse
	// requests within the quota. handShare is the share of the overage that spenders may hold in addition to a full bucket. The rest
	// is for grants that are spent late and for changes of keepers; fallbackShare is for what others grant in a keeper's place.
	marginShare   = 0.25
	handShare     = 0.15
	fallbackShare = 0.5
	// reserveShare is the share of the burst that is granted only for waiting requests.
	reserveShare = 0.25
)

// Keepers returns the names of the keeper of a workspace and of the daemon that is asked if it doesn't answer, by rendezvous hashing.
// They are empty if there are too few names.
func Keepers(names []string, workspace string) (first, second string) {
	var best, next uint64
	for _, name := range names {
		var digest xxhash.Digest
		digest.Reset()
		_, _ = digest.WriteString(name)
		_, _ = digest.Write([]byte{0})
		_, _ = digest.WriteString(workspace)
		weight := digest.Sum64()
		switch {
		case first == "" || weight > best || weight == best && name < first:
			first, second, best, next = name, first, weight, best
		case second == "" || weight > next || weight == next && name < second:
			second, next = name, weight
		}
	}
	return first, second
}

// PauseFor returns the pause after a denial in a fleet of a number of daemons, so that beyond the quota the asks for a workspace
// don't grow with the daemons.
func PauseFor(daemons int) time.Duration {
	return min(max(time.Duration(daemons)*time.Millisecond, minPause), maxPause)
}

func seconds(d time.Duration) float64 { return d.Seconds() }

func duration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
