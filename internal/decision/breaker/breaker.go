// Package breaker decides whether a server that has failed is used: a circuit breaker for each server, and probes of the
// servers that are half-open.
//
// A server that fails is left out with exponential backoff. One that answers with something invalid does so at once, has few requests
// in flight, and so looks like the best server. If that is more than an occasional answer it is suspect: it gets probes only, until
// enough answers in a row are valid.
package breaker

import (
	"math/bits"
	"time"
)

const (
	// minBackoff and maxBackoff bound how long a server is left out after consecutive failures.
	minBackoff   = 300 * time.Millisecond
	maxBackoff   = 4 * time.Second
	maxDoublings = 8
	// suspectRow is the number of invalid answers in a row, and one in suspectRatio the share of the recent answers, from which on a
	// server is suspect. Two in a hundred invalid answers seldom come to that.
	suspectRow   = 2
	suspectRatio = 4
	// failingRow is the number of invalid answers in a row from which on a server is expected to give no other.
	failingRow = 3
	// A suspect server is trusted again after soundFactor valid answers in a row for each recent one that wasn't, soundRow at most, or if
	// one in soundRatio or fewer of its recent answers were invalid.
	soundFactor = 2
	soundRow    = 8
	soundRatio  = 8
	// provenTime is how long a valid answer shows that a server is sound where others of the service have turned suspect.
	provenTime = 10 * time.Second
	// maxRecent is the number of recent answers that count.
	maxRecent = 16
)

// A Breaker is a daemon's record of the failures of one server. The zero value is closed.
type Breaker struct {
	// failures counts consecutive failures, openUntil is until when the server is left out because of them.
	failures  int
	openUntil time.Duration
	// probing reports whether openUntil was set by a probe, whose outcome isn't known yet.
	probing bool
	// invalid has a bit for each of the known recent answers, the latest lowest, set if it was invalid.
	invalid uint16
	known   int
	suspect bool
	// invalidSentAt is when the latest request was sent whose answer was invalid.
	invalidSentAt time.Duration
	// validAt is when the latest valid answer came.
	validAt time.Duration
}

// WithFailure returns the breaker after a failure. Requests that fail together count as one failure.
func (b Breaker) WithFailure(now time.Duration) Breaker {
	if b.Open(now) && !b.probing {
		return b
	}
	b.failures++
	b.probing = false
	b.openUntil = now + b.backoff()
	return b
}

// WithInvalid returns the breaker after an invalid answer, which is a failure as well, to a request that was sent at a time.
func (b Breaker) WithInvalid(now, sentAt time.Duration) Breaker {
	b.invalidSentAt = max(b.invalidSentAt, sentAt)
	b = b.withAnswer(1)
	b.suspect = b.suspect || b.invalidRow() >= suspectRow || b.invalidCount()*suspectRatio >= b.known
	return b.WithFailure(now)
}

// WithValid returns the breaker after a valid answer to a request that was sent at a time. It says nothing of what a suspect server
// does with requests that were sent later.
func (b Breaker) WithValid(now, sentAt time.Duration) Breaker {
	if b.suspect && sentAt < b.invalidSentAt {
		return b
	}
	b.validAt = now
	b = b.WithoutBackoff().withAnswer(0)
	b.suspect = b.suspect && b.validRow() < min(soundFactor*b.invalidCount(), soundRow) && b.invalidCount()*soundRatio > b.known
	if b.suspect {
		b.openUntil = now
	}
	return b
}

// WithoutBackoff returns the breaker with its failures forgotten, but for the invalid answers.
func (b Breaker) WithoutBackoff() Breaker {
	b.failures, b.openUntil, b.probing = 0, 0, false
	return b
}

// WithPause returns the breaker of a server that is left out for the longest time.
func (b Breaker) WithPause(now time.Duration) Breaker {
	b.openUntil, b.probing = now+maxBackoff, false
	return b
}

// WithProbe returns the breaker after a probe was sent. Another one may be sent after its answer or the backoff.
func (b Breaker) WithProbe(now time.Duration) Breaker {
	b.openUntil, b.probing = now+b.backoff(), true
	return b
}

// Failures returns the number of consecutive failures.
func (b Breaker) Failures() int { return b.failures }

// Probing reports whether the answer to a probe isn't known yet.
func (b Breaker) Probing() bool { return b.probing }

// Open reports whether the server is left out.
func (b Breaker) Open(now time.Duration) bool { return now < b.openUntil }

// OpenUntil returns until when the server is left out.
func (b Breaker) OpenUntil() time.Duration { return b.openUntil }

// Suspect reports whether the server is half-open after the backoff rather than closed.
func (b Breaker) Suspect() bool { return b.suspect }

// Failing reports whether the server is expected to give no valid answer.
func (b Breaker) Failing() bool { return b.invalidRow() >= failingRow }

// proven reports whether the server has given a valid answer lately, and none that was invalid since.
func (b Breaker) proven(now time.Duration) bool {
	return b.validRow() > 0 && now < b.validAt+provenTime
}

// halfOpenAt returns when a request may probe a suspect server that others are preferred to.
func (b Breaker) halfOpenAt(r Request) time.Duration {
	switch {
	case r.Repeatable:
		return b.openUntil
	case b.validRow() > 0:
		return b.openUntil + briefIdleTime
	default:
		return b.openUntil + idleTime
	}
}

func (b Breaker) backoff() time.Duration {
	return min(minBackoff<<min(max(b.failures-1, 0), maxDoublings), maxBackoff)
}

func (b Breaker) withAnswer(bit uint16) Breaker {
	b.invalid = b.invalid<<1 | bit
	b.known = min(b.known+1, maxRecent)
	return b
}

func (b Breaker) invalidCount() int { return bits.OnesCount16(b.invalid) }

// validRow and invalidRow return the number of the latest answers in a row that were valid, and invalid.
func (b Breaker) validRow() int   { return min(bits.TrailingZeros16(b.invalid), b.known) }
func (b Breaker) invalidRow() int { return bits.TrailingZeros16(^b.invalid) }
