// Package follower keeps a daemon's view of the key-value service up to date: it lists a prefix, watches it, and lists
// it anew when the service has forgotten the changes in between.
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
	// firstPause and mostPause are the pauses after the first failure in a row, and at most.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 600 * time.Millisecond
)

// A Follower follows one prefix. Set the fields, then start Loop.
type Follower struct {
	Prefix string
	// List reads all entries and a revision from which a watch reports all later changes.
	List func(ctx context.Context, prefix string) ([]storer.Entry, int64, storer.Result)
	// Watch reports changes until it fails, and returns the revision to go on from.
	Watch func(ctx context.Context, prefix string, from int64, report func(storer.Entry, bool)) (int64, error)
	// Listed takes a complete list, as of a revision.
	Listed func(entries []storer.Entry, revision int64)
	// Changed takes a written entry, Removed the key of one that is gone.
	Changed func(e storer.Entry)
	Removed func(key string, revision int64)
	Logger  *log.Logger
}

// Run follows the prefix until the context ends. After each break it lists the prefix anew: a service that is about to
// forget changes may cut its watches first, and take up new ones without telling them what they have missed.
func (f *Follower) Run(ctx context.Context) {
	backoff := initialBackoff
	for ctx.Err() == nil {
		revision, ok := f.list(ctx)
		if !ok {
			backoff = f.wait(ctx, backoff)
			continue
		}
		next, err := f.Watch(ctx, f.Prefix, revision+1, f.report)
		if next > revision+1 {
			backoff = initialBackoff
		}
		switch {
		case errors.Is(err, storer.ErrCompacted):
			f.Logger.Info().Str("Prefix", f.Prefix).Int64("From", next).Msg("changes were forgotten; listing anew")
		case ctx.Err() == nil:
			f.Logger.Info().Err(err).Str("Prefix", f.Prefix).Msg("watch broke off; listing anew")
			backoff = f.wait(ctx, backoff)
		}
	}
}

func (f *Follower) list(ctx context.Context) (int64, bool) {
	entries, revision, result := f.List(ctx, f.Prefix)
	if result != storer.ResultOK {
		return 0, false
	}
	f.Listed(entries, revision)
	return revision, true
}

func (f *Follower) report(e storer.Entry, deleted bool) {
	if deleted {
		f.Removed(e.Key, e.Revision)
		return
	}
	f.Changed(e)
}

// wait pauses with jitter, so that daemons don't return to the service in step, and returns the next pause.
func (f *Follower) wait(ctx context.Context, backoff time.Duration) time.Duration {
	select {
	case <-ctx.Done():
	case <-time.After(backoff/2 + rand.N(backoff)):
	}
	return min(2*backoff, maxBackoff)
}
