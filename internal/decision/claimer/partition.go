package claimer

import (
	"math"
	"strconv"
	"time"

	"samphirewharf/internal/decision/pacer"
)

// neverDue is later than any time.
const neverDue = time.Duration(math.MaxInt64)

// A partition is the state of a partition that the Machine owns or still has to write to.
type partition struct {
	number int
	// key is the key of the active segment.
	key   string
	owned bool
	// loaded reports whether the index covers the active segment at revision and all sealed segments listed.
	loaded bool
	// stale reports whether the active segment must be read again before the next write.
	stale bool
	// storeDown reports whether the last store call failed. Requests that need the store are then denied at
	// once.
	storeDown bool
	// backoff delays retries while store calls fail.
	backoff pacer.Backoff
	// callInFlight reports whether a store call is in flight. There is at most one, apart from deletes and
	// from concurrent reads of sealed segments.
	callInFlight bool
	// segmentReads is the number of reads of sealed segments in flight; segmentAnswers holds the answers of
	// the finished ones by segment name.
	segmentReads   int
	segmentAnswers map[string]Answer

	// revision, sealed and body are the active segment as last read or written.
	revision int64
	sealed   []string
	body     []byte
	index    index
	// copyRevision is the revision of the sealed copy of the active segment, 0 if there is none.
	copyRevision int64

	// localClaims holds the claims of this process by key.
	localClaims map[string]*claim
	// waiting are requests whose claims can't be decided yet, oldest first.
	waiting []*claim
	// pending are the entries that are not known to be in the store, oldest first.
	pending []*pendingEntry
	// garbage are sealed segments that are no longer listed and whose deletion must be retried.
	garbage []segment

	// retryAt is the earliest time of the next store call, nextWriteAt that of the next write, and dueAt is
	// when the pending entries must be written.
	retryAt     time.Duration
	nextWriteAt time.Duration
	dueAt       time.Duration
}

func newPartition(cell string, number int, retryInterval time.Duration) *partition {
	return &partition{
		number:      number,
		backoff:     pacer.Backoff{Initial: retryInterval, Max: MaxRetryInterval},
		key:         "claims/" + cell + "/" + strconv.Itoa(number),
		localClaims: make(map[string]*claim),
		dueAt:       neverDue,
	}
}

// copyName returns the name of the sealed copy of the active segment.
func (p *partition) copyName() string { return strconv.FormatInt(p.revision, 36) }

// committed reports whether a sent entry is in the store. The active segment's revision must have changed
// since the entry was sent.
func (p *partition) committed(e *pendingEntry) bool {
	r, ok := p.index.lookup(e.entry.Key)
	same := ok && r.claim == e.entry.Claim
	switch e.entry.Kind {
	case entryClaim:
		return same
	case entryResult:
		return same && r.kind == entryResult
	default:
		return !same || r.kind == entryRelease
	}
}

// markUp records that the key-value service answered.
func (p *partition) markUp() {
	p.storeDown = false
	p.backoff.Reset()
}

// segmentKey returns the key of a sealed segment.
func (p *partition) segmentKey(name string) string { return p.key + "/" + name }

// segmentsLoaded reports whether all listed segments have been read.
func (p *partition) segmentsLoaded() bool { return len(p.index.segments) == len(p.sealed) }

// drainWaiting removes and returns the waiting requests.
func (p *partition) drainWaiting() []*claim {
	waiting := p.waiting
	p.waiting = nil
	return waiting
}

// unused reports whether the partition's state is no longer needed.
func (p *partition) unused() bool {
	return !p.owned && !p.callInFlight && len(p.pending) == 0 && len(p.localClaims) == 0 && len(p.waiting) == 0
}

// unreadSegments returns the listed segments that have not been read.
func (p *partition) unreadSegments() []string { return p.sealed[len(p.index.segments):] }
