package claimer

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"samphirewharf/internal/caller/refuser"
)

// abandon answers an undecided request, which is never granted afterwards.
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
	for i, queued := range p.items {
		if queued.claim == c && !queued.sent {
			p.items = append(p.items[:i:i], p.items[i+1:]...)
			m.forget(c)
			return
		}
	}
}

// decide answers a request from what is known, queues its claim, or leaves it waiting.
func (m *Machine) decide(c *claim) {
	p := c.partition
	if other, ok := p.local[c.request.Key]; ok {
		m.decideLocal(c, other)
		return
	}
	if !p.loaded {
		m.wait(c)
		return
	}
	r, ok := p.index.lookup(c.request.Key)
	switch {
	case !ok || r.free():
		m.queueClaim(c)
	case r.bodyHash != c.request.BodyHash:
		m.deny(c, refuser.CodeIdempotencyKeyReused, refuser.NotRun, 0)
	case r.kind == entryResult:
		m.replay(c, Result{Status: r.status, ContentType: r.contentType, Body: r.body, TooLarge: r.tooLarge})
	case strings.HasPrefix(r.claim, m.owner) || c.fresh || p.down:
		m.deny(c, refuser.CodeOutcomeUnknown, refuser.MayHaveRun, 0)
	default:
		// Its former owner may have recorded the result since.
		p.stale = true
		m.wait(c)
	}
}

// decideLocal answers a request whose key this process is busy with.
func (m *Machine) decideLocal(c, other *claim) {
	switch {
	case other.abandoned || other.state == StateReleasing:
		m.wait(c)
	case other.request.BodyHash != c.request.BodyHash:
		m.deny(c, refuser.CodeIdempotencyKeyReused, refuser.NotRun, 0)
	case other.state == StateFinished:
		m.replay(c, other.result)
	default:
		m.deny(c, refuser.CodeAlreadyInProgress, refuser.MayHaveRun, m.settings.RetryInterval)
	}
}

func (m *Machine) decideWaiting(p *partition) {
	for _, c := range p.takeWaiting() {
		m.decide(c)
	}
}

func (m *Machine) deny(c *claim, code refuser.Code, ran refuser.Ran, retryAfter time.Duration) {
	delete(m.requests, c.request.ID)
	m.emit(Denied{Request: c.request.ID, Code: code, Ran: ran, RetryAfter: retryAfter})
}

// enqueue adds an entry of a claim to what is to be written.
func (m *Machine) enqueue(c *claim, kind entryKind) {
	e := entry{
		Kind:     kind,
		Key:      c.request.Key,
		BodyHash: c.request.BodyHash,
		Claim:    c.id,
		At:       m.moment.Wall.UnixMilli(),
	}
	if kind == entryResult {
		e.Status = c.result.Status
		e.ContentType = c.result.ContentType
		e.Body = c.result.Body
		e.TooLarge = c.result.TooLarge
	}
	line, err := e.encode()
	if err != nil {
		// An entry of strings, numbers and bytes always has an encoding.
		return
	}
	due := m.moment.Monotonic
	if kind == entryResult {
		due += m.settings.ResultDelay
	}
	c.partition.dueAt = min(c.partition.dueAt, due)
	c.partition.items = append(c.partition.items, &item{claim: c, entry: e, line: line})
}

// forget ends a claim of this process.
func (m *Machine) forget(c *claim) {
	delete(m.requests, c.request.ID)
	if c.partition.local[c.request.Key] == c {
		delete(c.partition.local, c.request.Key)
	}
}

// grant lets a request run whose claim is known to be in the store.
func (m *Machine) grant(c *claim) {
	if m.seams.abandoned(c) {
		m.release(c)
		return
	}
	c.state = StateRunning
	m.emit(Granted{Request: c.request.ID})
}

// keyExpired reports whether the key's own time is older than claims are kept.
func (m *Machine) keyExpired(key string) bool {
	made, ok := keyTime(key)
	return ok && m.moment.Wall.Sub(made) > m.settings.Retention
}

func (m *Machine) queueClaim(c *claim) {
	if c.partition.down || len(c.partition.listed) >= m.settings.MaxSegments {
		m.deny(c, refuser.CodeClaimUnavailable, refuser.NotRun, m.settings.RetryInterval)
		return
	}
	m.nextClaim++
	c.id = m.owner + strconv.FormatUint(m.nextClaim, 10)
	c.state = StateClaiming
	c.partition.local[c.request.Key] = c
	m.enqueue(c, entryClaim)
}

// refuseUnsent refuses every request whose claim was in no write.
func (m *Machine) refuseUnsent(p *partition) {
	for _, c := range p.takeWaiting() {
		m.deny(c, refuser.CodeClaimUnavailable, refuser.NotRun, m.settings.RetryInterval)
	}
	var kept []*item
	for _, i := range p.items {
		if i.entry.Kind != entryClaim || i.sent {
			kept = append(kept, i)
			continue
		}
		m.forget(i.claim)
		if !i.claim.abandoned {
			m.deny(i.claim, refuser.CodeClaimUnavailable, refuser.NotRun, m.settings.RetryInterval)
		}
	}
	p.items = kept
}

// release frees the key of a claim that is never dispatched.
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

// wait keeps a request until the partition has been read, or refuses it if that can't be done now.
func (m *Machine) wait(c *claim) {
	p := c.partition
	if p.down || !p.owned {
		m.deny(c, refuser.CodeClaimUnavailable, refuser.NotRun, m.settings.RetryInterval)
		return
	}
	c.state = StateWaiting
	p.waiting = append(p.waiting, c)
}
