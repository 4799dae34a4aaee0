// Package attributor attributes crashes of servers to what the requests that ran there have in common: their whole content,
// or a part of their prompts.
//
// A server that ends takes all of its requests with it, so that most of them had no part in it. Evidence for a trait are the
// crashes since a request with the trait was last answered, and evidence of all daemons can be merged in any order.
package attributor

import (
	"cmp"
	"time"
)

// A Kind is what requests with the same trait have in common.
type Kind uint8

// Kinds of traits.
const (
	// KindRequest: the whole content.
	KindRequest Kind = iota
	// KindPart: a part of the prompt.
	KindPart
)

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	if k == KindPart {
		return "PromptPart"
	}
	return "Request"
}

// A Trait is something that requests have in common.
type Trait struct {
	Kind Kind
	Hash uint64
}

// Compare orders traits.
func (t Trait) Compare(other Trait) int {
	return cmp.Or(cmp.Compare(t.Kind, other.Kind), cmp.Compare(t.Hash, other.Hash))
}

// Traits returns the traits of a request, the first one of which is its whole content. The last part of a prompt belongs to
// the request alone.
func Traits(fingerprint uint64, parts []uint64) []Trait {
	traits := []Trait{{Kind: KindRequest, Hash: fingerprint}}
	for i := 0; i < len(parts)-1; i++ {
		traits = append(traits, Trait{Kind: KindPart, Hash: parts[i]})
	}
	return traits
}

// A Crash is the end of a server while a request was running there.
type Crash struct {
	// Server is a hash of the incarnation.
	Server uint64
	// Request is the fingerprint of the request.
	Request uint64
	At      time.Duration
}

// Evidence is what is known of a trait. Times are those of the daemon that holds it.
type Evidence struct {
	Trait Trait
	// Depth is the position of a part in its prompt, from 0.
	Depth   int
	Crashes []Crash
	// ReportedCrashes is the highest number of crashes of a daemon that names no servers.
	ReportedCrashes int
	// AnsweredAt is when a request with the trait was last answered, valid if Answered.
	Answered   bool
	AnsweredAt time.Duration
	// Quarantines is how often the trait was quarantined, QuarantinedAt when the last server ended that quarantined it, and HeldUntil until
	// when no request with it is sent. The first Cleared of the quarantines no longer hold.
	Quarantines   int
	Cleared       int
	QuarantinedAt time.Duration
	HeldUntil     time.Duration
}

// Quarantined reports whether requests with the trait are held back, apart from probes.
func (e *Evidence) Quarantined() bool { return e.Quarantines > e.Cleared }
