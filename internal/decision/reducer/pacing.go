package reducer

import (
	"time"

	"samphirewharf/internal/decision/pacer"
)

const (
	// initialRetryDelay is the delay after the first failed call to the key-value service, before jitter.
	initialRetryDelay = time.Second
	// maxRetryDelay is the longest delay after a failed call, before jitter.
	maxRetryDelay = 8 * time.Second
)

// storeBackoffs are the backoffs of the daemon's own calls to the key-value service.
type storeBackoffs struct {
	// members is for the list of members, registration for reads and writes of the daemon's own key.
	members       pacer.Backoff
	registration  pacer.Backoff
	configuration pacer.Backoff
}

func newStoreBackoffs() storeBackoffs {
	p := pacer.Backoff{Initial: initialRetryDelay, Max: maxRetryDelay}
	return storeBackoffs{members: p, registration: p, configuration: p}
}
