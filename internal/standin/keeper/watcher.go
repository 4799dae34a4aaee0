package keeper

import (
	"encoding/json"
	"net/http"

	"samphirewharf/internal/standin/responder"
)

// A watcher serves one watch.
type watcher struct {
	service *KeyValueService
	request WatchCreateRequest
	// nextRevision is the first revision that has not been sent yet.
	nextRevision int64
}

// serve writes changes until the caller disconnects, the watch is canceled by a compaction, the service stops or the
// faults take it down.
func (w *watcher) serve(encoder *json.Encoder, rw http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(rw)
	created := true
	for {
		response, changed, down := w.collect()
		if down {
			responder.Drop(rw)
			return
		}
		response.Created = created
		if created || response.Canceled || len(response.Events) > 0 {
			if encoder.Encode(WatchResult{response}) != nil || controller.Flush() != nil {
				return
			}
		}
		created = false
		if response.Canceled {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// collect returns the changes that have not been sent yet and a channel that is closed at the next one. Down reports
// whether the faults take the service down.
func (w *watcher) collect() (response WatchResponse, changed <-chan struct{}, down bool) {
	k := w.service
	k.mu.Lock()
	defer k.mu.Unlock()
	response.Header = k.header()
	if w.nextRevision <= k.store.compacted {
		response.Canceled = true
		response.CompactRevision = Int64(k.store.compacted + 1)
		return response, k.store.changed, k.faults.Down
	}
	response.Events = k.store.eventsSince(w.request.Key, w.request.RangeEnd, w.nextRevision)
	w.nextRevision = max(w.nextRevision, k.store.revision+1)
	return response, k.store.changed, k.faults.Down
}
