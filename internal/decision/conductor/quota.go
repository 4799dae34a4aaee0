package conductor

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/decision/regulator"
	"samphirewharf/internal/peer/messenger"
)

// A request of a workspace with a quota needs tokens before it is sent. The package regulator decides on them; here requests wait for
// them, and its messages are passed.

// A quotaState is what this daemon has of the quotas of workspaces.
type quotaState struct {
	keeper   *regulator.Keeper
	spender  regulator.Spender
	standing regulator.Standing
	// names are the daemons from which keepers were chosen last, without this one if its standing doesn't hold.
	names []string
	// revision is that of the newest record of a daemon that is known.
	revision int64
	// suspended reports whether the daemon's standing doesn't hold, unansweredAt is when a keeper's silence was logged last.
	suspended    bool
	unansweredAt time.Duration
	counts       QuotaCounts
}

// QuotaCounts count the decisions about quotas of all workspaces since the start.
type QuotaCounts struct {
	// Asked are the asks sent, Answered those of other daemons that were answered.
	Asked    int
	Answered int
	// Denied are the requests beyond their quota, Unanswered those without an answer of a keeper.
	Denied     int
	Unanswered int
	// DeniedBy has the requests beyond their quota by workspace, for the first maxCountedWorkspaces that have any.
	DeniedBy map[string]int
}

// QuotaGauges are what a daemon has of quotas now, with the counts since the start.
type QuotaGauges struct {
	QuotaCounts
	// Kept is the number of workspaces whose bucket the daemon holds, Spent that of those which it has had requests of lately.
	Kept  int
	Spent int
	// Suspended reports whether the daemon keeps no buckets, since its registration is in doubt.
	Suspended bool
}

// measureQuotas returns the gauges of quotas.
func (m *Machine) measureQuotas() QuotaGauges {
	q := &m.quotas
	g := QuotaGauges{QuotaCounts: q.counts, Kept: q.keeper.Workspaces(), Spent: q.spender.Workspaces(), Suspended: q.suspended}
	g.DeniedBy = maps.Clone(q.counts.DeniedBy)
	return g
}

func (c *QuotaCounts) denied(workspace string) {
	c.Denied++
	if _, ok := c.DeniedBy[workspace]; !ok && len(c.DeniedBy) >= maxCountedWorkspaces {
		return
	}
	if c.DeniedBy == nil {
		c.DeniedBy = make(map[string]int)
	}
	c.DeniedBy[workspace]++
}

// quotaDetail returns what the log says of a refusal because of a quota, empty for other refusals.
func (m *Machine) quotaDetail(r *request, reason RefusalReason, retryAfter time.Duration) string {
	if reason != RefusedQuota && reason != RefusedQuotaUnknown {
		return ""
	}
	quota, size := m.quotaFor(r)
	first, _ := regulator.Keepers(m.quotas.names, r.Workspace)
	return fmt.Sprintf("workspace %s, counts %.0f of %.0f a second and a burst of %.0f, fits in %d ms, keeper %s", r.Workspace, size, quota.PerSecond, quota.Burst, retryAfter.Milliseconds(), first)
}

// A tokenState is the state of a request's tokens.
type tokenState struct {
	// asked reports whether the request has had tokens before. Later it asks for them only if it can be sent.
	asked bool
	// size is what the request counts, 0 if it has no tokens; grantedAt is when it got them.
	size      float64
	grantedAt time.Duration
	// runs is the number of its runs before; one that may have run has spent its tokens.
	runs int
}

func newQuotaState(settings Settings) quotaState {
	return quotaState{
		keeper:  regulator.NewKeeper(regulator.Settings{Window: settings.QuotaWindow, Overage: settings.QuotaOverage}),
		spender: regulator.Spender{Name: settings.Self.Name + "/" + settings.Self.Instance},
	}
}

// quotaFor returns the quota of a workspace and what a request counts, 0 if there is no limit.
func (m *Machine) quotaFor(r *request) (regulator.Quota, float64) {
	if m.configuration == nil || r.Workspace == "" {
		return regulator.Quota{}, 0
	}
	quota := m.configuration.Workspaces[r.Workspace].Quota
	if !quota.Limited() {
		return regulator.Quota{}, 0
	}
	return m.ownQuota(r.Workspace), quota.Cost(r.InputTokens, r.OutputTokens, r.InputTokens+r.OutputTokens > 0)
}

// ownQuota returns the quota of a workspace as this daemon knows it.
func (m *Machine) ownQuota(workspace string) regulator.Quota {
	if m.configuration == nil {
		return regulator.Quota{}
	}
	quota := m.configuration.Workspaces[workspace].Quota
	return regulator.Quota{PerSecond: quota.PerSecond, Burst: quota.Burst, Version: m.configuration.Version}
}

