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

// Guards against a message that counts as delivered though the answer of the other daemon has no valid head.
func TestHeadsOfAnswers(t *testing.T) {
	for name, answer := range breaker.InvalidHeads("Content-Type: application/protobuf\r\n", "") {
		t.Run(name, func(t *testing.T) {
			server := &breaker.Server{Answer: answer}
			if err := server.Start("127.0.0.1:0"); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(server.Stop)
			if _, err := (&Client{}).messenger(server.Address()).Deliver(t.Context(), heartbeatMessage(1).Envelope()); err == nil {
				t.Error("got the message delivered, want an error")
			}
		})
	}
}
