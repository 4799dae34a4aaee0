// Package follower keeps a daemon's view of the store up to date: it lists a prefix, watches it, and lists it again
// after a watch has failed.
package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"

	"samphirewharf/internal/external/storer"
)

const (
	// initialBackoff is the delay after the first failure in a row. It doubles with each further one, up to maxBackoff.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 600 * time.Millisecond
	// maxPollWait bounds how long a call of a watch waits for changes: two of them have to fit in the time for which the store keeps
	// changes. minPollTime is the least time between two calls without changes.
	maxPollWait = 8 * time.Second
	minPollTime = 50 * time.Millisecond
)

// A Follower follows one prefix of the store. Set the fields, then call Run.
type Follower struct {
	Prefix string
	// BatchDelay is the delay after changes, so that changes in quick succession arrive in one answer.
	BatchDelay time.Duration
	// List returns all entries and the revision after which a poll reports all later changes.
	List func(ctx context.Context, prefix string) ([]storer.Entry, int64, storer.Result)
	// Poll returns the changes since a revision, and the revision to continue from. If there are none, it waits for some.
	Poll func(ctx context.Context, prefix string, from int64, wait time.Duration) ([]storer.Change, int64, error)
	// Wait returns how long the next poll may wait.
	Wait func() time.Duration
	// Now returns the time for Proved, which is called with the time as of which Listed, Changed and Removed were called with all that
	// the store had accepted.
	Now    func() time.Duration
	Proved func(at time.Duration)
	// Listed is called with all entries as of a revision.
	Listed func(entries []storer.Entry, revision int64)
	// Changed is called with an entry that was written, Removed with the key of an entry that was removed.
	Changed func(e storer.Entry)
	Removed func(key string, revision int64)
	Logger  *log.Logger
}

// Run follows the prefix until the context is done. After each failed watch it lists the prefix again instead of
// resuming the watch: a store that is about to compact its history may close its watches first, and accept new ones
// without reporting the changes that they have missed.
func (f *Follower) Run(ctx context.Context) {
	backoff := initialBackoff
	for ctx.Err() == nil {
		revision, ok := f.list(ctx)
		if !ok {
			backoff = f.wait(ctx, backoff)
			continue
		}
		next, err := f.watch(ctx, revision+1)
		if next > revision+1 {
			backoff = initialBackoff
		}
		switch {
		case errors.Is(err, storer.ErrCompacted):
			f.Logger.Info().Str("Prefix", f.Prefix).Int64("From", next).Msg("changes were compacted; listing again")
		case ctx.Err() == nil:
			f.Logger.Info().Err(err).Str("Prefix", f.Prefix).Msg("watch failed; listing again")
			backoff = f.wait(ctx, backoff)
		}
	}
}

func (f *Follower) list(ctx context.Context) (int64, bool) {
	sentAt := f.Now()
	entries, revision, result := f.List(ctx, f.Prefix)
	if result != storer.ResultOK {
		return 0, false
	}
	f.Listed(entries, revision)
	f.Proved(sentAt)
	return revision, true
}

// watch reports changes in order, starting at a revision, until the context is done or a call fails. It returns the revision to
// continue from.
//
// A poll may end without the changes that were made while it waited, but with a revision after them. So a poll without changes only
// confirms the revision of the one before it.
func (f *Follower) watch(ctx context.Context, from int64) (int64, error) {
	unconfirmed := from
	for {
		wait := min(f.Wait(), maxPollWait)
		sentAt := f.Now()
		changes, next, err := f.Poll(ctx, f.Prefix, from, wait)
		if err != nil {
			return from, err
		}
		for _, c := range changes {
			f.report(c)
		}
		elapsed := f.Now() - sentAt
		pause := f.BatchDelay
		if len(changes) == 0 {
			from, unconfirmed = unconfirmed, max(unconfirmed, next)
			pause = minPollTime - elapsed
		} else {
			from = max(from, next)
			unconfirmed = from
		}
		f.Proved(provedAt(sentAt, wait, elapsed, len(changes) > 0))
		if err := f.pause(ctx, pause); err != nil {
			return from, err
		}
	}
}

// provedAt returns as of when a poll proves the view. One that has waited for changes in vain was answered after that.
func provedAt(sentAt, wait, elapsed time.Duration, changed bool) time.Duration {
	if changed || elapsed < wait {
		return sentAt
	}
	return sentAt + wait
}

func (f *Follower) report(c storer.Change) {
	if c.Deleted {
		f.Removed(c.Key, c.Revision)
		return
	}
	f.Changed(c.Entry)
}

// wait waits for the backoff with jitter, so that the daemons' retries don't coincide, and returns the next backoff.
func (f *Follower) wait(ctx context.Context, backoff time.Duration) time.Duration {
	_ = f.pause(ctx, backoff/2+rand.N(backoff))
	return min(2*backoff, maxBackoff)
}

// pause waits for a time, or until the context is done.
func (f *Follower) pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
