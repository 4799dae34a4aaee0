// Package elector decides who leads the daemons, to the knowledge of one of them, and when a leader may give its first order. The
// leader is the daemon whose record is in the store, under its lease.
package elector

import (
	"slices"
	"time"

	"samphirewharf/internal/fleet/sequencer"
)

const (
	// Margin is added to the delay between the orders of two leaders.
	Margin = 150 * time.Millisecond
	// retryDelay is the delay before another attempt to become the leader.
	retryDelay = time.Second
	// maxEndedTokens bounds the ended leaderships of this process that are remembered. A restoration of the store brings back one of
	// those of the last seconds.
	maxEndedTokens = 16
	// never is later than any time.
	never = time.Duration(1<<63 - 1)
)

// A Leader is the daemon that gives orders to engines.
type Leader struct {
	Name     string
	Instance string
	// FencingToken is the revision of the leader's record, so that it rises with each change of leader.
	FencingToken int64
}

// An Elector is a daemon's view of the leader. The zero value with Self, Delay and LeaseTTL set is ready to use.
type Elector struct {
	// Self has the name and instance of this process.
	Self Leader
	// Delay is the least time between the orders of two hosts, LeaseTTL the TTL of the leases.
	Delay    time.Duration
	LeaseTTL time.Duration
	// Fenced reports whether engines refuse orders with a lower fencing token than one they have seen.
	Fenced bool

	// loaded reports whether the record or its absence has been read once.
	loaded bool
	leader *Leader
	// previous is the leader before the current one, if any was seen.
	previous Leader
	// campaignAt is when the daemon tries to become the leader; campaigning reports whether an attempt is in progress, void whether
	// the lease of the last attempt has ended since.
	campaignAt  time.Duration
	campaigning bool
	void        bool
	ordersFrom  time.Duration
	// endedTokens are those of this process's leaderships that have ended, the last one last.
	endedTokens []int64
	history     history
}

// An Outcome is what an event has changed.
type Outcome struct {
	// Changed reports whether there is another leader.
	Changed bool
	// Resign is the fencing token of a record of this process that must be deleted, since it is not the leader by it; 0 for none.
	Resign int64
}

// Loaded reports whether the leader's record or its absence has been read once.
func (e *Elector) Loaded() bool { return e.loaded }

// Leader returns the current leader, nil if there is none.
func (e *Elector) Leader() *Leader { return e.leader }

// OrdersFrom returns when the current leader, this daemon or another, may give its first order.
func (e *Elector) OrdersFrom() time.Duration { return e.ordersFrom }

// Leads reports whether this process is the leader, to its knowledge.
func (e *Elector) Leads() bool {
	return e.leader != nil && e.leader.Instance == e.Self.Instance && (len(e.endedTokens) == 0 || e.leader.FencingToken > e.endedTokens[len(e.endedTokens)-1])
}

// NextAt returns when Campaign is due without an event.
func (e *Elector) NextAt(now time.Duration) time.Duration {
	if e.leader != nil || e.campaigning || e.campaignAt <= now {
		return never
	}
	return e.campaignAt
}

// Vacant reports whether there is no leader, and no attempt to become it is in progress.
func (e *Elector) Vacant() bool { return e.loaded && e.leader == nil && !e.campaigning }

// Campaign reports whether to try to become the leader now, if there is none. The first attempt is made after the delay, which is asked
// for once: it takes all daemons to work it out.
func (e *Elector) Campaign(now time.Duration, delay func() time.Duration) bool {
	if e.campaignAt == 0 {
		e.campaignAt = now + delay()
	}
	if now < e.campaignAt {
		return false
	}
	e.campaigning, e.void = true, false
	return true
}

// CampaignEnded handles the end of an attempt to become the leader. The token is 0 if it has failed or its outcome is unknown.
func (e *Elector) CampaignEnded(now time.Duration, token int64) Outcome {
	e.campaigning = false
	if token == 0 {
		e.campaignAt = now + retryDelay
		return Outcome{}
	}
	outcome := e.Recorded(now, Leader{Name: e.Self.Name, Instance: e.Self.Instance, FencingToken: token}, 0)
	if outcome.Resign > 0 {
		e.campaignAt = now + retryDelay
	}
	return outcome
}

