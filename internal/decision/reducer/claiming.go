package reducer

import (
	"maps"
	"math"
	"slices"
	"time"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/claimer"
)

const (
	maxKeyBytes = 255
	// minClaimInterval is the shortest time between two ticks of the claimers.
	minClaimInterval = time.Millisecond
	// never is later than any time in the life of a process.
	never = time.Duration(math.MaxInt64)
)

// claim checks the idempotency key of a request that must not be repeated, and forwards the request to the
// owner of the key's claim partition.
func (m *Machine) claim(r *request) {
	key := r.arrival.Key
	if key == "" {
		m.refuse(r, refuser.CodeIdempotencyKeyMissing, refuser.NotRun, 0, identityHeader(r.service))
		return
	}
	if !validKey(key) {
		m.refuse(r, refuser.CodeIdempotencyKeyInvalid, refuser.NotRun, 0, identityHeader(r.service))
		return
	}
	c := m.cells[r.service.Name]
	if c == nil {
		m.forwardToCell(r)
		return
	}
	owner := c.partitionOwner(claimer.Partition(key, claimer.DefaultPartitions))
	if owner == m.settings.Daemon || r.arrival.ForwardedBy != "" {
		m.claimLocally(r)
		return
	}
	for _, d := range m.cellMembers(c.name) {
		if d.ID == owner {
			m.forward(r, d, "claim partition is owned by another daemon")
			return
		}
	}
	m.claimLocally(r)
}

// claimLocally claims a request at this daemon, whichever daemon owns the partition. Safety depends only on
// the key-value service.
func (m *Machine) claimLocally(r *request) {
	c := m.cells[r.service.Name]
	partition := claimer.Partition(r.arrival.Key, claimer.DefaultPartitions)
	r.state = stateClaiming
	if !c.ownedPartitions[partition] {
		c.ownedPartitions[partition] = true
		m.applyClaimActions(c, c.claims.AssignPartition(m.claimTime(), partition))
	}
	m.applyClaimActions(c, c.claims.Claim(m.claimTime(), claimer.Request{
		ID: uint64(r.id), Key: r.arrival.Key, BodyHash: r.arrival.BodyHash, Deadline: r.deadline,
	}))
}

// updateOwnedPartitions assigns and revokes claim partitions after the cell's daemons have changed.
func (m *Machine) updateOwnedPartitions(c *cell) {
	service, ok := m.catalog.Service(c.name)
	if !ok || len(service.NonIdempotent) == 0 {
		return
	}
	for p := range claimer.DefaultPartitions {
		owned := c.partitionOwner(p) == m.settings.Daemon
		switch {
		case owned && !c.ownedPartitions[p]:
			c.ownedPartitions[p] = true
			m.applyClaimActions(c, c.claims.AssignPartition(m.claimTime(), p))
		case !owned && c.ownedPartitions[p]:
			m.revokePartition(c, p)
		}
	}
}

// revokePartition stops owning a claim partition. Requests whose claim was not part of a write yet go to the
// new owner.
func (m *Machine) revokePartition(c *cell, partition int) {
	delete(c.ownedPartitions, partition)
	var remaining []claimer.Action
	var moved []RequestID
	for _, action := range c.claims.RevokePartition(m.claimTime(), partition) {
		if d, ok := action.(claimer.Denied); ok && d.Code == refuser.CodeClaimUnavailable {
			moved = append(moved, RequestID(d.Request))
			continue
		}
		remaining = append(remaining, action)
	}
	m.applyClaimActions(c, remaining)
	for _, id := range moved {
		if r, ok := m.requests[id]; ok {
			m.claim(r)
		}
	}
}

// applyClaimActions carries out the actions of a cell's claimer.
func (m *Machine) applyClaimActions(c *cell, actions []claimer.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case claimer.Read:
			m.emit(StoreGet{Op: m.newOp(operation{cell: c.name, kind: operationClaim, claimOp: a.Op}), Key: a.Key})
		case claimer.Swap:
			op := m.newOp(operation{cell: c.name, kind: operationClaim, claimOp: a.Op})
			m.emit(StoreSwap{Op: op, Key: a.Key, Value: a.Value, Revision: a.Revision})
		case claimer.Delete:
			op := m.newOp(operation{cell: c.name, kind: operationClaim, claimOp: a.Op})
			m.emit(StoreDelete{Op: op, Key: a.Key, Revision: a.Revision})
		case claimer.Granted:
			m.handleGranted(c, RequestID(a.Request))
		case claimer.Denied:
			m.handleDenied(a)
		case claimer.Replayed:
			m.handleReplayed(a)
		}
	}
	m.scheduleClaims(c)
}