// hasTokens reports whether a request has the tokens that it counts, and they are recent. A request that waits long for a server must
// not run in a later window than that in which its tokens were granted.
func (m *Machine) hasTokens(r *request) bool {
	if _, size := m.quotaFor(r); size == 0 {
		return true
	}
	return r.tokens.size > 0 && r.tokens.runs == r.runs && m.now < r.tokens.grantedAt+maxTokenAge
}

// takeTokens asks for the tokens of a request. It returns false if the request waits for them.
func (m *Machine) takeTokens(r *request) bool {
	if m.hasTokens(r) {
		return true
	}
	m.returnTokens(r)
	quota, size := m.quotaFor(r)
	if m.quotas.spender.Request(m.now, uint64(r.Request), r.Workspace, size, quota) == regulator.Granted {
		m.tokensGranted(r, size)
		return true
	}
	r.state = stateMetered
	m.setTimer(r, r.deadline)
	return false
}

func (m *Machine) tokensGranted(r *request, size float64) {
	r.tokens = tokenState{asked: true, size: size, grantedAt: m.now, runs: r.runs}
}

// returnTokens gives back the tokens of a request that has not run and waits for no answer.
func (m *Machine) returnTokens(r *request) {
	if r.tokens.size > 0 && r.tokens.runs == r.runs && r.state != stateRunning {
		m.quotas.spender.GiveBack(m.now, r.Workspace, r.tokens.size, r.tokens.grantedAt)
	}
	r.tokens.size = 0
}

// stopMetering ends the wait of a request for tokens.
func (m *Machine) stopMetering(r *request) {
	m.quotas.spender.Cancel(uint64(r.Request), r.Workspace)
	m.clearTimer(r)
	r.state = stateQueued
}

// tickQuotas does what is due for quotas and carries out what follows from it.
func (m *Machine) tickQuotas() {
	q := &m.quotas
	if !m.metersRequests() && q.keeper.Workspaces() == 0 && q.spender.Workspaces() == 0 {
		// If another daemon asks later, the keeper begins anew after this interval.
		return
	}
	q.keeper.Advance(m.now)
	q.spender.Pause = regulator.PauseFor(m.registeredCount())
	m.updateStanding()
	m.updateKeepers()
	q.spender.Tick(m.now)
	for {
		asks, results := q.spender.TakeAsks(), q.spender.TakeResults()
		if len(asks)+len(results) == 0 {
			return
		}
		for _, o := range asks {
			m.sendAsk(o.Ask)
		}
		for _, result := range results {
			m.quotaDecided(result)
		}
	}
}

func (q *quotaState) nextAt(m *Machine) time.Duration {
	next := never
	if at, ok := q.spender.NextAt(); ok {
		next = at
	}
	if m.metersRequests() {
		next = min(next, q.standing.NextAt(m.lease.validUntil))
	}
	return max(next, m.now)
}

// metersRequests reports whether the configuration has workspaces. Then keepers must know their standing.
func (m *Machine) metersRequests() bool {
	return m.configuration != nil && len(m.configuration.Workspaces) > 0
}

// quotaDecided continues or refuses a request that has waited for tokens.
func (m *Machine) quotaDecided(result regulator.Result) {
	q := &m.quotas
	r := m.requestOf(reducer.RequestID(result.Request))
	if r == nil || r.state != stateMetered {
		return
	}
	m.clearTimer(r)
	r.state = stateQueued
	switch result.Outcome {
	case regulator.Granted:
		_, size := m.quotaFor(r)
		m.tokensGranted(r, size)
		m.route(r)
	case regulator.Denied:
		q.counts.denied(r.Workspace)
		m.giveUp(r, RefusedQuota, result.RetryAfter)
	default:
		q.counts.Unanswered++
		if q.counts.Unanswered == 1 || m.now >= q.unansweredAt+quotaLogInterval {
			q.unansweredAt = m.now
			first, second := regulator.Keepers(q.names, r.Workspace)
			m.emit(LogStateChange{Subject: "Quota", Change: "Unanswered", Reason: "no keeper has granted tokens", Detail: "asked " + first + " and " + second, Warning: true})
		}
		m.giveUp(r, RefusedQuotaUnknown, quotaRetryDelay)
	}
}

// updateKeepers tells the keeper if it has other workspaces after a change of the daemons.
func (m *Machine) updateKeepers() {
	q := &m.quotas
	names := m.registrarNames()
	if q.suspended {
		names = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == m.settings.Self.Name })
	}
	if slices.Equal(names, q.names) {
		return
	}
	old := q.names
	q.names = slices.Clone(names)
	self := m.settings.Self.Name
	before := q.keeper.Workspaces()
	q.keeper.DaemonsChanged(m.now, func(workspace string) bool {
		first, _ := regulator.Keepers(old, workspace)
		next, _ := regulator.Keepers(names, workspace)
		return first == self && next == self
	})
	if after := q.keeper.Workspaces(); after < before {
		m.emit(LogStateChange{Subject: "Quota", Change: "HandedOver", Reason: "the daemons have changed", Detail: itoa(int64(before-after)) + " workspaces"})
	}
}

