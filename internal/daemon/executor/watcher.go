package executor

import (
	"context"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/external/storer"
)

// A watcher reports changes to keys with a prefix until its context ends. After each disconnection it reads the keys
// again, so that the latest value of each key is reported even if changes were missed.
type watcher struct {
	executor  *Executor
	ctx       context.Context //nolint:containedctx // It spans the watch's lifetime.
	prefix    string
	revisions map[string]int64
}

// loop watches, and reconnects after each disconnection.
func (w *watcher) loop() {
	var retry backoff
	for w.ctx.Err() == nil {
		from, ok := w.refresh()
		if ok {
			retry = backoff{}
			_ = w.executor.Store.Watch(w.ctx, w.prefix, from, w.postChange)
		}
		select {
		case <-w.ctx.Done():
		case <-time.After(retry.next()):
		}
	}
}

// refresh reports the changes since the last watch ended and returns the revision from which to watch.
func (w *watcher) refresh() (int64, bool) {
	entries, revision, result := w.executor.Store.ListWithRevision(w.ctx, w.prefix)
	if result != storer.ResultOK {
		return 0, false
	}
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
		if w.revisions[e.Key] < e.Revision {
			w.postChange(e, false)
		}
	}
	for key := range w.revisions {
		if !present[key] {
			w.postChange(storer.Entry{Key: key, Revision: revision}, true)
		}
	}
	return revision + 1, true
}

func (w *watcher) postChange(e storer.Entry, deleted bool) {
	if w.revisions == nil {
		w.revisions = make(map[string]int64)
	}
	if deleted {
		delete(w.revisions, e.Key)
	} else {
		w.revisions[e.Key] = e.Revision
	}
	w.executor.Post(reducer.StoreChanged{Entry: e, Deleted: deleted})
}
