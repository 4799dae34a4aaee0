// Package verifier decides how old a view of the store may be, whoever keeps it up to date.
package verifier

import "time"

// A Proof says as of when a view is known to hold all that the store had accepted.
type Proof struct {
	// At is that time, valid if Known.
	At    time.Duration
	Known bool
	// Source tells who proved it: this daemon's watch of the store, or the upstream.
	Source string
}

// Age returns how long ago the view was last known to hold all.
func (p Proof) Age(now time.Duration) time.Duration { return now - p.At }

// maxSubscriptions is how many subscriptions an upstream's proofs may refer to. It has received one of the latest.
const maxSubscriptions = 8

// A Verifier holds the latest proofs of the views of the store, by prefix. The zero value is ready to use.
//
// Daemons have no common clock. An upstream therefore says how long after a subscription its view was proved, and the subscriber knows
// when it sent that. So the time for which an update is on its way makes a proof older, never newer.
type Verifier struct {
	// LastToken is the token of the latest subscription. It starts at a number that differs between processes.
	LastToken uint64

	proofs map[string]Proof
	// subscriptions are the latest ones.
	subscriptions []subscription
}

type subscription struct {
	token  uint64
	sentAt time.Duration
}

// Proof returns the latest proof of a view.
func (v *Verifier) Proof(prefix string) Proof { return v.proofs[prefix] }

// Proved records a proof. It returns the one before if this one is later, and false otherwise.
func (v *Verifier) Proved(prefix string, at time.Duration, source string) (before Proof, later bool) {
	before = v.proofs[prefix]
	if before.Known && at <= before.At {
		return before, false
	}
	if v.proofs == nil {
		v.proofs = make(map[string]Proof)
	}
	v.proofs[prefix] = Proof{At: at, Known: true, Source: source}
	return before, true
}

// Subscribe returns the token of a subscription that is sent now.
func (v *Verifier) Subscribe(now time.Duration) uint64 {
	v.LastToken++
	if len(v.subscriptions) == maxSubscriptions {
		v.subscriptions = v.subscriptions[1:]
	}
	v.subscriptions = append(v.subscriptions, subscription{token: v.LastToken, sentAt: now})
	return v.LastToken
}

// SubscribedAt returns when the subscription with a token was sent. It returns false for one that isn't known any more.
func (v *Verifier) SubscribedAt(token uint64) (at time.Duration, ok bool) {
	for _, s := range v.subscriptions {
		if s.token == token {
			return s.sentAt, true
		}
	}
	return 0, false
}

// Since returns the proofs relative to the arrival of a subscription, by prefix, for the subscriber.
func (v *Verifier) Since(receivedAt time.Duration) map[string]time.Duration {
	times := make(map[string]time.Duration, len(v.proofs))
	for prefix, p := range v.proofs {
		times[prefix] = p.At - receivedAt
	}
	return times
}
