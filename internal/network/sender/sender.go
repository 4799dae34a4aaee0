// Package sender sends HTTP requests at most once and tells whether any byte of one left the process.
// It uses net/http because the client of nbhttp buffers whole answers and so can't stream, and because
// it does not show when a request begins to leave.
package sender

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"samphirewharf/internal/network/dialer"
)

const (
	defaultDialTimeout = 2 * time.Second
	defaultIdleTimeout = 30 * time.Second
	maxIdlePerAddress  = 64
)

// ErrNotSent is wrapped by errors of requests of which no byte left the process.
var ErrNotSent = errors.New("not sent")

// A Sender sends requests over pooled HTTP/1.1 connections. The zero value is ready to use.
// A connection whose request failed or was cancelled is never used again.
type Sender struct {
	// DialTimeout bounds connecting; zero means two seconds.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept; zero means 30 seconds.
	IdleTimeout time.Duration

	once      sync.Once
	transport *http.Transport
}

// Close closes idle connections.
func (s *Sender) Close() {
	s.once.Do(s.start)
	s.transport.CloseIdleConnections()
}

// Do sends the request once. The error wraps ErrNotSent if and only if provably no byte of the request
// left the process, now or later. After any other error the request may have been received.
func (s *Sender) Do(r *http.Request) (*http.Response, error) {
	s.once.Do(s.start)
	if err := r.Context().Err(); err != nil {
		return nil, fmt.Errorf("%s %s: %w: %w", r.Method, r.URL, ErrNotSent, err)
	}
	var use connUse
	trace := &httptrace.ClientTrace{GotConn: use.gotConn}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	// Without GetBody the transport can't send a body a second time over another connection.
	r.GetBody = nil
	response, err := s.transport.RoundTrip(r)
	if err == nil {
		return response, nil
	}
	if use.seal() {
		return nil, fmt.Errorf("%s %s: %w: %w", r.Method, r.URL, ErrNotSent, err)
	}
	return nil, fmt.Errorf("%s %s: %w", r.Method, r.URL, err)
}

func (s *Sender) start() {
	tracker := trackingDialer{dialer: dialer.Dialer{Timeout: cmp.Or(s.DialTimeout, defaultDialTimeout)}}
	s.transport = &http.Transport{
		DialContext:         tracker.dial,
		DisableCompression:  true,
		IdleConnTimeout:     cmp.Or(s.IdleTimeout, defaultIdleTimeout),
		MaxIdleConnsPerHost: maxIdlePerAddress,
	}
}