// updateStanding asks other daemons whether this one may still be a keeper, once its lease may have run out.
func (m *Machine) updateStanding() {
	q := &m.quotas
	if !m.metersRequests() {
		return
	}
	if suspended := !q.standing.Holds(m.now, m.lease.validUntil); suspended != q.suspended {
		q.suspended = suspended
		change := "Resumed"
		if suspended {
			change = "Suspended"
		}
		m.emit(LogStateChange{Subject: "Quota", Change: change, Age: max(0, m.now-m.lease.validUntil), Detail: itoa(int64(q.keeper.Workspaces())) + " workspaces", Warning: suspended})
	}
	if !m.lease.wasRegistered || m.now < q.standing.NextAt(m.lease.validUntil) {
		return
	}
	names := slices.DeleteFunc(m.daemonNames(), func(name string) bool { return name == m.settings.Self.Name })
	m.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	names = names[:min(len(names), regulator.InquiryDaemons)]
	message := m.newMessage()
	message.Standing = &messenger.Standing{Inquiry: q.standing.Inquire(m.now, len(names))}
	m.sendTo(names, message)
}

// noteRevision records the revision of a daemon's record.
func (m *Machine) noteRevision(event Event) {
	q := &m.quotas
	switch e := event.(type) {
	case DaemonsListed:
		q.revision = max(q.revision, e.Revision)
	case DaemonChanged:
		q.revision = max(q.revision, e.Revision)
	case DaemonRemoved:
		q.revision = max(q.revision, e.Revision)
	}
}

// sendAsk sends an ask to the keeper of its workspace or, if that hasn't answered, to the next daemon.
func (m *Machine) sendAsk(ask regulator.Ask) {
	q := &m.quotas
	name, second := regulator.Keepers(q.names, ask.Workspace)
	if ask.Fallback {
		name = second
	}
	q.counts.Asked++
	wrapped := &messenger.QuotaAsk{Ask: ask, ReplyAddress: m.settings.Self.PeerAddress}
	switch name {
	case "":
	case m.settings.Self.Name:
		m.answerAsk(wrapped)
	default:
		message := m.newMessage()
		message.QuotaAsk = wrapped
		m.sendTo([]string{name}, message)
	}
}

// answerAsk answers an ask, or passes it on to the daemon that is the workspace's keeper as this one sees it.
func (m *Machine) answerAsk(wrapped *messenger.QuotaAsk) {
	q := &m.quotas
	m.updateStanding()
	m.updateKeepers()
	ask := wrapped.Ask
	self := m.settings.Self.Name
	first, second := regulator.Keepers(q.names, ask.Workspace)
	switch {
	case first == self:
	case !ask.Fallback && !wrapped.Forwarded:
		if first != "" {
			passed := *wrapped
			passed.Forwarded = true
			message := m.newMessage()
			message.QuotaAsk = &passed
			m.sendTo([]string{first}, message)
		}
		return
	case second != self:
		return
	}
	grant, ok := q.keeper.Answer(m.now, ask, m.ownQuota(ask.Workspace), first == self)
	if !ok {
		return
	}
	if ask.Spender == q.spender.Name {
		q.spender.Receive(m.now, grant)
		return
	}
	q.counts.Answered++
	message := m.newMessage()
	message.QuotaGrant = &messenger.QuotaGrant{Grant: grant, Spender: ask.Spender}
	m.emit(SendPeer{Address: wrapped.ReplyAddress, Message: message})
}

// quotaReceived handles what another daemon sends about quotas.
func (m *Machine) quotaReceived(message messenger.Message) {
	q := &m.quotas
	if message.QuotaAsk != nil {
		m.answerAsk(message.QuotaAsk)
	}
	if g := message.QuotaGrant; g != nil && g.Spender == q.spender.Name {
		q.spender.Receive(m.now, g.Grant)
	}
	switch s := message.Standing; {
	case s == nil:
	case s.Answer:
		q.standing.Answered(s.Inquiry, s.Registered, s.Revision)
	default:
		d, ok := m.daemons[message.From]
		answer := m.newMessage()
		answer.Standing = &messenger.Standing{Inquiry: s.Inquiry, Answer: true, Registered: ok && d.Instance == message.Instance, Revision: q.revision}
		m.emit(SendPeer{Address: message.Address, Message: answer})
	}
}
