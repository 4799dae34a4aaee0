package claimer

import (
	"math"
	"strconv"
	"time"

	"samphirewharf/internal/decision/pacer"
)

// neverDue is later than any time.
const neverDue = time.Duration(math.MaxInt64)

// A partition is what a Machine knows of one partition that it owns or still has to write to.
type partition struct {
	number int
	// key is the key of the active segment.
	key   string
	owned bool
	// loaded tells that the index holds all of the active segment at revision and all that it lists.
	loaded bool
	// stale tells that the active segment must be read again before the next write.
	stale bool
	// down tells that the last call failed; claims are then refused at once.
	storeDown bool
	// pace is the pace of retries while calls fail.
	backoff pacer.Backoff
	// busy tells that a call is under way. There is never more than one, deletes and reads of
	// sealed segments aside.
	callInFlight bool
	// reading is how many sealed segments are being read; fetched are the answers by name.
	segmentReads   int
	segmentAnswers map[string]Answer

	// revision, listed and body are the active segment as last read or written.
	revision int64
	sealed   []string
	body     []byte
	index    index
	// copied is the revision of the sealed copy of the active segment, 0 if there is none.
	copyRevision int64

	// local holds the claims of this process by key; at most one for each key.
	localClaims map[string]*claim
	// waiting are requests whose claims can't be decided yet, oldest first.
	waiting []*claim
	// items are the entries that are not known to be in the store, oldest first.
	pending []*pendingEntry
	// garbage are sealed segments that are no longer listed and whose deletion failed.
	garbage []segment

	// retryAt is when the next call may be made, nextWriteAt when the next write may be, and dueAt
	// when the items must be written.
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

// committed reports whether an item that was sent is in the store. The active segment must have moved
// past the revision that the item was sent at.
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

// markUp notes that the key-value service answered.
func (p *partition) markUp() {
	p.storeDown = false
	p.backoff.Reset()
}

// segmentKey returns the key of a sealed segment.
func (p *partition) segmentKey(name string) string { return p.key + "/" + name }

// segmentsLoaded reports whether all listed segments have been read.
func (p *partition) segmentsLoaded() bool { return len(p.index.segments) == len(p.sealed) }

// drainWaiting returns the waiting requests and leaves none.
func (p *partition) drainWaiting() []*claim {
	waiting := p.waiting
	p.waiting = nil
	return waiting
}

// unused reports whether nothing is left to do for the partition.
func (p *partition) unused() bool {
	return !p.owned && !p.callInFlight && len(p.pending) == 0 && len(p.localClaims) == 0 && len(p.waiting) == 0
}

// unreadSegments returns the listed segments that have not been read.
func (p *partition) unreadSegments() []string { return p.sealed[len(p.index.segments):] }
