package sharer

import (
	"fmt"
	"testing"
	"time"

	"samphirewharf/internal/fleet/matcher"
)

var route = matcher.Route{Priority: 1, LatencyObjective: time.Second}

// configuration returns one with workspaces that have the given quotas in tokens a second, named w0, w1 and so on.
func configuration(t testing.TB, quotas ...float64) *matcher.Configuration {
	t.Helper()
	var list []matcher.Workspace
	for i, q := range quotas {
		list = append(list, matcher.Workspace{Name: fmt.Sprint("w", i), Quota: matcher.Quota{Tokens: true, PerSecond: q}})
	}
	c, err := new(matcher.Configuration).WithWorkspaces(list)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func assertStart(t *testing.T, ticket Ticket, want float64) {
	t.Helper()
	if ticket.Start != want {
		t.Errorf("got start tag %v, want %v", ticket.Start, want)
	}
}

func TestTickets(t *testing.T) {
	t.Run("without workspaces all requests have the same place", func(t *testing.T) {
		var s Sharer
		for range 3 {
			ticket := s.Join(0, configuration(t), "", route, 500)
			if ticket != (Ticket{}) {
				t.Errorf("got %+v, want the zero value", ticket)
			}
			s.Serve(time.Second, &ticket)
		}
	})
	t.Run("requests of a workspace are as far apart as their tokens take at its quota", func(t *testing.T) {
		var s Sharer
		c := configuration(t, 100, 400)
		assertStart(t, s.Join(0, c, "w1", route, 800), 0)
		assertStart(t, s.Join(0, c, "w1", route, 400), 2)
		assertStart(t, s.Join(0, c, "w0", route, 0), 0)
		assertStart(t, s.Join(0, c, "w1", route, 400), 3)
	})
	t.Run("a workspace that begins to wait has no credit for the time before", func(t *testing.T) {
		var s Sharer
		c := configuration(t, 100, 100)
		s.Join(0, c, "w0", route, 500)
		second, last := s.Join(0, c, "w0", route, 500), s.Join(0, c, "w0", route, 500)
		s.Serve(time.Second, &second)
		assertStart(t, s.Join(time.Second, c, "w1", route, 500), second.Start)
		if last.Start <= second.Start {
			t.Errorf("got start tag %v after %v, want a higher one", last.Start, second.Start)
		}
	})
	t.Run("a request without a server costs nothing, nor does one that hasn't waited", func(t *testing.T) {
		var s Sharer
		c := configuration(t, 100, 100)
		first := s.Join(0, c, "w0", route, 500)
		refused, direct := s.Join(0, c, "w0", route, 500), s.Join(time.Second, c, "w0", route, 500)
		s.Leave(&refused)
		s.Leave(&refused)
		s.Serve(time.Second, &direct)
		assertStart(t, s.Join(time.Second, c, "w0", route, 500), first.Start+first.cost)
	})
	t.Run("tags are forgotten when nobody waits, and are apart by priority and objective", func(t *testing.T) {
		var s Sharer
		c := configuration(t, 100)
		first := s.Join(0, c, "w0", route, 500)
		assertStart(t, s.Join(0, c, "w0", matcher.Route{}, 500), 0)
		s.Serve(time.Second, &first)
		assertStart(t, s.Join(time.Second, c, "w0", route, 500), 0)
		if len(s.lines) != 2 {
			t.Errorf("got %d lines, want 2", len(s.lines))
		}
	})
	t.Run("workspaces that have sent nothing for long are forgotten", func(t *testing.T) {
		var s Sharer
		c := configuration(t, make([]float64, 100)...)
		for i := range 100 {
			ticket := s.Join(time.Duration(i)*time.Minute, c, fmt.Sprint("w", i), route, 500)
			s.Serve(time.Duration(i)*time.Minute, &ticket)
		}
		if len(s.demands) != 1 || len(s.lines) != 0 {
			t.Errorf("got %d workspaces and %d lines, want 1 and 0", len(s.demands), len(s.lines))
		}
	})
}

// BenchmarkJoin guards against a cost that grows with the workspaces of the configuration.
func BenchmarkJoin(b *testing.B) {
	var s Sharer
	c := configuration(b, make([]float64, 1000)...)
	for i := range b.N {
		ticket := s.Join(time.Duration(i)*time.Millisecond, c, "w7", route, 500)
		s.Serve(time.Duration(i+1)*time.Millisecond, &ticket)
	}
}
