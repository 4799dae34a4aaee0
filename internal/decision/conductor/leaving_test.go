package conductor

import (
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/fleet/registrar"
)

// Guards against requests that are sent to a server that left while they waited for a connection to it.
func TestRequestsThatWaitForAConnectionAsTheirServerLeaves(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(*harness, registrar.Entry)
	}{
		{"it drains", func(h *harness, e registrar.Entry) {
			e.State = registrar.StateDraining
			h.change(e)
		}},
		{"it is removed", func(h *harness, e registrar.Entry) {
			h.revision++
			h.step(ServerRemoved{ID: e.ID, Revision: h.revision})
		}},
		{"it is replaced at its address", func(h *harness, e registrar.Entry) {
			e.StartedAt++
			e.State = registrar.StateDraining
			h.change(e)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.advance(entryRecoveryTimeout)
			first := h.plainServer("s1", "a")
			id := h.request(booking, "", "")
			streamed := h.request(reading, "", "")
			h.step(AttemptStarted{Request: streamed, Attempt: 1})
			c.leave(h, first)
			withdrawn := find[Withdraw](h)
			if len(withdrawn) != 1 || withdrawn[0] != (Withdraw{Request: id, Attempt: 1}) {
				t.Fatalf("got withdrawn %+v, want attempt 1 of request %d", withdrawn, id)
			}
			h.plainServer("s2", "a")
			h.advance(10 * time.Millisecond)
			h.end(id, 1, reducer.AttemptNotSent, CauseLeaving)
			sent := find[Send](h)
			if len(sent) != 1 || sent[0].Server != "s2" {
				t.Errorf("got sent %+v, want one send to s2", sent)
			}
			assertEqual(t, "failed connections", h.machine.requests[id].connectFailures, 0)
		})
	}
}
