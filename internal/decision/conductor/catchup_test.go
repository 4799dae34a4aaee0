package conductor

import (
	"testing"
	"time"

	"samphirewharf/internal/peer/messenger"
)

// startingHarness returns a machine that has just started beside another daemon, d2, and has an engine with m1.
func startingHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{t: t, machine: New(testSettings()), revision: 100}
	h.step(ConfigurationChanged{Configuration: testConfiguration(t, 1)})
	h.step(ServersListed{})
	h.engine("e1", "a", loadedModel("m1"))
	return h
}

func (h *harness) listPeer() {
	h.step(DaemonsListed{Daemons: []DaemonChanged{{Daemon: Daemon{Name: "d2", Instance: "i2", PeerAddress: "d2", Zone: "a"}, Revision: 1}}, Revision: 200})
}

// replyOf returns the answer of d2 to a daemon that has just started, with a quarantine of a request.
func replyOf(fingerprint uint64) PeerReceived {
	return PeerReceived{Message: messenger.Message{From: "d2", Evidence: &messenger.Evidence{
		Reply: true, Suspects: []messenger.Suspect{{Fingerprint: fingerprint, Quarantines: 1, Hold: time.Minute}},
	}}}
}

func TestCatchUp(t *testing.T) {
	t.Run("another daemon is asked once it is known", func(t *testing.T) {
		h := startingHarness(t)
		h.listPeer()
		asked := 0
		for _, effect := range h.all {
			if e, ok := effect.(SendPeer); ok && e.Message.Evidence != nil && e.Message.Evidence.Requested && e.Address == "d2" {
				asked++
			}
		}
		assertEqual(t, "messages to d2", asked, 1)
	})
	t.Run("a request waits for the answer, and what is quarantined is refused", func(t *testing.T) {
		h := startingHarness(t)
		id := h.request(quick, "m1", "")
		h.listPeer()
		h.engine("e2", "a", loadedModel("m1"))
		assertEqual(t, "sends before the answer", len(findIn[Send](h.all)), 0)
		h.step(replyOf(1))
		assertEqual(t, "sends", len(findIn[Send](h.all)), 0)
		list := h.refusals(id)
		if len(list) != 1 || list[0].Reason != RefusedPoison {
			t.Errorf("got refusals %+v, want one for what crashes servers", list)
		}
	})
	t.Run("another request is sent after the answer", func(t *testing.T) {
		h := startingHarness(t)
		h.request(quick, "m1", "")
		h.listPeer()
		h.step(replyOf(99))
		assertEqual(t, "sends", len(findIn[Send](h.all)), 1)
	})
	t.Run("the wait for an answer is bounded", func(t *testing.T) {
		h := startingHarness(t)
		h.listPeer()
		h.request(quick, "m1", "")
		assertEqual(t, "sends before the timeout", len(findIn[Send](h.all)), 0)
		h.advance(catchUpTimeout + 10*time.Millisecond)
		assertEqual(t, "sends", len(findIn[Send](h.all)), 1)
	})
	t.Run("the wait for the list of daemons is bounded", func(t *testing.T) {
		h := startingHarness(t)
		h.request(quick, "m1", "")
		h.advance(catchUpTimeout + 10*time.Millisecond)
		assertEqual(t, "sends", len(findIn[Send](h.all)), 1)
	})
	t.Run("the daemon is ready only then", func(t *testing.T) {
		h := startingHarness(t)
		h.listPeer()
		assertEqual(t, "ready before the answer", h.machine.published.Ready, false)
		h.step(replyOf(99))
		assertEqual(t, "ready", h.machine.published.Ready, true)
	})
	t.Run("a daemon that is asked answers with what it holds back", func(t *testing.T) {
		h := newHarness(t)
		h.step(replyOf(7))
		h.step(PeerReceived{Message: messenger.Message{From: "d2", Address: "d2", Evidence: &messenger.Evidence{Requested: true}}})
		var got *messenger.Evidence
		for _, effect := range h.effects {
			if e, ok := effect.(SendPeer); ok && e.Address == "d2" {
				got = e.Message.Evidence
			}
		}
		if got == nil || !got.Reply || len(got.Suspects) != 1 || got.Suspects[0].Fingerprint != 7 {
			t.Errorf("got answer %+v, want the quarantine of 7", got)
		}
	})
}
