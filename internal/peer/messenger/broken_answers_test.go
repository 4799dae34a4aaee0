package messenger

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"samphirewharf/internal/standin/breaker"
)

// Guards against a message that counts as delivered though the connection was reset before the other daemon had read it.
func TestAnswersResetAmidUploads(t *testing.T) {
	client := &Client{Transport: newTransport(breaker.Dial("HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n"))}
	if _, err := client.messenger("192.0.2.1:80").Deliver(t.Context(), reportsMessage(300).Envelope()); err == nil {
		t.Error("got the message delivered, want an error")
	}
}

// Guards against a message that counts as delivered though the answer of the other daemon has no valid head.
func TestHeadsOfAnswers(t *testing.T) {
	for name, answer := range breaker.InvalidHeads("Content-Type: application/protobuf\r\n", "") {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
					_, _ = io.WriteString(conn, answer)
					_ = conn.Close()
				}
			}))
			t.Cleanup(server.Close)
			if _, err := (&Client{}).messenger(server.Listener.Addr().String()).Deliver(t.Context(), heartbeatMessage(1).Envelope()); err == nil {
				t.Error("got the message delivered, want an error")
			}
		})
	}
}
