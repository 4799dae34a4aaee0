package messenger

import (
	"time"

	"samphirewharf/internal/decision/regulator"
)

// A QuotaAsk asks the daemon that keeps a workspace's quota for tokens.
type QuotaAsk struct {
	Ask regulator.Ask
	// ReplyAddress is where the asker receives messages. It is not the sender's if Forwarded, which reports whether another daemon has
	// passed the message on.
	ReplyAddress string
	Forwarded    bool
}

// A QuotaGrant answers a QuotaAsk. Spender is the process that asked.
type QuotaGrant struct {
	Grant   regulator.Grant
	Spender string
}

// A Standing asks the receiver whether it takes the sender for registered or, if Answer is set, answers that.
type Standing struct {
	Inquiry uint64
	Answer  bool
	// Registered is the answer, Revision that of the view of the daemons which it is taken from.
	Registered bool
	Revision   int64
}

func encodeQuotaAsk(q *QuotaAsk) *QuotaAskPart {
	if q == nil {
		return nil
	}
	a := q.Ask
	return &QuotaAskPart{
		Workspace: a.Workspace, Spender: a.Spender, Sequence: a.Sequence, Sizes: a.Sizes, Extra: a.Extra, Returned: a.Returned,
		PerSecond: a.Quota.PerSecond, Burst: a.Quota.Burst, Version: a.Quota.Version, Fallback: a.Fallback,
		ReplyAddress: q.ReplyAddress, Forwarded: q.Forwarded,
	}
}

func decodeQuotaAsk(p *QuotaAskPart) *QuotaAsk {
	if p == nil {
		return nil
	}
	return &QuotaAsk{ReplyAddress: p.GetReplyAddress(), Forwarded: p.GetForwarded(), Ask: regulator.Ask{
		Workspace: p.GetWorkspace(), Spender: p.GetSpender(), Sequence: p.GetSequence(), Sizes: p.GetSizes(), Extra: p.GetExtra(), Returned: p.GetReturned(),
		Quota: regulator.Quota{PerSecond: p.GetPerSecond(), Burst: p.GetBurst(), Version: p.GetVersion()}, Fallback: p.GetFallback(),
	}}
}

func encodeQuotaGrant(q *QuotaGrant) *QuotaGrantPart {
	if q == nil {
		return nil
	}
	g := q.Grant
	return &QuotaGrantPart{
		Workspace: g.Workspace, Spender: q.Spender, Sequence: g.Sequence, Extra: g.Extra, Fallback: g.Fallback,
		DelaysNanoseconds: convert(g.Delays, func(d time.Duration) int64 { return int64(d) }),
	}
}

func decodeQuotaGrant(p *QuotaGrantPart) *QuotaGrant {
	if p == nil {
		return nil
	}
	return &QuotaGrant{Spender: p.GetSpender(), Grant: regulator.Grant{
		Workspace: p.GetWorkspace(), Sequence: p.GetSequence(), Extra: p.GetExtra(), Fallback: p.GetFallback(),
		Delays: convert(p.GetDelaysNanoseconds(), func(n int64) time.Duration { return time.Duration(n) }),
	}}
}

func encodeStanding(s *Standing) *StandingPart {
	if s == nil {
		return nil
	}
	return &StandingPart{Inquiry: s.Inquiry, Answer: s.Answer, Registered: s.Registered, Revision: s.Revision}
}

func decodeStanding(p *StandingPart) *Standing {
	if p == nil {
		return nil
	}
	return &Standing{Inquiry: p.GetInquiry(), Answer: p.GetAnswer(), Registered: p.GetRegistered(), Revision: p.GetRevision()}
}
