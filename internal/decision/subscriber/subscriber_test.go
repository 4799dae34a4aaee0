package subscriber

import (
	"fmt"
	"testing"
	"time"
)

func TestOffers(t *testing.T) {
	t.Run("daemons that were up to date but no longer are don't delay the search for another one", func(t *testing.T) {
		candidates := []Candidate{{"c0", "c0:2"}, {"c1", "c1:2"}, {"c2", "c2:2"}, {"c3", "c3:2"}}
		x := Situation{Now: time.Second, Follower: true, StoreLost: true, Candidates: candidates, Address: func(name string) string { return name + ":2" }}
		var s Subscriber
		for _, name := range []string{"o0", "o1", "o2", "o3"} {
			s.Received(x.Now, name, true)
		}
		var asked []string
		for range 8 {
			if d := s.Decide(x); d.Subscribe != nil {
				asked = append(asked, d.Subscribe.Name)
			}
			x.Now += 25 * time.Millisecond
			s.Received(x.Now, s.Upstream(), false)
		}
		if got, want := fmt.Sprint(asked), "[o0 o1 o2 o3 c1 c2 c3]"; got != want {
			t.Errorf("got subscriptions to %s, want %s", got, want)
		}
	})
}
