package relayer

import (
	"time"

	"samphirewharf/internal/decision/verifier"
	"samphirewharf/internal/peer/messenger"
)

const (
	// sourceWatch is the source of what this daemon reads from the store itself.
	sourceWatch = "watch"
	// longUnproved is how long a view may be unproved before that is logged.
	longUnproved = 2 * time.Second
)

// Proof returns as of when the view of the entries with a prefix is known to hold all that the store had accepted.
func (r *Relayer) Proof(prefix string) verifier.Proof {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verifier.Proof(prefix)
}

// Proved records that this daemon has read all that the store had accepted at a time.
func (r *Relayer) Proved(prefix string, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proved(prefix, at, sourceWatch)
}

// provedBy records what an update of the upstream, whose entries have been applied, proves.
func (r *Relayer) provedBy(upstream string, feed *messenger.Feed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sentAt, ok := r.verifier.SubscribedAt(feed.Token)
	if !ok {
		return
	}
	for prefix, since := range feed.Proved {
		r.proved(prefix, sentAt+since, upstream)
	}
}

func (r *Relayer) proved(prefix string, at time.Duration, source string) {
	before, later := r.verifier.Proved(prefix, at, source)
	now := r.Clock()
	if !later || !before.Known || before.Age(now) < longUnproved {
		return
	}
	r.Logger.Info().Str("Subject", "View "+prefix).Str("Change", "Proved").Str("Reason", "it had not been for long").
		Int64("AgeMs", before.Age(now).Milliseconds()).Str("Detail", "before by "+before.Source+", now by "+source).Msg("belief")
}
