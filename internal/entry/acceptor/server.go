package acceptor

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/phuslu/log"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/network/bounder"
)

const (
	// acceptRetryDelay is the delay before accepting again after an error such as too many open files.
	acceptRetryDelay = 50 * time.Millisecond
	// backlogQuietTime is how long no connection may arrive during shutdown until the listener is closed, backlogTimeout bounds the time
	// until then. Closing it resets the connections that the kernel has accepted and the server hasn't.
	backlogQuietTime = 20 * time.Millisecond
	backlogTimeout   = 150 * time.Millisecond
	// stopPollInterval is the interval between checks for open connections during shutdown.
	stopPollInterval = 10 * time.Millisecond
	// endTimeout bounds the time in which the requests that have been read are answered when the server must end.
	endTimeout = 150 * time.Millisecond
	// refuseTimeout bounds the time for writing a refusal.
	refuseTimeout = 2 * time.Second
	// maxRejections bounds how many connections beyond the limit are refused at the same time. More are closed without
	// a response.
	maxRejections = 128
)

// A Server accepts connections and passes their requests to a handler. Set the fields before Serve.
type Server struct {
	// Handler is called with a context that is cancelled when the caller disconnects. Its writer is a *Writer. The
	// body must not be read after the handler has returned, since nbhttp reuses the buffers.
	Handler http.Handler
	Limits  Limits
	// Logger may be nil for log.DefaultLogger.
	Logger *log.Logger

	engine *nbhttp.Engine
	limits Limits
	// draining is true once responses tell callers to close their connections.
	draining atomic.Bool
	// idleOverride replaces Limits.IdleTimeout unless it is 0.
	idleOverride atomic.Int64
	// bodies is what the bodies of requests take up.
	bodies bounder.Budget
	// rejections is the number of connections beyond the limit that are being refused.
	rejections atomic.Int64

	mu          sync.Mutex
	listener    net.Listener
	connections map[*connection]struct{}
	stopping    bool
	// ending reports whether connections are closed at once, unless a request is handled there.
	ending bool
	// acceptUntil is when the listener is closed at the latest, valid if stopping.
	acceptUntil time.Time
	// accepting reports whether Serve runs.
	accepting bool
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// Drain makes each further response the last on its connection, so that callers look for another daemon.
func (s *Server) Drain() { s.draining.Store(true) }

// Serve accepts connections until Stop is called, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	s.start(listener)
	defer s.ended()
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			s.accept(conn)
			s.awaitBacklog(listener)
		case s.isStopping():
			for _, waiting := range takeBacklog(listener) {
				s.accept(waiting)
			}
			_ = listener.Close()
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accept on %s: %w", listener.Addr(), err)
		default:
			s.logger().Warn().Err(err).Msg("accept failed; retrying")
			time.Sleep(acceptRetryDelay)
		}
	}
}

// ServeHTTP passes a request parsed by nbhttp to the handler. Only nbhttp calls it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	response, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	c, ok := response.Parser.Conn.(*connection)
	if !ok {
		return
	}
	if s.draining.Load() {
		r.Close = true
		w.Header().Set("Connection", "close")
	}
	s.Handler.ServeHTTP(&Writer{response: response, connection: c, head: r.Method == http.MethodHead}, r.WithContext(c.ctx))
}

// SetIdleTimeout changes how long connections may wait for their next request.
func (s *Server) SetIdleTimeout(d time.Duration) { s.idleOverride.Store(int64(d)) }

// Stop does what CloseIdle does. When the context ends, it refuses the requests that have been read in part, waits for a short time until
// the handler has returned from the others, closes the remaining connections, and returns the context's error.
func (s *Server) Stop(ctx context.Context) error {
	err := s.CloseIdle(ctx)
	if err == nil {
		return nil
	}
	s.endConnections()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	if s.awaitClosed(last) == nil {
		return nil
	}
	s.closeConnections()
	return err
}

