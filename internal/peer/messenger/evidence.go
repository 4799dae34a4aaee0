package messenger

import "time"

// Evidence carries what the sender has seen of requests that may crash servers or, if Broadcast is set, what a keeper has
// merged. A follower relays the latter to its subscribers.
type Evidence struct {
	Broadcast bool
	Suspects  []Suspect
	// Requested reports whether the sender, which has just started, asks for the receiver's evidence, Reply whether this is the answer.
	// Earlier versions do neither.
	Requested bool
	Reply     bool
}

// A Suspect is the evidence that requests with a trait crash servers.
type Suspect struct {
	// Fingerprint is a hash of the whole content of a request or, if Part is set, of a part of its prompt at position Depth.
	Fingerprint uint64
	Part        bool
	Depth       int
	// Crashes is the number of servers that crashed.
	Crashes int
	// Servers are hashes of the incarnations that crashed. Requests and Ages hold for each of them the fingerprint of the request
	// that was running there and the time since the crash; earlier versions send neither.
	Servers  []uint64
	Requests []uint64
	Ages     []time.Duration
	// AnsweredAgo is the time since a request with the trait was last answered, valid if Answered.
	Answered    bool
	AnsweredAgo time.Duration
	// Quarantines is how often the trait was quarantined, QuarantinedAgo the time since then, and Hold for how much longer no request
	// with it is sent; negative after that.
	Quarantines int
	// Cleared is how many of the quarantines no longer hold.
	Cleared        int
	QuarantinedAgo time.Duration
	Hold           time.Duration
}

func encodeEvidence(e *Evidence) *EvidencePart {
	if e == nil {
		return nil
	}
	return &EvidencePart{Broadcast: e.Broadcast, Suspects: convert(e.Suspects, encodeSuspect), Requested: e.Requested, Reply: e.Reply}
}

func decodeEvidence(p *EvidencePart) *Evidence {
	if p == nil {
		return nil
	}
	return &Evidence{Broadcast: p.GetBroadcast(), Suspects: convert(p.GetSuspects(), decodeSuspect), Requested: p.GetRequested(), Reply: p.GetReply()}
}

func encodeSuspect(s Suspect) *SuspectPart {
	return &SuspectPart{
		Fingerprint: s.Fingerprint, Part: s.Part, Depth: int64(s.Depth), Crashes: int64(s.Crashes), Servers: s.Servers, Requests: s.Requests,
		AgesNanoseconds: convert(s.Ages, func(age time.Duration) int64 { return int64(age) }),
		Answered:        s.Answered, AnsweredAgoNanoseconds: int64(s.AnsweredAgo),
		Convictions: int64(s.Quarantines), ConvictedAgoNanoseconds: int64(s.QuarantinedAgo), HoldNanoseconds: int64(s.Hold), Cleared: int64(s.Cleared),
	}
}

func decodeSuspect(s *SuspectPart) Suspect {
	return Suspect{
		Fingerprint: s.GetFingerprint(), Part: s.GetPart(), Depth: int(s.GetDepth()), Crashes: int(s.GetCrashes()), Servers: s.GetServers(), Requests: s.GetRequests(),
		Ages:     convert(s.GetAgesNanoseconds(), func(age int64) time.Duration { return time.Duration(age) }),
		Answered: s.GetAnswered(), AnsweredAgo: time.Duration(s.GetAnsweredAgoNanoseconds()),
		Quarantines: int(s.GetConvictions()), QuarantinedAgo: time.Duration(s.GetConvictedAgoNanoseconds()), Hold: time.Duration(s.GetHoldNanoseconds()), Cleared: int(s.GetCleared()),
	}
}
