package regulator

import "time"

// A Standing tells whether a daemon may still be a keeper after its lease in the store has run out. While the store is silent for all,
// the other daemons still take it for registered; if it alone is cut off, they have chosen another keeper. So it asks some of them.
type Standing struct {
	// number identifies the inquiry that is out, askedAt is when it was sent, asked how many daemons got it.
	number  uint64
	askedAt time.Duration
	asked   int
	// answers counts the answers, registered and revision are those of the answer with the newest view.
	answers    int
	registered bool
	revision   int64
	// confirmedUntil is until when the answers hold.
	confirmedUntil time.Duration
}

const (
	// inquiryInterval is the time between two inquiries, inquiryLead how long before the end of the lease the first one is sent.
	inquiryInterval = 300 * time.Millisecond
	inquiryLead     = 500 * time.Millisecond
	// confirmedTime is how long answers hold, from the time at which they were asked for.
	confirmedTime = time.Second
	// InquiryDaemons is the number of daemons that get an inquiry. The newest view decides; half of them must answer.
	InquiryDaemons = 4
)

// Holds reports whether the daemon may be a keeper.
func (s *Standing) Holds(now, leaseUntil time.Duration) bool {
	return now < leaseUntil || now < s.confirmedUntil
}

// NextAt returns when the next inquiry is due.
func (s *Standing) NextAt(leaseUntil time.Duration) time.Duration {
	return max(leaseUntil-inquiryLead, s.askedAt+inquiryInterval)
}

// Inquire begins an inquiry of some daemons and returns its number.
func (s *Standing) Inquire(now time.Duration, daemons int) uint64 {
	s.number++
	s.askedAt, s.asked, s.answers, s.registered, s.revision = now, daemons, 0, false, 0
	if daemons == 0 {
		// There is no other daemon that could be a keeper.
		s.confirmedUntil = now + confirmedTime
	}
	return s.number
}

// Answered takes the answer of a daemon whose view of the daemons has the given revision.
func (s *Standing) Answered(number uint64, registered bool, revision int64) {
	if number != s.number {
		return
	}
	s.answers++
	switch {
	case s.answers == 1 || revision > s.revision:
		s.registered, s.revision = registered, revision
	case revision == s.revision:
		s.registered = s.registered && registered
	}
	if 2*s.answers < s.asked {
		return
	}
	s.confirmedUntil = 0
	if s.registered {
		s.confirmedUntil = s.askedAt + confirmedTime
	}
}
