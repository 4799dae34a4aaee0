// Package retainer keeps the latest requests that a daemon has sent to a server, with what it knew of the server then, for the log lines that
// say that the server leaves.
package retainer

import (
	"fmt"
	"strings"
	"time"

	"samphirewharf/internal/decision/verifier"
)

const (
	// maxSends bounds the sends that are kept for each server, maxAge is how long ago the oldest one may be that is described.
	maxSends = 32
	maxAge   = 10 * time.Second
)

// A Send is a request that was sent to a server.
type Send struct {
	ID string
	At time.Duration
	// Entry is the revision of the server's entry that was known, and Proof that of the view that it belongs to.
	Entry int64
	Proof verifier.Proof
}

// Sends are the latest requests that were sent to one server. The zero value is ready to use.
type Sends struct {
	ring []Send
	// next is where the next one is put once there are maxSends.
	next int
}

// Add adds a send.
func (s *Sends) Add(send Send) {
	if len(s.ring) < maxSends {
		s.ring = append(s.ring, send)
		return
	}
	s.ring[s.next] = send
	s.next = (s.next + 1) % maxSends
}

// Describe returns how a server is used: how many requests run there, and which were sent last, the newest first. Of each it has how long
// ago it was sent, by which revision of the server's entry, and how long before, and by whom, that was last proved.
func (s *Sends) Describe(now time.Duration, running int) string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "%d requests running", running)
	separator := "; sent "
	for i := range s.ring {
		send := s.ring[(s.next+len(s.ring)-1-i)%len(s.ring)]
		if now-send.At > maxAge {
			break
		}
		_, _ = fmt.Fprintf(&text, "%s%s %d ms ago by %d", separator, send.ID, (now - send.At).Milliseconds(), send.Entry)
		if send.Proof.Known {
			_, _ = fmt.Fprintf(&text, " (%d ms, %s)", send.Proof.Age(send.At).Milliseconds(), send.Proof.Source)
		}
		separator = ", "
	}
	return text.String()
}
