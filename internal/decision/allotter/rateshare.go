package allotter

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// Unavailable is the wait of a daemon that has no share of a rate. No request waits that long.
const Unavailable = 24 * time.Hour

// RateMemory is how long before a daemon knows of a rate requests count to it: about the time until a busy server has named
// its rate in an answer.
const RateMemory = 2 * time.Second

// maxRateDebt bounds how long a daemon waits for what it sent in excess of its share.
const maxRateDebt = 4 * time.Second

// sharersBeyondRate is how many more daemons than the requests a second share a rate. Each of them may send one request in
// advance, so in a large fleet not all daemons can have a share.
const sharersBeyondRate = 4

// Sharers returns how many daemons share a rate.
func Sharers(perSecond float64, daemons int) int {
	return max(1, min(daemons, int(min(perSecond, float64(daemons))+sharersBeyondRate)))
}

// ShareRate returns a daemon's share of the rate of requests that a server takes from all daemons together, 0 if it has none.
// All daemons that know the same daemons come to shares whose sum is the rate.
func ShareRate(perSecond float64, server, daemon string, daemons []string) float64 {
	sharers := Sharers(perSecond, len(daemons))
	ranked := slices.Clone(daemons)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(server+" "+a), xxhash.Sum64String(server+" "+b)), cmp.Compare(a, b))
	})
	if !slices.Contains(ranked[:sharers], daemon) {
		return 0
	}
	return perSecond / float64(sharers)
}

// A RateShare spaces one daemon's requests to a server according to its share of the server's rate. The zero value allows
// none.
type RateShare struct {
	limiter *rate.Limiter
}

// NewRateShare returns a share of the given requests a second. A server that names a rate has got too many requests before, so
// those that the daemon sent at the given times of the last RateMemory count as well. Each counts times times, for the
// daemons that have no share.
func NewRateShare(now time.Duration, perSecond float64, sent []time.Duration, times int) RateShare {
	s := RateShare{limiter: rate.NewLimiter(rate.Limit(perSecond), 1)}
	s.limiter.ReserveN(clock(now-RateMemory), 1)
	for _, at := range sent {
		for i := 0; i < times && at >= now-RateMemory && s.Wait(now) < maxRateDebt; i++ {
			s.limiter.ReserveN(clock(at), 1)
		}
	}
	return s
}

// SetRate changes the requests a second.
func (s *RateShare) SetRate(now time.Duration, perSecond float64) {
	if s.limiter != nil {
		s.limiter.SetLimitAt(clock(now), rate.Limit(perSecond))
	}
}

// Rate returns the requests a second.
func (s *RateShare) Rate() float64 {
	if s.limiter == nil {
		return 0
	}
	return float64(s.limiter.Limit())
}

// Wait returns the time until the next request may be sent, Unavailable if there is none.
func (s *RateShare) Wait(now time.Duration) time.Duration {
	perSecond := s.Rate()
	if perSecond <= 0 {
		return Unavailable
	}
	missing := 1 - s.limiter.TokensAt(clock(now))
	if missing <= 0 {
		return 0
	}
	// Rounded up, so that the request may be sent when the time is over.
	return time.Duration(missing/perSecond*float64(time.Second)) + time.Millisecond
}

// Take counts a request that is sent, also one that couldn't wait for the rate. It has the next one wait for maxRateDebt at most.
func (s *RateShare) Take(now time.Duration) {
	if s.limiter != nil && s.Wait(now) < maxRateDebt {
		s.limiter.ReserveN(clock(now), 1)
	}
}

// clock returns a time for the rate limiter, which only uses differences.
func clock(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }
