package messenger

import (
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
