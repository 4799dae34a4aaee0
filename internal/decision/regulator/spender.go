package regulator

import (
	"maps"
	"math"
	"slices"
	"time"
)

// A Spender spends the tokens that keepers have granted to a daemon. It isn't safe for concurrent use.
type Spender struct {
	// Name identifies the process.
	Name string
	// Pause is the time from an answer that denies something to the next ask, which together bound the asks beyond the quota.
	Pause time.Duration

	sequence uint64
	accounts map[string]*account
	// due is when Tick has something to do at the earliest, valid if scheduled.
	scheduled bool
	due       time.Duration
	asks      []Outgoing
	results   []Result
}

// An Outgoing is an ask that has to be sent to the keeper of its workspace or, if Fallback is set, to the next daemon.
type Outgoing struct{ Ask Ask }

// An Outcome is what becomes of a request that has asked for its tokens.
type Outcome uint8

// Outcomes of requests.
const (
	// Waiting: the request waits for an answer.
	Waiting Outcome = iota
	// Granted: the request may be sent.
	Granted
	// Denied: the request doesn't fit before RetryAfter has passed.
	Denied
	// Unanswered: no keeper has answered.
	Unanswered
)

// A Result is the outcome of a request that has waited.
type Result struct {
	Request    uint64
	Workspace  string
	Outcome    Outcome
	RetryAfter time.Duration
}

// An account is what a Spender has of one workspace.
type account struct {
	quota Quota
	// held are tokens in hand, which may be spent until heldUntil.
	held      float64
	heldUntil time.Duration
	// returned are tokens of requests that have not run. They go back with the next ask, until returnedUntil.
	returned      float64
	returnedUntil time.Duration
	// recent is what was spent, decaying over rateTime, as of recentAt. lastSize is what the last request counts.
	recent   float64
	recentAt time.Duration
	lastSize float64
	// waiting are the requests that wait, in order of arrival; the first asked of them are in the ask that is out.
	waiting []waiting
	asked   int
	// ask is the one that is out, valid if asked > 0; firstSentAt is when it was sent first, sentAt when it was sent last.
	ask         Ask
	firstSentAt time.Duration
	sentAt      time.Duration
	// askAt is when the next ask may be sent, silentUntil until when the keeper is passed over.
	askAt       time.Duration
	silentUntil time.Duration
	usedAt      time.Duration
}

type waiting struct {
	request uint64
	size    float64
	since   time.Duration
	// left reports whether the caller has left.
	left bool
}

// Request asks for the tokens of a request. The answer is Waiting if its outcome follows among the results.
func (s *Spender) Request(now time.Duration, request uint64, workspace string, size float64, quota Quota) Outcome {
	a := s.account(workspace)
	if quota.Version >= a.quota.Version {
		a.quota = quota
	}
	a.usedAt, a.lastSize = now, size
	a.expire(now)
	if len(a.waiting) == 0 && a.held >= size {
		a.held -= size
		a.spent(now, size)
		s.schedule(a)
		return Granted
	}
	a.waiting = append(a.waiting, waiting{request: request, size: size, since: now})
	s.askFor(now, workspace, a)
	s.schedule(a)
	return Waiting
}

// Cancel drops a request that waits.
func (s *Spender) Cancel(request uint64, workspace string) {
	a := s.account(workspace)
	for i := range a.waiting {
		if a.waiting[i].request != request {
			continue
		}
		if i < a.asked {
			a.waiting[i].left = true
			return
		}
		a.waiting = slices.Delete(a.waiting, i, i+1)
		return
	}
}

// GiveBack takes the tokens of a request that was granted at a time and has not run. They go back to the keeper with the next ask. They
// aren't spent here, where they could be given back and spent again without end.
func (s *Spender) GiveBack(now time.Duration, workspace string, size float64, grantedAt time.Duration) {
	a, ok := s.accounts[workspace]
	if !ok || now >= grantedAt+grantTTL {
		return
	}
	if now >= a.returnedUntil {
		a.returned, a.returnedUntil = 0, grantedAt+grantTTL
	}
	a.returned += size
	a.returnedUntil = min(a.returnedUntil, grantedAt+grantTTL)
}

// Receive takes an answer.
func (s *Spender) Receive(now time.Duration, g Grant) {
	a, ok := s.accounts[g.Workspace]
	if !ok || a.asked == 0 || a.ask.Sequence != g.Sequence || len(g.Delays) != a.asked || now >= a.firstSentAt+maxWait {
		// An answer that comes later is for requests that no longer wait, as after a freeze.
		return
	}
	a.expire(now)
	asked := slices.Clone(a.waiting[:a.asked])
	a.waiting = slices.Delete(a.waiting, 0, a.asked)
	a.asked = 0
	if !g.Fallback {
		a.silentUntil = 0
	}
	denied := false
	expires := a.firstSentAt + grantTTL
	for i, w := range asked {
		switch {
		case g.Delays[i] == 0 && w.left:
			a.hold(w.size, expires)
		case g.Delays[i] == 0:
			a.spent(now, w.size)
			s.results = append(s.results, Result{Request: w.request, Workspace: g.Workspace, Outcome: Granted})
		case w.left:
			denied = true
		default:
			denied = true
			r := Result{Request: w.request, Workspace: g.Workspace, Outcome: Denied, RetryAfter: g.Delays[i]}
			if g.Fallback {
				r.Outcome = Unanswered
			}
			s.results = append(s.results, r)
		}
	}
	a.hold(g.Extra, expires)
	if denied {
		a.askAt = now + s.Pause
	}
	s.serveWaiting(now, g.Workspace, a)
	s.askFor(now, g.Workspace, a)
	s.schedule(a)
}