// handleGranted dispatches a request whose claim is in the key-value service.
func (m *Machine) handleGranted(c *cell, id RequestID) {
	r, ok := m.requests[id]
	isWaiting := ok && r.state == stateClaiming
	if !isWaiting || m.cells[c.name] == nil {
		m.applyClaimActions(c, c.claims.Release(m.claimTime(), uint64(id)))
		if isWaiting {
			m.forwardToCell(r)
		}
		return
	}
	r.claimed = true
	if r.queue.waiting.Len() == 0 && m.route(r) {
		return
	}
	m.enqueue(r)
}

func (m *Machine) handleDenied(a claimer.Denied) {
	r, ok := m.requests[RequestID(a.Request)]
	if !ok {
		return
	}
	if a.Code == refuser.CodeAlreadyInProgress && m.awaitFirst(r) {
		return
	}
	if a.Moved {
		m.claim(r)
		return
	}
	after := a.RetryAfter
	if a.Code == refuser.CodeDeadlineExpired && after == 0 {
		after = m.retryAfter(r)
	}
	m.refuse(r, a.Code, a.Ran, after, "")
	if c := m.cells[r.service.Name]; c != nil {
		m.retryRepeats(c, r.arrival.Key)
	}
}

// awaitFirst makes a repeat wait for the request that is claimed or runs under its key at this daemon, so
// that it gets the same answer. It reports whether there is such a request. The repeat is refused at its own
// deadline.
func (m *Machine) awaitFirst(r *request) bool {
	c := m.cells[r.service.Name]
	if c == nil {
		return false
	}
	if state := c.claims.State(r.arrival.Key); state != claimer.StateRunning && state != claimer.StateClaiming {
		return false
	}
	r.state = stateAwaitingFirst
	c.waitingRepeats[r.arrival.Key] = append(c.waitingRepeats[r.arrival.Key], r)
	return true
}

// retryRepeats claims again for the repeats that waited for a request to end.
func (m *Machine) retryRepeats(c *cell, key string) {
	waiting := c.waitingRepeats[key]
	delete(c.waitingRepeats, key)
	for _, r := range waiting {
		if r.state == stateAwaitingFirst {
			m.claimLocally(r)
		}
	}
}

func (m *Machine) handleReplayed(a claimer.Replayed) {
	r, ok := m.requests[RequestID(a.Request)]
	if !ok {
		return
	}
	m.emit(Answer{Request: r.id, Status: a.Status, ContentType: a.ContentType, Body: a.Body})
	m.finish(r)
}

// releaseClaim releases the claim of a request that was not sent and won't be.
func (m *Machine) releaseClaim(r *request) {
	r.claimed = false
	c := m.cellOf(r.service.Name)
	if c == nil {
		return
	}
	m.applyClaimActions(c, c.claims.Release(m.claimTime(), uint64(r.id)))
	m.retryRepeats(c, r.arrival.Key)
}

// tickClaims ticks the claimers that are due.
func (m *Machine) tickClaims() {
	m.next.claims = never
	for _, name := range slices.Concat(m.cellNames, slices.Sorted(maps.Keys(m.retiredCells))) {
		c := m.cellOf(name)
		if at, ok := c.claims.NextWake(); ok && at <= m.now.Monotonic {
			m.applyClaimActions(c, c.claims.Tick(m.claimTime()))
		}
		m.scheduleClaims(c)
	}
}

// retire ends the ownership of a removed cell's claim partitions. What its claimer has begun to write goes on.
func (m *Machine) retire(c *cell) {
	m.retiredCells[c.name] = c
	for _, partition := range slices.Sorted(maps.Keys(c.ownedPartitions)) {
		m.revokePartition(c, partition)
	}
	for _, key := range slices.Sorted(maps.Keys(c.waitingRepeats)) {
		for _, r := range c.waitingRepeats[key] {
			if r.state == stateAwaitingFirst {
				m.forwardToCell(r)
			}
		}
	}
	clear(c.waitingRepeats)
}

// cellOf returns a service's cell, also if this daemon no longer serves it, nil if it never has.
func (m *Machine) cellOf(service string) *cell {
	if c := m.cells[service]; c != nil {
		return c
	}
	return m.retiredCells[service]
}

// scheduleClaims schedules the next tick of a cell's claimer.
func (m *Machine) scheduleClaims(c *cell) {
	if at, ok := c.claims.NextWake(); ok {
		m.next.claims = min(m.next.claims, max(at, m.now.Monotonic+minClaimInterval))
	}
}

func (m *Machine) claimTime() claimer.Moment {
	return claimer.Moment{Monotonic: m.now.Monotonic, Wall: m.now.Wall}
}

func identityHeader(s *cataloger.Service) string {
	if s.IdentityHeader != "" {
		return s.IdentityHeader
	}
	return "Idempotency-Key"
}

func validKey(key string) bool {
	if len(key) > maxKeyBytes {
		return false
	}
	for _, b := range []byte(key) {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return true
}

// verdictTTL bounds how long other daemons keep the suspects and poisonous requests that this daemon sends.
const verdictTTL = time.Hour
