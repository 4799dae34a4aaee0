// Package responder serves HTTP for the stand-ins of external systems.
// It uses net/http because the stand-ins simulate systems that are not part of the project
// and have to close single connections without an answer.
package responder

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
)

const readHeaderTimeout = 10 * time.Second

// A Server serves one handler on one TCP address. It can be stopped and started again.
// The zero value is ready to start.
type Server struct {
	mu       sync.Mutex
	server   *http.Server
	listener net.Listener
	address  string
}

// Address returns the IP and port of the last start.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Serving reports whether the server is started.
func (s *Server) Serving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server != nil
}

// Start serves the handler on an IP and port; port 0 selects a free port.
func (s *Server) Start(address string, handler http.Handler) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		return fmt.Errorf("start stand-in on %s: already started", address)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("start stand-in: %w", err)
	}
	s.listener = listener
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	go s.run(s.server, listener)
	return nil
}

// Stop closes the listener and all connections without waiting for handlers.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return
	}
	// The HTTP server closes its listener only if Serve has been called, which may not have happened yet.
	_ = s.listener.Close()
	_ = s.server.Close()
	s.server = nil
}

// run accepts connections until the server is stopped.
func (s *Server) run(server *http.Server, listener net.Listener) {
	err := server.Serve(listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		log.Error().Err(err).Str("address", listener.Addr().String()).Msg("stand-in stopped serving")
	}
}
