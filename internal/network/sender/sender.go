// Package sender sends HTTP requests at most once and reports whether any byte of a failed request was sent. It uses
// net/http because the client of nbhttp buffers complete responses, so that it can't stream, and doesn't report when
// it starts sending a request.
package sender

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"samphirewharf/internal/network/bounder"
	"samphirewharf/internal/network/dialer"
	"samphirewharf/internal/network/inspector"
)

const (
	defaultDialTimeout = 2 * time.Second
	defaultIdleTimeout = 30 * time.Second
	maxIdlePerAddress  = 64
	// maxAnswerBytes bounds the body of a response.
	maxAnswerBytes = 16 << 20
)

// ErrNotSent is wrapped by the error of a request of which no byte was sent.
var ErrNotSent = errors.New("not sent")

// A Sender sends requests over pooled HTTP/1.1 connections. The zero value is ready to use. A connection whose request
// failed or was cancelled is not reused.
type Sender struct {
	// DialTimeout bounds the time for opening a connection; zero means two seconds.
	DialTimeout time.Duration
	// Dial opens connections; nil means by TCP, within DialTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// IdleTimeout is how long an idle connection stays open; zero means 30 seconds.
	IdleTimeout time.Duration
	// NewConnections has each request use a connection of its own.
	NewConnections bool

	once      sync.Once
	transport *inspector.Transport
}

// Close closes idle connections.
func (s *Sender) Close() {
	s.once.Do(s.initTransport)
	s.transport.CloseIdleConnections()
}

// Do sends the request once. A response has at most maxAnswerBytes. The error wraps ErrNotSent if and only if it is certain that no byte of the request was
// or will be sent. After any other error the request may have been received.
func (s *Sender) Do(r *http.Request) (*http.Response, error) {
	response, err := s.Stream(r, maxAnswerBytes)
	if err == nil && response.ContentLength > maxAnswerBytes {
		_ = response.Body.Close()
		return nil, fmt.Errorf("%s %s: body of %d bytes: %w", r.Method, r.URL, response.ContentLength, bounder.ErrTooLarge)
	}
	return response, err
}

// Stream sends the request once as Do does. The response's body is a *bounder.Body with the given limit, which the caller resets
// after each message of a body without end.
func (s *Sender) Stream(r *http.Request, limit int64) (*http.Response, error) {
	s.once.Do(s.initTransport)
	if err := r.Context().Err(); err != nil {
		return nil, fmt.Errorf("%s %s: %w: %w", r.Method, r.URL, ErrNotSent, err)
	}
	var use connUse
	// Without GetBody the transport can't send a body again over another connection.
	r = r.WithContext(r.Context())
	r.GetBody = nil
	response, err := s.transport.Send(r, use.gotConn)
	if err == nil {
		response.Body = bounder.NewBody(response.Body, limit)
		return response, nil
	}
	if use.seal() {
		return nil, fmt.Errorf("%s %s: %w: %w", r.Method, r.URL, ErrNotSent, err)
	}
	return nil, fmt.Errorf("%s %s: %w", r.Method, r.URL, err)
}

func (s *Sender) initTransport() {
	dial := s.Dial
	if dial == nil {
		dial = dialer.Dialer{Timeout: cmp.Or(s.DialTimeout, defaultDialTimeout)}.Dial
	}
	s.transport = inspector.NewTransport(&http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		DisableKeepAlives:      s.NewConnections,
		MaxResponseHeaderBytes: bounder.MaxHeaderBytes,
		IdleConnTimeout:        cmp.Or(s.IdleTimeout, defaultIdleTimeout),
		MaxIdleConnsPerHost:    maxIdlePerAddress,
	})
}