// Recorded handles a leader's record. Listed is the revision of the last list of records, which are known to be there or not.
func (e *Elector) Recorded(now time.Duration, leader Leader, listed int64) Outcome {
	e.loaded = true
	e.Observe(now, leader.FencingToken)
	if e.isEnded(leader) {
		return Outcome{Resign: leader.FencingToken}
	}
	if e.leader != nil && leader.FencingToken <= e.leader.FencingToken || leader.FencingToken < e.previous.FencingToken {
		return Outcome{}
	}
	if e.leader == nil && leader.FencingToken <= listed && leader.Instance != e.Self.Instance {
		// A later list lacked the record.
		return Outcome{}
	}
	if e.leader != nil {
		e.end(now)
	}
	e.ordersFrom = e.firstOrder(now, leader)
	e.leader, e.previous, e.campaignAt = &leader, leader, 0
	return Outcome{Changed: true}
}

// isEnded reports whether a record is one of this process by which it doesn't lead any more: a restoration of the store has brought
// it back, or its lease has ended while it was written. The lease that it is tied to isn't renewed.
func (e *Elector) isEnded(leader Leader) bool {
	if leader.Instance != e.Self.Instance {
		return false
	}
	if e.void && (e.leader == nil || leader.FencingToken > e.leader.FencingToken) {
		e.markEnded(leader.FencingToken)
		return true
	}
	return slices.ContainsFunc(e.endedTokens, func(token int64) bool {
		return leader.FencingToken > token && sequencer.Number(leader.FencingToken) == sequencer.Number(token)
	})
}

// Removed handles the removal of the leader's record at a revision, 0 for an unknown one. It returns the leader that was removed,
// nil if there was none.
func (e *Elector) Removed(now time.Duration, revision int64) *Leader {
	e.loaded = true
	e.Observe(now, revision)
	removed := e.leader
	if removed == nil || revision > 0 && revision < removed.FencingToken {
		return nil
	}
	e.end(now)
	e.campaignAt = 0
	return removed
}

// LeaseEnded handles the end of this daemon's lease. A record that is being written now is tied to it.
func (e *Elector) LeaseEnded() { e.void = e.void || e.campaigning }

// Stop ends the leadership of this process, even if its record is still there.
func (e *Elector) Stop(now time.Duration) {
	e.markEnded(e.leader.FencingToken)
	e.end(now)
	e.campaignAt = now + retryDelay
}

func (e *Elector) markEnded(token int64) {
	e.endedTokens = append(e.endedTokens, token)
	e.endedTokens = e.endedTokens[max(0, len(e.endedTokens)-maxEndedTokens):]
}

func (e *Elector) end(now time.Duration) {
	e.history.ended(now, *e.leader)
	e.previous, e.leader = *e.leader, nil
}

// Observe handles a revision of the store, which shows whether it was restored from a copy. Zero is none.
func (e *Elector) Observe(now time.Duration, revision int64) {
	if revision > 0 {
		e.history.observe(now, sequencer.Epoch(revision), e.LeaseTTL)
	}
}

// firstOrder returns when a leader that is recorded now may give its first order. The leader before gives none once its record is
// gone, but for one that doesn't know yet that the store was restored: it goes on until its lease has ended.
func (e *Elector) firstOrder(now time.Duration, leader Leader) time.Duration {
	delay := e.Delay + Margin
	others := e.history.othersUntil(leader.Name)
	switch {
	case e.previous.Name == "" && leader.Instance != e.Self.Instance:
		// A leader that this daemon finds at its start has most likely been the leader for long.
		return now
	case e.Fenced && e.previous.Name == leader.Name:
		// Two processes on one host count as one leader. If another one has led between them, unknown to this daemon, engines refuse
		// its late orders.
		return max(now, others+delay)
	case e.Fenced && !e.history.restored:
		return now + delay
	default:
		// Without fencing, what this daemon hasn't seen counts too: another host may have led since its own record was there.
		return max(now, others, e.history.unknownUntil) + delay
	}
}