// Tick does what is due.
func (s *Spender) Tick(now time.Duration) {
	if !s.scheduled || now < s.due {
		return
	}
	s.scheduled = false
	for _, workspace := range slices.Sorted(maps.Keys(s.accounts)) {
		a := s.accounts[workspace]
		a.expire(now)
		s.repeat(now, workspace, a)
		for len(a.waiting) > a.asked && now >= a.waiting[a.asked].since+maxWait {
			s.unanswered(workspace, a.waiting[a.asked])
			a.waiting = slices.Delete(a.waiting, a.asked, a.asked+1)
		}
		s.askFor(now, workspace, a)
		if len(a.waiting) == 0 && a.held <= 0 && now >= a.usedAt+bucketTTL {
			delete(s.accounts, workspace)
			continue
		}
		s.schedule(a)
	}
}

// schedule has Tick called when an account next needs it.
func (s *Spender) schedule(a *account) {
	at := a.usedAt + bucketTTL
	if a.asked > 0 {
		at = min(at, a.sentAt+askTimeout)
	}
	if len(a.waiting) > a.asked {
		at = min(at, a.waiting[a.asked].since+maxWait)
		if a.asked == 0 {
			at = min(at, a.askAt)
		}
	}
	if !s.scheduled || at < s.due {
		s.scheduled, s.due = true, at
	}
}

// NextAt returns when Tick is due, or false if it isn't.
func (s *Spender) NextAt() (time.Duration, bool) { return s.due, s.scheduled }

// TakeAsks returns the asks that have to be sent.
func (s *Spender) TakeAsks() []Outgoing {
	asks := s.asks
	s.asks = nil
	return asks
}

// TakeResults returns the outcomes of requests that have waited.
func (s *Spender) TakeResults() []Result {
	results := s.results
	s.results = nil
	return results
}

// Workspaces returns the number of workspaces that the spender has had requests of lately.
func (s *Spender) Workspaces() int { return len(s.accounts) }

func (s *Spender) account(workspace string) *account {
	a, ok := s.accounts[workspace]
	if !ok {
		if s.accounts == nil {
			s.accounts = make(map[string]*account)
		}
		a = &account{}
		s.accounts[workspace] = a
	}
	return a
}

// askFor asks for what the waiting requests need, and gives back what is held, unless an ask is out.
func (s *Spender) askFor(now time.Duration, workspace string, a *account) {
	if a.asked > 0 || len(a.waiting) == 0 || now < a.askAt {
		return
	}
	s.sequence++
	a.asked = min(len(a.waiting), maxSizes)
	a.ask = Ask{Workspace: workspace, Spender: s.Name, Sequence: s.sequence, Extra: a.expected(now), Returned: a.held + a.returned, Quota: a.quota, Fallback: now < a.silentUntil}
	for _, w := range a.waiting[:a.asked] {
		a.ask.Sizes = append(a.ask.Sizes, w.size)
	}
	a.held, a.returned = 0, 0
	a.firstSentAt, a.sentAt = now, now
	s.asks = append(s.asks, Outgoing{Ask: a.ask})
}

// repeat asks the next daemon if the keeper hasn't answered in time, and gives up if that one hasn't either.
func (s *Spender) repeat(now time.Duration, workspace string, a *account) {
	if a.asked == 0 || now < a.sentAt+askTimeout {
		return
	}
	if !a.ask.Fallback && now < a.firstSentAt+maxWait {
		a.silentUntil = now + silentTime
		a.ask.Fallback = true
		a.sentAt = now
		s.asks = append(s.asks, Outgoing{Ask: a.ask})
		return
	}
	a.silentUntil = 0
	for _, w := range a.waiting[:a.asked] {
		s.unanswered(workspace, w)
	}
	a.waiting = slices.Delete(a.waiting, 0, a.asked)
	a.asked = 0
}

func (s *Spender) unanswered(workspace string, w waiting) {
	if !w.left {
		s.results = append(s.results, Result{Request: w.request, Workspace: workspace, Outcome: Unanswered})
	}
}

// serveWaiting serves the requests that arrived while an ask was out, as far as the tokens in hand suffice.
func (s *Spender) serveWaiting(now time.Duration, workspace string, a *account) {
	for len(a.waiting) > 0 && a.held >= a.waiting[0].size {
		w := a.waiting[0]
		a.waiting = slices.Delete(a.waiting, 0, 1)
		a.held -= w.size
		a.spent(now, w.size)
		s.results = append(s.results, Result{Request: w.request, Workspace: workspace, Outcome: Granted})
	}
}

func (a *account) hold(tokens float64, until time.Duration) {
	if tokens <= 0 {
		return
	}
	if a.held <= 0 {
		a.heldUntil = until
	}
	a.held += tokens
	a.heldUntil = min(a.heldUntil, until)
}

func (a *account) expire(now time.Duration) {
	if now >= a.heldUntil {
		a.held = 0
	}
	if now >= a.returnedUntil {
		a.returned = 0
	}
}

func (a *account) decayed(now time.Duration) float64 {
	return a.recent * math.Exp(-seconds(now-a.recentAt)/seconds(rateTime))
}

func (a *account) spent(now time.Duration, size float64) {
	a.recent = a.decayed(now) + size
	a.recentAt = now
}

// expected returns what is expected to be spent in expectedTime, or 0 if that is less than a request.
func (a *account) expected(now time.Duration) float64 {
	expected := a.decayed(now) * seconds(expectedTime) / seconds(rateTime)
	if expected < a.lastSize {
		return 0
	}
	return expected
}
