package claimer

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"samphirewharf/internal/caller/refuser"
)

// abandon denies a request and ensures that it is never granted afterwards.
func (m *Machine) abandon(c *claim, code refuser.Code) {
	p := c.partition
	m.deny(c, code, refuser.NotRun, m.settings.RetryInterval)
	if c.state == StateRunning {
		m.release(c)
		return
	}
	c.abandoned = true
	if c.state == StateWaiting {
		p.waiting = slices.DeleteFunc(p.waiting, func(other *claim) bool { return other == c })
		return
	}
	for i, e := range p.pending {
		if e.claim == c && !e.sent {
			p.pending = append(p.pending[:i:i], p.pending[i+1:]...)
			m.removeClaim(c)
			return
		}
	}
}

// decide answers a request from the known state of its key, queues its claim, or keeps it waiting.
func (m *Machine) decide(c *claim) {
	p := c.partition
	if local, ok := p.localClaims[c.request.Key]; ok {
		m.decideLocal(c, local)
		return
	}
	if !p.loaded {
		m.queueWaiting(c)
		return
	}
	r, ok := p.index.lookup(c.request.Key)
	switch {
	case !ok || r.claimable():
		m.queueClaim(c)
	case r.bodyHash != c.request.BodyHash:
		m.deny(c, refuser.CodeIdempotencyKeyReused, refuser.NotRun, 0)
	case r.kind == entryResult:
		m.replay(c, Result{Status: r.status, ContentType: r.contentType, Body: r.body, TooLarge: r.tooLarge})
	case strings.HasPrefix(r.claim, m.owner) || c.readSinceArrival || p.storeDown:
		m.deny(c, refuser.CodeOutcomeUnknown, refuser.MayHaveRun, 0)
	default:
		// The former owner may have recorded the result since the last read.
		p.stale = true
		m.queueWaiting(c)
	}
}

// decideLocal answers a request whose key has a claim of this process.
func (m *Machine) decideLocal(c, local *claim) {
	switch {
	case local.abandoned || local.state == StateReleasing:
		m.queueWaiting(c)
	case local.request.BodyHash != c.request.BodyHash:
		m.deny(c, refuser.CodeIdempotencyKeyReused, refuser.NotRun, 0)
	case local.state == StateFinished:
		m.replay(c, local.result)
	default:
		m.deny(c, refuser.CodeAlreadyInProgress, refuser.MayHaveRun, m.settings.RetryInterval)
	}
}

func (m *Machine) decideWaiting(p *partition) {
	for _, c := range p.drainWaiting() {
		m.decide(c)
	}
}

func (m *Machine) deny(c *claim, code refuser.Code, ran refuser.RunState, retryAfter time.Duration) {
	delete(m.requests, c.request.ID)
	m.emit(Denied{Request: c.request.ID, Code: code, Ran: ran, RetryAfter: retryAfter})
}

// enqueue adds an entry of a claim to the pending entries.
func (m *Machine) enqueue(c *claim, kind entryKind) {
	e := entry{
		Kind:     kind,
		Key:      c.request.Key,
		BodyHash: c.request.BodyHash,
		Claim:    c.id,
		At:       m.now.Wall.UnixMilli(),
	}
	if kind == entryResult {
		e.Status = c.result.Status
		e.ContentType = c.result.ContentType
		e.Body = c.result.Body
		e.TooLarge = c.result.TooLarge
	}
	line, err := e.encode()
	if err != nil {
		// Not reached: strings, numbers and bytes can always be encoded.
		return
	}
	due := m.now.Monotonic
	if kind == entryResult {
		due += m.settings.ResultDelay
	}
	c.partition.dueAt = min(c.partition.dueAt, due)
	c.partition.pending = append(c.partition.pending, &pendingEntry{claim: c, entry: e, line: line})
}

// removeClaim removes a claim of this process.
func (m *Machine) removeClaim(c *claim) {
	delete(m.requests, c.request.ID)
	if c.partition.localClaims[c.request.Key] == c {
		delete(c.partition.localClaims, c.request.Key)
	}
}

// grant lets a request run. Its claim is known to be in the store.
func (m *Machine) grant(c *claim) {
	if m.hooks.abandoned(c) {
		m.release(c)
		return
	}
	c.state = StateRunning
	m.emit(Granted{Request: c.request.ID})
}

// keyExpired reports whether the time in the key is longer ago than the retention of claims.
func (m *Machine) keyExpired(key string) bool {
	createdAt, ok := keyTime(key)
	return ok && m.now.Wall.Sub(createdAt) > m.settings.Retention
}

func (m *Machine) queueClaim(c *claim) {
	if c.partition.storeDown || len(c.partition.sealed) >= m.settings.MaxSegments {
		m.deny(c, refuser.CodeClaimUnavailable, refuser.NotRun, m.settings.RetryInterval)
		return
	}
	m.nextClaim++
	c.id = m.owner + strconv.FormatUint(m.nextClaim, 10)
	c.state = StateClaiming
	c.partition.localClaims[c.request.Key] = c
	m.enqueue(c, entryClaim)
}

// denyUnsent denies every request whose claim was in no write.
func (m *Machine) denyUnsent(p *partition) {
	for _, c := range p.drainWaiting() {
		m.deny(c, refuser.CodeClaimUnavailable, refuser.NotRun, m.settings.RetryInterval)
	}
	var kept []*pendingEntry
	for _, e := range p.pending {
		if e.entry.Kind != entryClaim || e.sent {
			kept = append(kept, e)
			continue
		}
		m.removeClaim(e.claim)
		if !e.claim.abandoned {
			m.deny(e.claim, refuser.CodeClaimUnavailable, refuser.NotRun, m.settings.RetryInterval)
		}
	}
	p.pending = kept
}

// release frees the key of a claim whose request is never dispatched.
func (m *Machine) release(c *claim) {
	c.state = StateReleasing
	m.enqueue(c, entryRelease)
}

func (m *Machine) replay(c *claim, r Result) {
	if r.TooLarge {
		m.deny(c, refuser.CodeAlreadyRan, refuser.DidRun, 0)
		return
	}
	delete(m.requests, c.request.ID)
	m.emit(Replayed{Request: c.request.ID, Status: r.Status, ContentType: r.ContentType, Body: r.Body})
}

// queueWaiting keeps a request until the partition has been read, or denies it if the partition can't be
// read now.
func (m *Machine) queueWaiting(c *claim) {
	p := c.partition
	if p.storeDown {
		m.deny(c, refuser.CodeClaimUnavailable, refuser.NotRun, m.settings.RetryInterval)
		return
	}
	if !p.owned {
		delete(m.requests, c.request.ID)
		m.emit(Denied{Request: c.request.ID, Code: refuser.CodeClaimUnavailable, Ran: refuser.NotRun, RetryAfter: m.settings.RetryInterval, Moved: true})
		return
	}
	c.state = StateWaiting
	p.waiting = append(p.waiting, c)
}
