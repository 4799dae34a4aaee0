package conductor

import (
	"fmt"
	"testing"
	"time"
)

// A server whose request is preempted pauses its stream. It isn't taken for failed while the caller still waits.
func TestEventTimeout(t *testing.T) {
	for _, c := range []struct{ objective, gap, want time.Duration }{
		{500 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second},
		{3 * time.Second, 200 * time.Millisecond, 12 * time.Second},
		{500 * time.Millisecond, time.Second, 8 * time.Second},
	} {
		t.Run(fmt.Sprintf("objective %v, gap %v", c.objective, c.gap), func(t *testing.T) {
			h := newHarness(t)
			h.engine("e1", "a", loadedModel("m1"))
			route := quick
			route.LatencyObjective, route.EventGapObjective = c.objective, c.gap
			h.request(route, "m1", "")
			assertEqual(t, "time for an event", one[Send](h).EventGapTimeout, c.want-eventTimeoutMargin)
		})
	}
}
