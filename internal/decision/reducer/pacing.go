package reducer

import (
	"time"

	"samphirewharf/internal/decision/pacer"
)

const (
	// storeRetry is about how long after the first failure a call to the key-value service is made again.
	initialRetryDelay = time.Second
	// maxStoreRetry is about how long after it at most.
	maxRetryDelay = 8 * time.Second
)

// A pacing holds the retry delays of the daemon's own calls to the key-value service.
type storeBackoffs struct {
	// members paces the reading of the members, registration the writing and reading of the daemon's own key.
	members       pacer.Backoff
	registration  pacer.Backoff
	configuration pacer.Backoff
}

func newStoreBackoffs() storeBackoffs {
	p := pacer.Backoff{Initial: initialRetryDelay, Max: maxRetryDelay}
	return storeBackoffs{members: p, registration: p, configuration: p}
}
