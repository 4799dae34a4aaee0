package launcher

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"

	"google.golang.org/protobuf/proto"

	"samphirewharf/internal/entry/acceptor"
	"samphirewharf/internal/peer/messenger"
)

// TestPeersOfThePlannedSize checks that a daemon takes what 420 daemons send it, and a snapshot of 3,000 servers.
func TestPeersOfThePlannedSize(t *testing.T) {
	const daemons, servers, entryBytes = 420, 3000, 1024
	t.Run("connections", func(t *testing.T) {
		if got, want := peerLimits().MaxConnections, 2*(daemons-1); got < want {
			t.Errorf("got %d connections, want at least %d", got, want)
		}
	})
	t.Run("a snapshot", func(t *testing.T) {
		received := make(chan messenger.Message, 1)
		peer := &messenger.Server{Receive: func(m messenger.Message) { received <- m }}
		mux := http.NewServeMux()
		mux.Handle(messenger.PathPrefix+"/", peer.Handler())
		address := serve(t, &acceptor.Server{Handler: mux, Limits: peerLimits(), Logger: discardLogger()})
		feed := &messenger.Feed{Whole: true, Views: []messenger.View{{Prefix: "servers/"}}}
		for i := range servers {
			feed.Views[0].Entries = append(feed.Views[0].Entries, messenger.ViewEntry{Key: fmt.Sprintf("servers/i-%d", i), Value: bytes.Repeat([]byte("x"), entryBytes)})
		}
		message := messenger.Message{From: "d", Feed: feed}
		client := &messenger.Client{Logger: discardLogger()}
		if err := client.Send(t.Context(), address, message); err != nil {
			t.Fatal(err)
		}
		got, err := receive(received)
		if err != nil {
			t.Fatalf("got %v for a snapshot of %d bytes, want it received", err, proto.Size(message.Envelope()))
		}
		if got, want := len(got.Feed.Views[0].Entries), servers; got != want {
			t.Errorf("got %d entries, want %d", got, want)
		}
	})
}
