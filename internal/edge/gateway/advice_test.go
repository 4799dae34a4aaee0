package gateway

import (
	"net/http"
	"testing"

	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/decision/reducer"
)

func TestAdvice(t *testing.T) {
	answer := func(t *testing.T, status int, limited, reportAdvice bool) []conductor.ServerAdvised {
		t.Helper()
		address := backend(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Seal", "s")
			if limited {
				w.Header().Set("X-Limited", "1")
			}
			if status == http.StatusServiceUnavailable {
				w.Header().Set("X-Not-Run", "1")
			}
			w.WriteHeader(status)
		})
		h := newHarness(t, func(e conductor.Event) []conductor.Effect {
			switch e := e.(type) {
			case conductor.RequestArrived:
				send := sendTo(address)
				send.Request, send.ReportAdvice = e.Request, reportAdvice
				return []conductor.Effect{send}
			case conductor.AttemptEnded:
				if e.Outcome != reducer.AttemptDone {
					return []conductor.Effect{conductor.Refuse{Request: e.Request, Reason: conductor.RefusedFull}}
				}
			}
			return nil
		})
		_, _, _, _ = h.send("/read/1")
		h.ended(1)
		h.mu.Lock()
		defer h.mu.Unlock()
		var list []conductor.ServerAdvised
		for _, e := range h.events {
			if advised, ok := e.(conductor.ServerAdvised); ok {
				list = append(list, advised)
			}
		}
		return list
	}
	assertAdvised := func(t *testing.T, got []conductor.ServerAdvised, want ...conductor.Advice) {
		t.Helper()
		if len(got) != len(want) || len(want) == 1 && (got[0].Advice != want[0] || got[0].Server != "i-1") {
			t.Errorf("got %+v, want %+v of i-1", got, want)
		}
	}
	limited := conductor.Advice{RateLimited: true}
	t.Run("an answer's advice is reported", func(t *testing.T) {
		assertAdvised(t, answer(t, http.StatusOK, true, false), limited)
	})
	t.Run("a refusal's advice is reported", func(t *testing.T) {
		assertAdvised(t, answer(t, http.StatusServiceUnavailable, true, false), limited)
	})
	t.Run("the end of advice is reported", func(t *testing.T) {
		assertAdvised(t, answer(t, http.StatusOK, false, true), conductor.Advice{})
	})
	t.Run("a refusal without advice doesn't end it", func(t *testing.T) {
		assertAdvised(t, answer(t, http.StatusServiceUnavailable, false, true))
	})
	t.Run("an answer without advice is not reported", func(t *testing.T) {
		assertAdvised(t, answer(t, http.StatusOK, false, false))
	})
}
