package inspector

import (
	"errors"
	"io"
	"net"
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
