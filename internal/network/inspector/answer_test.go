package inspector

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"samphirewharf/internal/standin/breaker"
)

// A textConn is a connection on which a text is received.
type textConn struct {
	net.Conn
	io.Reader
}

func (c *textConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

// Guards against heads that are passed on though they aren't valid, and against valid ones that are refused, however they are split.
func TestHeads(t *testing.T) {
	read := func(answer string, split func(io.Reader) io.Reader) (string, error) {
		got, err := io.ReadAll(&Conn{Conn: &textConn{Reader: split(strings.NewReader(answer))}})
		return string(got), err
	}
	whole := func(r io.Reader) io.Reader { return r }
	for name, split := range map[string]func(io.Reader) io.Reader{"whole": whole, "in halves": iotest.HalfReader, "in bytes": iotest.OneByteReader} {
		for what, answer := range breaker.InvalidHeads("", "body") {
			t.Run(what+", "+name, func(t *testing.T) {
				got, err := read(answer, split)
				beforeBody, _, _ := strings.Cut(answer, "body")
				if end := strings.LastIndex(beforeBody, "\r\n\r\n"); len(got) >= end+len("\r\n\r\n") {
					t.Errorf("got %q, want no whole head", got)
				}
				if !errors.Is(err, ErrInvalidHead) || strings.ContainsAny(err.Error(), "\x00\x1b") {
					t.Errorf("got error %v, want %v without control bytes", err, ErrInvalidHead)
				}
			})
		}
		for what, answer := range breaker.ValidHeads("", "body") {
			t.Run(what+", "+name, func(t *testing.T) {
				if got, err := read(answer, split); got != answer || err != nil {
					t.Errorf("got %q and error %v, want %q", got, err, answer)
				}
			})
		}
	}
}

// Guards against additional answers that are taken for those to the next requests on their connections, with heads that nothing has checked,
// and against answers that are taken for additional ones.
func TestAnswersOnKeptConnections(t *testing.T) {
	const (
		own    = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"
		chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\nX-End: 1\r\n\r\n"
	)
	for _, c := range []struct {
		name, answer, body string
		// all reports whether each request is answered.
		all bool
	}{
		{name: "with a body", answer: own, body: "own", all: true},
		{name: "without a body", answer: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", all: true},
		{name: "with chunks", answer: chunks, body: "own", all: true},
		{name: "doubled", answer: own + "HTTP/1.1 200 OK\r\nX Odd: x\r\nContent-Length: 3\r\n\r\nodd", body: "own"},
		{name: "followed by half a head", answer: own + "HTTP/1.1 200 OK\r\nX Odd: x\r\nX-Odd: ", body: "own"},
		{name: "with chunks, followed by half a head", answer: chunks + "HTTP/1.1 200 OK\r\nX Odd: x\r\nX-Odd: ", body: "own"},
	} {
		server := &breaker.Server{Answer: c.answer, Keep: true}
		if err := server.Start("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Stop)
		transport := NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext, MaxIdleConnsPerHost: 8})
		t.Cleanup(transport.CloseIdleConnections)
		for range 8 {
			t.Run(c.name, func(t *testing.T) {
				t.Parallel()
				for range 500 {
					r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+server.Address(), http.NoBody)
					if err != nil {
						t.Fatal(err)
					}
					response, err := transport.RoundTrip(r)
					if err != nil && c.all {
						t.Fatal(err)
					}
					if err != nil {
						continue
					}
					body, _ := io.ReadAll(response.Body)
					_ = response.Body.Close()
					if string(body) != c.body || len(response.Header) > 1 {
						t.Fatalf("got body %q with header %v, want %q and a field at most", body, response.Header, c.body)
					}
				}
			})
		}
	}
}
