package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// host is the host of all routes.
const host = "caller.example"

// lastID numbers the requests.
var lastID atomic.Int64

// A request is one client attempt.
type request struct {
	id     string
	method string
	path   string
	body   string
	// deadline is how long the client waits.
	deadline time.Duration
	// header holds further lines of the header, each with its end.
	header string
}

func newRequest(path string, deadline time.Duration) request {
	return request{id: fmt.Sprintf("%016x", lastID.Add(1)), method: http.MethodPost, path: path, body: "{}", deadline: deadline}
}

// A result is what the client got.
type result struct {
	status int
	header http.Header
	body   string
	// err is why there is no complete answer.
	err error
}

func (r result) String() string {
	if r.err != nil {
		return fmt.Sprintf("no complete answer (status %d, %d bytes): %v", r.status, len(r.body), r.err)
	}
	return fmt.Sprintf("%d %q", r.status, r.body[:min(len(r.body), 40)])
}

// A connection is a client's connection to a daemon, which it keeps for several requests.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// last reports whether the daemon has asked to close it.
	last bool
}

func connect(m machine) (*connection, error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, m.front), time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// send sends a request and reads its answer.
func (c *connection) send(r request) result {
	_ = c.SetDeadline(time.Now().Add(r.deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s", r.method, r.path, host, r.id, r.deadline.Milliseconds(), r.header)
	if r.body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	if _, err := io.Copy(c, strings.NewReader(head+"\r\n"+r.body)); err != nil {
		return result{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	c.last = response.Close
	return result{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// isTimeout reports whether the client gave up at its deadline.
func (r result) isTimeout() bool {
	var timeout net.Error
	return errors.As(r.err, &timeout) && timeout.Timeout()
}

// sendOnce sends a request over a connection of its own.
func sendOnce(m machine, r request) result {
	c, err := connect(m)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = c.Close() }()
	return c.send(r)
}
