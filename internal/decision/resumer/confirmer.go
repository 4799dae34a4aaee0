package resumer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/peer/messenger"
)

// A daemon that has stood still or was cut off doesn't know that a service has got another version meanwhile. Before it lets a stream
// of unknown origin go on at the only version that it knows of, it has this confirmed by other daemons or the store.

const (
	// confirmers is how many daemons are asked at a time.
	confirmers = 3
	// sufficientAnswers is how many answers of daemons that are up to date are enough. One of them may have stood still as well, so
	// that it is out of date without knowing it.
	sufficientAnswers = 2
)

// A confirmation tells as of when the versions of a service that this daemon knows of are all that it has had lately.
type confirmation struct {
	at time.Duration
	// valid reports whether there was any confirmation.
	valid bool
	waits []confirmationWait
	// inquiry is the one that isn't answered enough yet; its number is 0 if there is none.
	inquiry inquiry
}

// A confirmationWait is the wait of a request for a confirmation as of a time or later.
type confirmationWait struct {
	id       reducer.RequestID
	since    time.Duration
	deadline time.Duration
}

// An inquiry is a question to some daemons.
type inquiry struct {
	number uint64
	sentAt time.Duration
	// asked is the number of daemons that were asked, answers that of those that have answered, fresh that of those up to date.
	asked   int
	answers int
	fresh   int
	// tries counts the inquiries since the last one that was answered.
	tries int
}

func (q inquiry) sufficient() bool {
	return q.answers >= q.asked || q.fresh >= sufficientAnswers
}

func (s *Resumer) confirmation(service string) *confirmation {
	c, ok := s.confirmations[service]
	if !ok {
		c = &confirmation{}
		if s.confirmations == nil {
			s.confirmations = make(map[string]*confirmation)
		}
		s.confirmations[service] = c
	}
	return c
}

// Confirmed reports whether the versions of a service that this daemon knows of were all that it had as of a time or later. They are
// if no other daemon is registered.
func (s *Resumer) Confirmed(service string, since time.Duration) bool {
	c := s.confirmation(service)
	return c.valid && c.at >= since || len(s.fleet.others) == 0
}

// Confirm has a request wait until the versions of a service are confirmed as of a time or later, until the deadline at the latest. It
// returns when Unanswered has to be called.
func (s *Resumer) Confirm(now time.Duration, id reducer.RequestID, service string, since, deadline time.Duration) time.Duration {
	c := s.confirmation(service)
	c.waits = append(c.waits, confirmationWait{id: id, since: since, deadline: deadline})
	if c.inquiry.number == 0 || now >= c.inquiry.sentAt+askInterval {
		c.inquiry = inquiry{}
		s.inquire(now, service, c)
	}
	return min(deadline, now+askInterval)
}

// Inquire asks other daemons for the versions of a service, unless that was done lately, also if no request waits for a confirmation. The
// registrars may all have started shortly before, as in an upgrade, so any daemon is asked.
func (s *Resumer) Inquire(now time.Duration, service string) {
	if c := s.confirmation(service); c.inquiry.number == 0 || now >= c.inquiry.sentAt+askInterval {
		c.inquiry = inquiry{}
		s.inquireOf(s.fleet.all, now, service, c)
	}
}

// Confirms reports whether a request waits for a confirmation.
func (s *Resumer) Confirms(id reducer.RequestID) bool {
	for _, c := range s.confirmations {
		if slices.ContainsFunc(c.waits, func(w confirmationWait) bool { return w.id == id }) {
			return true
		}
	}
	return false
}

// inquire asks the next few daemons. Requests that arrive before they have answered share the next inquiry.
func (s *Resumer) inquire(now time.Duration, service string, c *confirmation) {
	s.inquireOf(s.fleet.others, now, service, c)
}

func (s *Resumer) inquireOf(others []string, now time.Duration, service string, c *confirmation) {
	if s.inquiries == 0 && len(others) > 0 {
		s.nextOther = int(xxhash.Sum64String(s.Self) % uint64(len(others)))
	}
	var names []string
	for range min(confirmers, len(others)) {
		names = append(names, others[s.nextOther%len(others)])
		s.nextOther++
	}
	s.inquiries++
	c.inquiry = inquiry{number: s.inquiries, sentAt: now, asked: len(names), tries: c.inquiry.tries + 1}
	s.Send(names, messenger.Origins{Inquiry: &messenger.VersionsInquiry{Number: c.inquiry.number, Service: service}})
}

// Answered handles another daemon's answer to an inquiry. Mixed reports whether the service has several versions, as is known now.
func (s *Resumer) Answered(now time.Duration, v messenger.ServiceVersions, mixed bool) {
	c := s.confirmation(v.Service)
	if c.inquiry.number == 0 || c.inquiry.number != v.Inquiry {
		return
	}
	c.inquiry.answers++
	if v.Fresh {
		c.inquiry.fresh++
	}
	if mixed || c.inquiry.sufficient() {
		s.confirm(now, v.Service, c, c.inquiry.sentAt)
	}
}

// confirm has the requests routed that wait for a confirmation as of a time, and asks again for the others.
func (s *Resumer) confirm(now time.Duration, service string, c *confirmation, at time.Duration) {
	c.at, c.valid, c.inquiry = at, true, inquiry{}
	for _, w := range slices.Clone(c.waits) {
		if w.since <= at {
			s.Resolve(w.id)
		}
	}
	if len(c.waits) > 0 && c.inquiry.number == 0 {
		s.inquire(now, service, c)
	}
}

// confirmRead handles a read of the records in the store that began at a time. They tell which services have several versions.
func (s *Resumer) confirmRead(now, at time.Duration) {
	for service, c := range s.confirmations {
		if len(c.waits) > 0 {
			s.confirm(now, service, c, at)
		}
	}
}

// unconfirmed handles a request that still waits for a confirmation. Without an answer it asks other daemons, and has the records in the
// store read. It returns when it has to be called again, or false if there is no answer, or the deadline has passed.
func (s *Resumer) unconfirmed(now time.Duration, service string, c *confirmation, w confirmationWait) (next time.Duration, waits bool) {
	if now >= c.inquiry.sentAt+askInterval {
		if c.inquiry.answers > 0 || len(s.fleet.others) == 0 {
			// Those that have answered are out of date, as in an outage of the store, in which no daemon sees another version.
			s.confirm(now, service, c, c.inquiry.sentAt)
			return min(w.deadline, now+askInterval), true
		}
		s.reader.wanted = true
		if c.inquiry.tries >= maxAsks && !s.reader.reading || now >= w.deadline {
			return 0, false
		}
		s.inquire(now, service, c)
	}
	return min(w.deadline, now+askInterval), now < w.deadline
}
