package acceptor

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"samphirewharf/internal/caller/refuser"
)

const waitTimeout = 20 * time.Second

type runningServer struct {
	server   *Server
	listener net.Listener
	err      chan error
}

func (s *runningServer) run() { s.err <- s.server.Serve(s.listener) }

func start(t *testing.T, server *Server) (string, *runningServer) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &runningServer{server: server, listener: listener, err: make(chan error, 1)}
	go s.run()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Stop(ctx)
	})
	return listener.Addr().String(), s
}

// echo responds with the method, the path and the body.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(w, r.Method+" "+r.URL.Path+" "+string(body))
}

func dial(t *testing.T, address, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

func readResponse(t *testing.T, reader *bufio.Reader) (int, string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("read response: %v", err)
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		t.Fatalf("read body: %v", err)
	}
	return response.StatusCode, string(body)
}

func assertResponse(t *testing.T, reader *bufio.Reader, want string) {
	t.Helper()
	if _, got := readResponse(t, reader); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func assertRefused(t *testing.T, reader *bufio.Reader, want refuser.Code) {
	t.Helper()
	status, body := readResponse(t, reader)
	refusal, err := refuser.ParseProblem([]byte(body))
	if err != nil {
		t.Fatalf("parse %q: %v", body, err)
	}
	if refusal.Code != want || status != want.HTTPStatus() {
		t.Errorf("got code %d with status %d, want %d with %d", refusal.Code, status, want, want.HTTPStatus())
	}
	if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got error %v after the refusal, want the connection closed", err)
	}
}

func TestRefusedConnections(t *testing.T) {
	const host = "Host: x\r\n"
	tests := []struct {
		name      string
		text      string
		halfClose bool
		want      refuser.Code
	}{
		{name: "not HTTP", text: "\x16\x03\x01\x02", want: refuser.CodeMalformedRequest},
		{name: "version", text: "GET / HTTX\r\n" + host + "\r\n", want: refuser.CodeMalformedRequest},
		{name: "header", text: "GET / HTTP/1.1\r\nno colon\r\n\r\n", want: refuser.CodeMalformedRequest},
		{name: "header too large", text: "GET / HTTP/1.1\r\nA: " + strings.Repeat("a", 3000) + "\r\n\r\n", want: refuser.CodeRequestTooLarge},
		{name: "header without end", text: "GET / HTTP/1.1\r\nA: " + strings.Repeat("a", 9000), want: refuser.CodeRequestTooLarge},
		{name: "two lengths", text: "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", want: refuser.CodeMalformedRequest},
		{name: "bad length", text: "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", want: refuser.CodeMalformedRequest},
		{name: "body too large", text: "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", want: refuser.CodeRequestTooLarge},
		{name: "chunks too large", text: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + strings.Repeat("a", 0x800) + "\r\n801\r\n" + strings.Repeat("a", 0x801) + "\r\n", want: refuser.CodeRequestTooLarge},
		{name: "one chunk too large", text: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n" + strings.Repeat("a", 20_000), want: refuser.CodeRequestTooLarge},
		{name: "malformed chunk", text: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", want: refuser.CodeMalformedRequest},
		{name: "half-closed", text: "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc", halfClose: true, want: refuser.CodeMalformedRequest},
		{name: "slow sender", text: "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc", want: refuser.CodeRequestTimeout},
	}
	limits := Limits{MaxHeaderBytes: 2000, MaxBodyBytes: 4096, ReadTimeout: 200 * time.Millisecond}
	address, _ := start(t, &Server{Handler: http.HandlerFunc(echo), Limits: limits})
	otherConn, otherResponses := dial(t, address, "")
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conn, reader := dial(t, address, test.text)
			if test.halfClose {
				_ = conn.(*net.TCPConn).CloseWrite()
			}
			assertRefused(t, reader, test.want)
			if _, err := io.WriteString(otherConn, "GET /other HTTP/1.1\r\n"+host+"\r\n"); err != nil {
				t.Fatal(err)
			}
			assertResponse(t, otherResponses, "GET /other ")
		})
	}
}

func TestAnswersInOrder(t *testing.T) {
	address, _ := start(t, &Server{Handler: http.HandlerFunc(echo)})
	var text, chunked strings.Builder
	for i := range 5 {
		number := strconv.Itoa(i)
		text.WriteString("POST /" + number + " HTTP/1.1\r\nContent-Length: 1\r\n\r\n" + number)
		chunked.WriteString("POST /" + number + " HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n" + number + "\r\n0\r\n\r\n")
	}
	for _, requests := range []string{text.String(), chunked.String()} {
		_, reader := dial(t, address, requests)
		for i := range 5 {
			number := strconv.Itoa(i)
			assertResponse(t, reader, "POST /"+number+" "+number)
		}
	}
}

func TestLargeBodies(t *testing.T) {
	address, _ := start(t, &Server{Handler: http.HandlerFunc(echo)})
	body := strings.Repeat("0123456789", 100_000)
	response, err := http.Post("http://"+address+"/large", "text/plain", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil || string(got) != "POST /large "+body {
		t.Errorf("got %d bytes, error %v, want the body of %d bytes", len(got), err, len(body))
	}
}

func TestExpectContinue(t *testing.T) {
	address, _ := start(t, &Server{Handler: http.HandlerFunc(echo)})
	conn, reader := dial(t, address, "POST /e HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	if got, _ := readResponse(t, reader); got != http.StatusContinue {
		t.Fatalf("got status %d, want 100", got)
	}
	if _, err := io.WriteString(conn, "ab"); err != nil {
		t.Fatal(err)
	}
	assertResponse(t, reader, "POST /e ab")
}

func TestTooManyConnections(t *testing.T) {
	address, _ := start(t, &Server{Handler: http.HandlerFunc(echo), Limits: Limits{MaxConnections: 1}})
	first, responses := dial(t, address, "GET /1 HTTP/1.1\r\n\r\n")
	assertResponse(t, responses, "GET /1 ")
	_, reader := dial(t, address, "")
	assertRefused(t, reader, refuser.CodeTooManyConnections)
	if _, err := io.WriteString(first, "GET /2 HTTP/1.1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	assertResponse(t, responses, "GET /2 ")
}

func TestHandlerThatFails(t *testing.T) {
	address, _ := start(t, &Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("test") })})
	_, reader := dial(t, address, "GET / HTTP/1.1\r\n\r\n")
	if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got error %v, want the connection closed", err)
	}
}

// TestStop checks that Stop lets running requests finish and closes idle connections.
func TestStop(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	server := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(entered)
			<-release
		}
		echo(w, r)
	})}
	address, s := start(t, server)
	_, idle := dial(t, address, "GET /idle HTTP/1.1\r\n\r\n")
	assertResponse(t, idle, "GET /idle ")
	_, slow := dial(t, address, "GET /slow HTTP/1.1\r\n\r\n")
	<-entered
	stopped := &stoppingServer{server: server, err: make(chan error, 1)}
	go stopped.run()
	if err := <-s.err; err != nil {
		t.Errorf("got error %v from Serve, want none", err)
	}
	if _, err := idle.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got error %v on the idle connection, want it closed", err)
	}
	close(release)
	assertResponse(t, slow, "GET /slow ")
	if err := <-stopped.err; err != nil {
		t.Errorf("got error %v from Stop, want none", err)
	}
}

type stoppingServer struct {
	server *Server
	err    chan error
}

func (s *stoppingServer) run() { s.err <- s.server.Stop(context.Background()) }
