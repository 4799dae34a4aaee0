// Package refresher asks the store itself for what a daemon's views lack, once neither its watches nor its upstream have proved them for
// too long.
package refresher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"samphirewharf/internal/decision/verifier"
	"samphirewharf/internal/edge/relayer"
	"samphirewharf/internal/external/storer"
)

// errNotListed is the error of a list without an answer.
var errNotListed = errors.New("entries weren't listed")

// A Refresher carries out the reads that the views need. Set the fields, then call Run.
type Refresher struct {
	Views *relayer.Relayer
	// Read returns the changes since a revision without waiting for some, and List all entries. Both use a connection of their own, as
	// others may be silent.
	Read func(ctx context.Context, prefix string, from int64) ([]storer.Change, error)
	List func(ctx context.Context, prefix string) ([]storer.Entry, int64, storer.Result)
	// Now returns the time, which goes on while the host is suspended.
	Now func() time.Duration
}

// Run carries out reads until the context is done.
func (r *Refresher) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-r.Views.ReadsWoken():
		}
		reads, next := r.Views.Due()
		for _, due := range reads {
			c := call{refresher: r, read: due}
			go c.run(ctx)
		}
		if next == verifier.Never {
			next = r.Now() + maxSleep
		}
		timer.Reset(min(max(next-r.Now(), minSleep), maxSleep))
	}
}

const (
	// maxSleep bounds the time after which Due is called again, since daemons begin and end to watch the store.
	maxSleep = 250 * time.Millisecond
	minSleep = time.Millisecond
)

// A call is one read of the store.
type call struct {
	refresher *Refresher
	read      relayer.Read
}

// run carries out the read.
func (c call) run(ctx context.Context) {
	if c.read.All {
		c.list(ctx)
		return
	}
	sentAt := c.refresher.Now()
	changes, err := c.refresher.Read(ctx, c.read.Prefix, c.read.From)
	if errors.Is(err, storer.ErrCompacted) {
		c.list(ctx)
		return
	}
	c.refresher.Views.ChangesRead(c.read, sentAt, changes, err)
}

func (c call) list(ctx context.Context) {
	sentAt := c.refresher.Now()
	entries, revision, result := c.refresher.List(ctx, c.read.Prefix)
	var err error
	switch result {
	case storer.ResultOK:
	case storer.ResultNotSent:
		err = fmt.Errorf("list: %w", storer.ErrRefused)
	default:
		err = errNotListed
	}
	c.refresher.Views.EntriesRead(c.read, sentAt, entries, revision, err)
}
