package reducer

import (
	"strings"

	"samphirewharf/internal/decision/claimer"
	"samphirewharf/internal/external/storer"
)

// An operationKind is the purpose of a call to the key-value service.
type operationKind uint8

const (
	operationPlacementGet operationKind = iota
	operationPlacementSwap
	operationClaim
	operationMembers
	operationRegister
	operationRegisterGet
)

// An operation is a call to the key-value service that is in flight.
type operation struct {
	kind operationKind
	cell string
	// token identifies a placement write.
	token string
	// claimOp is the claimer's number of the operation.
	claimOp uint64
}

func (m *Machine) newOp(o operation) OpID {
	m.nextOp++
	m.ops[m.nextOp] = o
	return m.nextOp
}

// handleStoreAnswer passes the answer of a call to the component that made it.
func (m *Machine) handleStoreAnswer(event Event) {
	var id OpID
	answer := claimer.Answer{}
	var entries []storer.Entry
	switch e := event.(type) {
	case StoreGot:
		id = e.Op
		answer.Result, answer.Value, answer.Revision = e.Result, e.Entry.Value, e.Entry.Revision
	case StoreSwapped:
		id = e.Op
		answer.Result, answer.Revision = e.Result, e.Revision
	case StoreListed:
		id = e.Op
		answer.Result, answer.Revision, entries = e.Result, e.Revision, e.Entries
	}
	o, ok := m.ops[id]
	if !ok {
		return
	}
	delete(m.ops, id)
	m.applyStoreAnswer(o, answer, entries)
}

func (m *Machine) applyStoreAnswer(o operation, answer claimer.Answer, entries []storer.Entry) {
	c := m.cellOf(o.cell)
	switch o.kind {
	case operationMembers:
		m.handleMembersListed(answer.Result, entries, answer.Revision)
	case operationRegister:
		m.handleRegistered(answer.Result, answer.Revision)
	case operationRegisterGet:
		m.handleRegistrationRead(answer.Result, answer.Revision)
	case operationClaim:
		if c == nil {
			return
		}
		answer.Op = o.claimOp
		m.applyClaimActions(c, c.claims.HandleStoreAnswer(m.claimTime(), answer))
	case operationPlacementGet:
		if c == nil {
			return
		}
		entry := storer.Entry{Value: answer.Value, Revision: answer.Revision}
		m.applyPlannerActions(c, c.planner.HandleGet(m.view(c), answer.Result, entry))
		m.markDraining(c)
	case operationPlacementSwap:
		if c == nil {
			return
		}
		m.applyPlannerActions(c, c.planner.HandleSwap(m.view(c), o.token, answer.Result, answer.Revision))
		m.markDraining(c)
	}
}

// handleStoreChanged handles a change below a watched prefix.
func (m *Machine) handleStoreChanged(e StoreChanged) {
	key := e.Entry.Key
	switch {
	case key == configurationHeadKey:
		m.headRevision = max(m.headRevision, e.Entry.Revision)
		m.loadConfiguration("")
	case strings.HasPrefix(key, membersPrefix):
		m.handleMemberChange(e)
	case strings.HasPrefix(key, "cells/"):
		m.handlePlacementChanged(e)
	}
}

func (m *Machine) handlePlacementChanged(e StoreChanged) {
	name := strings.TrimSuffix(strings.TrimPrefix(e.Entry.Key, "cells/"), "/placement")
	c := m.cells[name]
	if c == nil || e.Deleted {
		return
	}
	m.applyPlannerActions(c, c.planner.UpdateRecord(m.view(c), e.Entry.Value, e.Entry.Revision))
	m.markDraining(c)
}