// CloseIdle drains the server, closes the listener once no connection waits there, closes idle connections, and waits until the others
// have finished their request. It returns an error if the context ends before that; further requests are handled then.
func (s *Server) CloseIdle(ctx context.Context) error {
	s.Drain()
	s.stopAccepting()
	return s.awaitClosed(ctx)
}

// awaitClosed waits until the last connection is closed.
func (s *Server) awaitClosed(ctx context.Context) error {
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for s.Connections() > 0 || s.isAccepting() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("stop with %d connections open: %w", s.Connections(), ctx.Err())
		}
	}
	return nil
}

func (s *Server) accept(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetWriteBuffer(s.limits.SendBufferBytes); err != nil {
			s.logger().Debug().Err(err).Msg("could not set the send buffer size")
		}
	}
	c := newConnection(s, conn)
	switch {
	case s.add(c):
		s.passStateTo(c)
		go c.run()
	case s.rejections.Add(1) <= maxRejections:
		go rejection{c}.run()
	default:
		s.rejections.Add(-1)
		c.abort()
	}
}

func (s *Server) add(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.connections) >= s.limits.MaxConnections {
		return false
	}
	s.connections[c] = struct{}{}
	return true
}

func (s *Server) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.connections {
		c.abort()
	}
}

// passStateTo has a new connection stop or end with the others.
func (s *Server) passStateTo(c *connection) {
	s.mu.Lock()
	stopping, ending := s.stopping, s.ending
	s.mu.Unlock()
	if stopping {
		c.stop()
	}
	if ending {
		c.end()
	}
}

// endConnections closes the connections at once, those at which a request is handled after its response.
func (s *Server) endConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = true
	for c := range s.connections {
		c.end()
	}
}

// stopAccepting has Serve end once no connection waits to be accepted.
func (s *Server) stopAccepting() {
	s.mu.Lock()
	if s.stopping {
		s.mu.Unlock()
		return
	}
	s.stopping, s.acceptUntil = true, time.Now().Add(backlogTimeout)
	listener := s.listener
	for c := range s.connections {
		c.stop()
	}
	s.mu.Unlock()
	if listener != nil {
		s.awaitBacklog(listener)
	}
}

// awaitBacklog limits the wait for the next connection if the server is stopping.
func (s *Server) awaitBacklog(listener net.Listener) {
	s.mu.Lock()
	stopping, until := s.stopping, s.acceptUntil
	s.mu.Unlock()
	if !stopping {
		return
	}
	limited, ok := listener.(interface{ SetDeadline(time.Time) error })
	if !ok || limited.SetDeadline(earliest(time.Now().Add(backlogQuietTime), until)) != nil {
		_ = listener.Close()
	}
}

// ended records the end of Serve.
func (s *Server) ended() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepting = false
}

func (s *Server) isAccepting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepting
}

func (s *Server) idleTimeout() time.Duration {
	return cmp.Or(max(time.Duration(s.idleOverride.Load()), 0), s.limits.IdleTimeout)
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *Server) logger() *log.Logger {
	if s.Logger == nil {
		return &log.DefaultLogger
	}
	return s.Logger
}

func (s *Server) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
}

// start creates the nbhttp engine, which provides the parser's settings and is never started.
func (s *Server) start(listener net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = s.Limits.withDefaults()
	s.bodies.Limit = int64(s.limits.MaxSharedBytes)
	s.listener = listener
	s.accepting = true
	s.connections = make(map[*connection]struct{})
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Handler:           s,
		ReadLimit:         s.limits.MaxBodyBytes + s.limits.MaxHeaderBytes + readBytes,
		MaxHTTPBodySize:   s.limits.MaxBodyBytes,
		ServerExecutor:    func(f func()) { f() },
		SupportServerOnly: true,
	})
	if s.stopping {
		_ = listener.Close()
	}
}

// tooManyConnections returns the refusal for a connection beyond the limit.
func (s *Server) tooManyConnections() refuser.Refusal {
	return refuser.Refusal{
		Code:       refuser.CodeTooManyConnections,
		RetryAfter: time.Second,
		Detail:     fmt.Sprintf("the daemon holds at most %d connections", s.limits.MaxConnections),
	}
}
