package acceptor

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"samphirewharf/internal/caller/refuser"
)

// Guards against callers that send bytes without end, all of which the daemon keeps.
func TestEndlessRequests(t *testing.T) {
	const (
		chunked = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
		body    = chunked + "\r\n"
		// mostSent is what a caller may have sent until it is refused: twice the largest body, and what connections buffer.
		mostSent = 2<<20 + 12<<20
	)
	address, _ := start(t, &Server{Handler: http.HandlerFunc(echo), Limits: Limits{MaxBodyBytes: 1 << 20, ReadTimeout: 20 * time.Second}})
	for _, c := range []struct{ name, head, part string }{
		{"a request line", "GET /", "x"},
		{"a field", "GET / HTTP/1.1\r\nA: ", "x"},
		{"fields", "GET / HTTP/1.1\r\n", "A: x\r\n"},
		{"an extension of a chunk", body + "1;a=", "x"},
		{"extensions of chunks", body, "1;" + strings.Repeat("x", 500) + "\r\nx\r\n"},
		{"chunks", body, "40\r\n" + strings.Repeat("x", 64) + "\r\n"},
		{"a trailer", chunked + "Trailer: A\r\n\r\n0\r\nA: ", "x"},
		{"empty trailers", chunked + "Trailer: A\r\n\r\n0\r\n", "A:\r\n"},
		{"trailers of other names", chunked + "Trailer: A\r\n\r\n0\r\n", "B: x\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, _ := dial(t, address, c.head)
			part := strings.Repeat(c.part, 4096/len(c.part)+1)
			sent := 0
			for sent <= mostSent {
				n, err := io.WriteString(conn, part)
				sent += n
				if err != nil {
					break
				}
			}
			if sent > mostSent {
				t.Errorf("got %d bytes accepted, want at most %d", sent, mostSent)
			}
		})
	}
}

// Guards against many callers whose large bodies together take up the memory of the process.
func TestLargeBodiesShareABound(t *testing.T) {
	const body = 1 << 20
	server := &Server{Handler: http.HandlerFunc(echo), Limits: Limits{MaxBodyBytes: body, MaxSharedBytes: 4 * body}}
	address, _ := start(t, server)
	head := "POST /large HTTP/1.1\r\nHost: x\r\nContent-Length: " + strconv.Itoa(body) + "\r\n\r\n"
	part := strings.Repeat("x", body-1)
	var held []net.Conn
	for range 4 {
		conn, _ := dial(t, address, head+part)
		held = append(held, conn)
	}
	for server.bodies.Reserved() < 4*(body-1-freeBodyBytes) {
		time.Sleep(time.Millisecond)
	}
	_, refused := dial(t, address, head+part)
	assertRefused(t, refused, refuser.CodeOverloaded)
	_, reader := dial(t, address, "POST /small HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab")
	assertResponse(t, reader, "POST /small ab")
	for _, conn := range held {
		_ = conn.Close()
	}
	assertServedAgain(t, address, head+part+"x")
}

// assertServedAgain waits until a request is served.
func assertServedAgain(t *testing.T, address, request string) {
	t.Helper()
	for range 100 {
		_, reader := dial(t, address, request)
		if status, _ := readResponse(t, reader); status == http.StatusOK {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("got no large request served after the others ended, want it served")
}
