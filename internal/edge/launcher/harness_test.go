package launcher

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/phuslu/log"

	"samphirewharf/internal/entry/acceptor"
	"samphirewharf/internal/peer/messenger"
)

func discardLogger() *log.Logger { return &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}} }

// serve starts a server and returns its address.
func serve(t *testing.T, server *acceptor.Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.Stop(ctx)
	})
	return listener.Addr().String()
}

// receive returns the next message.
func receive(messages <-chan messenger.Message) (messenger.Message, error) {
	select {
	case m := <-messages:
		return m, nil
	case <-time.After(3 * time.Second):
		return messenger.Message{}, errors.New("nothing arrived")
	}
}
