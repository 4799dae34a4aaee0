package responder

import (
	"net/http"
	"testing"

	"samphirewharf/internal/standin/breaker"
)

// Guards against a part of an answer without a length that callers get as the whole, as its connection was reset amid the upload.
func TestAnswersResetAmidUploads(t *testing.T) {
	h := newHarness(t, dispatchTo(failed, "192.0.2.1:80"))
	lines := h.logLines()
	h.responder.Client.Dial = breaker.Dial("HTTP/1.1 200 OK\r\n\r\npart")
	response, body := do(t, newRequest(t, h.address, "/v1/completions", `{"model":"small","prompt":"`+breaker.Upload+`"}`))
	if response.StatusCode != http.StatusBadGateway {
		t.Errorf("got status %d and body %q, want 502", response.StatusCode, body)
	}
	assertContains(t, lines.String(), "connection was reset")
}

// Guards against answers that callers get though their heads aren't valid, and against services whose valid answers they don't get.
func TestHeadsOfAnswers(t *testing.T) {
	send := func(t *testing.T, text string) (response answer, body, lines string) {
		t.Helper()
		h := newHarness(t, dispatchTo(failed, rawEngine(t, text)))
		buffer := h.logLines()
		response, body = do(t, newRequest(t, h.address, "/v1/completions", `{"model":"small"}`))
		return response, body, buffer.String()
	}
	for name, text := range breaker.InvalidHeads("", "body") {
		t.Run(name, func(t *testing.T) {
			response, _, lines := send(t, text)
			assertEqual(t, "status", response.StatusCode, http.StatusBadGateway)
			assertContains(t, lines, `"Server":"s1"`)
			assertContains(t, lines, "invalid answer given up")
		})
	}
	for name, text := range breaker.ValidHeads("", "body") {
		t.Run(name, func(t *testing.T) {
			response, body, _ := send(t, text)
			assertEqual(t, "status", response.StatusCode, http.StatusOK)
			assertEqual(t, "body", body, "body")
		})
	}
}
