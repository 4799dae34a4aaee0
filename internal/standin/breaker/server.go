package breaker

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// A Server answers each request with a text, whatever it is. Set the fields before calling Start.
type Server struct {
	Answer string
	// Keep has the server keep its connections open after an answer.
	Keep bool

	listener net.Listener
}

// Start listens at an address, which may have port 0.
func (s *Server) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("start stand-in: %w", err)
	}
	s.listener = listener
	go s.run()
	return nil
}

// Address returns the IP and port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop closes the listener. Connections end with their clients.
func (s *Server) Stop() { _ = s.listener.Close() }

func (s *Server) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		session := &session{server: s, conn: conn}
		go session.run()
	}
}

// A session answers the requests on one connection.
type session struct {
	server *Server
	conn   net.Conn
}

func (s *session) run() {
	defer func() { _ = s.conn.Close() }()
	reader := bufio.NewReader(s.conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if _, err := io.WriteString(s.conn, s.server.Answer); err != nil || !s.server.Keep {
			return
		}
	}
}
