package relayer

import (
	"context"
	"errors"
	"time"

	"samphirewharf/internal/decision/verifier"
	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/peer/messenger"
)

const (
	// sourceWatch and sourceRead are the sources of what this daemon reads from the store itself.
	sourceWatch = "watch"
	sourceRead  = "read"
	// longUnproved is how long a view may be unproved before that is logged.
	longUnproved = 2 * time.Second
	// maxProofWait is how long a request waits for a view to be proved by the store, which answers within milliseconds.
	maxProofWait = 250 * time.Millisecond
)

// A Read is a call to the store that is due.
type Read struct {
	verifier.Read
	// From is the revision from which on changes are read.
	From int64
}

// SetMaxAges sets how old views may be, by prefix.
func (r *Relayer) SetMaxAges(ages map[string]time.Duration) { r.verifier.MaxAges = ages }

// Proof returns as of when the view of the entries with a prefix is known to hold all that the store had accepted.
func (r *Relayer) Proof(prefix string) verifier.Proof {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verifier.Proof(prefix)
}

// Wait returns how long a call of a watch that is sent now may wait for changes.
func (r *Relayer) Wait(prefix string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verifier.Wait(r.Clock(), prefix)
}

// AwaitProofs waits while the store may prove the views with some prefixes that are too old to act on. It reports whether all of them are
// recent enough.
func (r *Relayer) AwaitProofs(ctx context.Context, prefixes ...string) bool {
	timeout := time.NewTimer(0)
	defer timeout.Stop()
	for first := true; ; first = false {
		trusted, pending, changed := r.trust(prefixes)
		if trusted || !pending {
			return trusted
		}
		if first {
			timeout.Reset(maxProofWait)
			r.wakeReads()
		}
		select {
		case <-changed:
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// trust reports whether views are recent enough to act on, and whether the store may prove those that aren't. The channel is closed when
// that may have changed.
func (r *Relayer) trust(prefixes []string) (trusted, pending bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock()
	trusted, pending = true, true
	r.verifier.SetStore(r.StoreState())
	for _, prefix := range prefixes {
		if !r.verifier.Trusted(now, prefix) {
			trusted = false
			pending = pending && r.verifier.Pending(prefix)
		}
	}
	return trusted, pending, r.changedProofs
}

// proofsChanged wakes those that wait for proofs.
func (r *Relayer) proofsChanged() {
	close(r.changedProofs)
	r.changedProofs = make(chan struct{})
}

// Due returns the reads of the store that are due, and when it has to be called again.
func (r *Relayer) Due() (reads []Read, next time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock()
	r.verifier.SetStore(r.StoreState())
	for _, read := range r.verifier.Due(now) {
		proof := r.verifier.Proof(read.Prefix)
		r.Logger.Info().Str("Subject", "View "+read.Prefix).Str("Change", "Unproved").Str("Reason", "the store is asked").
			Int64("AgeMs", proof.Age(now).Milliseconds()).Str("Detail", "proved last by "+proof.Source).Msg("belief")
		reads = append(reads, Read{Read: read, From: r.revisions[read.Prefix] + 1})
	}
	return reads, r.verifier.NextAt()
}

// ReadsWoken returns a channel that receives when Due has to be called earlier than it has said.
func (r *Relayer) ReadsWoken() <-chan struct{} { return r.wokenReads }

func (r *Relayer) wakeReads() {
	select {
	case r.wokenReads <- struct{}{}:
	default:
	}
}

// ChangesRead handles what a read of changes that was sent at a time has returned.
func (r *Relayer) ChangesRead(read Read, sentAt time.Duration, changes []storer.Change, err error) {
	if err == nil {
		h := r.reader(read.Prefix)
		for _, c := range changes {
			if c.Deleted {
				h.Removed(c.Key, c.Revision)
			} else {
				h.Changed(c.Entry)
			}
		}
	}
	r.readEnded(read, sentAt, err)
}

// EntriesRead handles the entries as of a revision that a read that was sent at a time has returned.
func (r *Relayer) EntriesRead(read Read, sentAt time.Duration, entries []storer.Entry, revision int64, err error) {
	if err == nil {
		r.reader(read.Prefix).Listed(entries, revision)
	}
	r.readEnded(read, sentAt, err)
}

// reader returns the handler for entries with a prefix that this daemon reads from the store besides its watches.
func (r *Relayer) reader(prefix string) Handler {
	r.mu.Lock()
	following := r.following
	r.mu.Unlock()
	for _, h := range r.handlers {
		if h.Prefix == prefix {
			if following {
				return r.Wrap(h)
			}
			return r.noteRevisions(h)
		}
	}
	return Handler{}
}

func (r *Relayer) readEnded(read Read, sentAt time.Duration, err error) {
	outcome := verifier.Answered
	switch {
	case err == nil:
		r.proved(read.Prefix, sentAt, sourceRead, true)
	case errors.Is(err, storer.ErrRefused):
		outcome = verifier.Refused
	default:
		outcome = verifier.Unanswered
	}
	if err != nil {
		r.Logger.Info().Err(err).Str("Prefix", read.Prefix).Msg("store didn't prove the view")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.verifier.Ended(r.Clock(), sentAt, read.Read, outcome)
	r.proofsChanged()
}

// Proved records that this daemon's watch has brought all that the store had accepted at a time.
func (r *Relayer) Proved(prefix string, at time.Duration) { r.proved(prefix, at, sourceWatch, true) }

// provedBy records what an update of the upstream, whose entries have been applied, proves. Recorded reports whether its entries are relayed.
func (r *Relayer) provedBy(upstream string, feed *messenger.Feed, recorded bool) {
	r.mu.Lock()
	sentAt, ok := r.verifier.SubscribedAt(feed.Token)
	r.mu.Unlock()
	if !ok {
		return
	}
	for prefix, since := range feed.Proved {
		if _, known := r.prefixes[prefix]; known {
			r.proved(prefix, sentAt+since, upstream, recorded)
		}
	}
}

// provedSince returns the proofs of what is relayed relative to the arrival of a subscription, by prefix.
func (r *Relayer) provedSince(receivedAt time.Duration) map[string]time.Duration {
	times := make(map[string]time.Duration, len(r.prefixes))
	for prefix, s := range r.prefixes {
		if s.proved {
			times[prefix] = s.provedAt - receivedAt
		}
	}
	return times
}

// proved records a proof. Relayed reports whether it holds for the entries that are relayed as well, if this daemon watches the store.
func (r *Relayer) proved(prefix string, at time.Duration, source string, relayed bool) {
	r.mu.Lock()
	now := r.Clock()
	at = min(at, now)
	if s := r.prefixes[prefix]; relayed && r.following && s.listed && (!s.proved || at > s.provedAt) {
		s.proved, s.provedAt = true, at
	}
	before, later := r.verifier.Proved(prefix, at, source)
	if later {
		r.proofsChanged()
	}
	r.mu.Unlock()
	if !later {
		return
	}
	if r.OnProved != nil {
		r.OnProved(prefix, verifier.Proof{At: at, Known: true, Source: source})
	}
	if before.Known && before.Age(now) >= longUnproved {
		r.Logger.Info().Str("Subject", "View "+prefix).Str("Change", "Proved").Str("Reason", "it had not been for long").
			Int64("AgeMs", before.Age(now).Milliseconds()).Str("Detail", "before by "+before.Source+", now by "+source).Msg("belief")
	}
}

// noteRevisions returns a handler that notes which revision the view has, besides calling h.
func (r *Relayer) noteRevisions(h Handler) Handler {
	return Handler{
		Prefix: h.Prefix,
		Listed: func(entries []storer.Entry, revision int64) {
			h.Listed(entries, revision)
			r.noteRevision(h.Prefix, revision)
		},
		Changed: func(e storer.Entry) {
			h.Changed(e)
			r.noteRevision(h.Prefix, e.Revision)
		},
		Removed: func(key string, revision int64) {
			h.Removed(key, revision)
			r.noteRevision(h.Prefix, revision)
		},
	}
}

// noteRevision notes that the view holds all changes up to a revision.
func (r *Relayer) noteRevision(prefix string, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revisions[prefix] = max(r.revisions[prefix], revision)
}
