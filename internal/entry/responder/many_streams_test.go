package responder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestManyStreams checks that long streams don't block other requests.
func TestManyStreams(t *testing.T) {
	const streams = 400
	arrived, release := make(chan struct{}, streams), make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	address := engine(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-release
		streamEvents(3, false)(w, r)
	})
	t.Cleanup(end)
	h := newHarness(t, dispatchTo(failed, address))
	conns := make([]net.Conn, 0, streams)
	for range streams {
		conn := dial(t, h.address)
		send(t, conn, request("/v1/completions", `{"model":"small","stream":true}`))
		conns = append(conns, conn)
	}
	timeout := time.After(waitTimeout)
	for n := range streams {
		select {
		case <-arrived:
		case <-timeout:
			t.Fatalf("got %d of %d streams at the engine after %v, want all", n, streams, waitTimeout)
		}
	}
	_, body := do(t, newRequest(t, h.address, "/healthz", ""))
	assertEqual(t, "body", body, "ok\n")
	end()
	want := eventOf(0) + eventOf(1) + eventOf(2) + "data: [DONE]\n\n"
	for _, conn := range conns {
		assertEqual(t, "stream", readStream(t, conn), want)
	}
}

func readStream(t *testing.T, conn net.Conn) string {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}
