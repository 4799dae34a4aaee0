package sender_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"samphirewharf/internal/network/bounder"
	"samphirewharf/internal/network/inspector"
	"samphirewharf/internal/network/sender"
	"samphirewharf/internal/standin/breaker"
)

// get sends a request and returns the status and the whole body of the answer.
func get(t *testing.T, s *sender.Sender, address, body string) (status int, answer string, err error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := s.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := bounder.ReadAll(response.Body, 1<<20)
	return response.StatusCode, string(data), err
}

// Guards against a part of an answer of the store, a host list or an engine that is taken for the whole.
func TestAnswersResetAmidUploads(t *testing.T) {
	status, body, err := get(t, &sender.Sender{Dial: breaker.Dial("HTTP/1.1 200 OK\r\n\r\n{}")}, "192.0.2.1:80", breaker.Upload)
	if err == nil {
		t.Errorf("got status %d and the whole body %q, want an error", status, body)
	}
}

// Guards against answers of the store, a host list or an engine that count though their heads aren't valid, and against valid ones that don't.
func TestHeadsOfAnswers(t *testing.T) {
	ask := func(t *testing.T, answer string) (body string, err error) {
		server := &breaker.Server{Answer: answer}
		if err := server.Start("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Stop)
		_, body, err = get(t, &sender.Sender{}, server.Address(), "x")
		return body, err
	}
	for name, answer := range breaker.InvalidHeads("", "{}") {
		t.Run(name, func(t *testing.T) {
			if body, err := ask(t, answer); !errors.Is(err, inspector.ErrInvalidHead) {
				t.Errorf("got body %q and error %v, want %v", body, err, inspector.ErrInvalidHead)
			}
		})
	}
	for name, answer := range breaker.ValidHeads("", "{}") {
		t.Run(name, func(t *testing.T) {
			if body, err := ask(t, answer); body != "{}" || err != nil {
				t.Errorf("got body %q and error %v, want {}", body, err)
			}
		})
	}
}

// Guards against whole answers that are lost since the server answers before it has read the upload.
func TestEarlyAnswers(t *testing.T) {
	for name, framing := range map[string]string{"with a length": "Content-Length: 2\r\n", "without a length": ""} {
		t.Run(name, func(t *testing.T) {
			read := make(chan struct{})
			server := startScriptedServer(t, func(_ *scriptedServer, conn net.Conn) {
				_, _ = io.ReadFull(conn, make([]byte, 1<<10))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+framing+"\r\n{}")
				_ = conn.(*net.TCPConn).CloseWrite()
				<-read
			})
			status, body, err := get(t, &sender.Sender{}, server.listener.Addr().String(), strings.Repeat(breaker.Upload, 100))
			close(read)
			if status != http.StatusOK || body != "{}" || err != nil {
				t.Errorf("got status %d, body %q and error %v, want 200 and {}", status, body, err)
			}
		})
	}
}
