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
