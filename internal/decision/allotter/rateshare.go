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

// sharersBeyondRate is how many more daemons than the requests a second share a rate. Each of them may send one request in
// advance, so in a large fleet not all daemons can have a share.
const sharersBeyondRate = 4

// ShareRate returns a daemon's share of the rate of requests that a server takes from all daemons together, 0 if it has none.
// All daemons that know the same daemons come to shares whose sum is the rate.
func ShareRate(perSecond float64, server, daemon string, daemons []string) float64 {
	sharers := max(1, min(len(daemons), int(min(perSecond, float64(len(daemons)))+sharersBeyondRate)))
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

// SetRate sets the requests a second.
func (s *RateShare) SetRate(now time.Duration, perSecond float64) {
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(rate.Limit(perSecond), 1)
		return
	}
	s.limiter.SetLimitAt(clock(now), rate.Limit(perSecond))
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

// Take counts a request that is sent.
func (s *RateShare) Take(now time.Duration) {
	if s.limiter != nil {
		s.limiter.ReserveN(clock(now), 1)
	}
}

// clock returns a time for the rate limiter, which only uses differences.
func clock(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }
