package responder_test

import (
	"net"
	"net/http"
	"testing"

	"samphirewharf/internal/standin/responder"
)

func TestServerStop(t *testing.T) {
	var server responder.Server
	for address := "127.0.0.1:0"; ; address = server.Address() {
		if err := server.Start(address, http.NotFoundHandler()); err != nil {
			t.Fatal(err)
		}
		server.Stop()
		conn, err := net.Dial("tcp", server.Address())
		if err == nil {
			_ = conn.Close()
			t.Fatal("got a connection, want none")
		}
		if address == server.Address() {
			return
		}
	}
}
