package acceptor

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// A stopLoad opens connections, each with one request, until the stop begins.
type stopLoad struct {
	address string
	// opening is held while a connection is opened, so that all are open once the stop begins.
	opening  sync.RWMutex
	stopping bool
	answered atomic.Int64
	// cut counts the requests whose connections were opened and ended without an answer.
	cut atomic.Int64
}

func (l *stopLoad) run(done *sync.WaitGroup) {
	defer done.Done()
	for {
		conn := l.open()
		if conn == nil {
			return
		}
		_ = conn.SetDeadline(time.Now().Add(waitTimeout))
		_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		answer := make([]byte, 256)
		n := 0
		if err == nil {
			n, _ = conn.Read(answer)
		}
		_ = conn.Close()
		if strings.HasPrefix(string(answer[:n]), "HTTP/1.1 ") {
			l.answered.Add(1)
		} else {
			l.cut.Add(1)
		}
	}
}

// open opens a connection, nil if the stop has begun.
func (l *stopLoad) open() net.Conn {
	l.opening.RLock()
	defer l.opening.RUnlock()
	if l.stopping {
		return nil
	}
	conn, err := net.DialTimeout("tcp", l.address, waitTimeout)
	if err != nil {
		return nil
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Thousands of connections that the kernel remembers after their end would slow down other tests.
		_ = tcp.SetLinger(0)
	}
	return conn
}

func (l *stopLoad) beginStop() {
	l.opening.Lock()
	defer l.opening.Unlock()
	l.stopping = true
}

// A planned stop answers the requests on all connections that it has accepted, also those that the kernel has accepted for it.
func TestStopUnderLoad(t *testing.T) {
	const clients = 64
	for range 5 {
		address, s := start(t, &Server{Handler: http.HandlerFunc(echo)})
		l := &stopLoad{address: address}
		var done sync.WaitGroup
		for range clients {
			done.Add(1)
			go l.run(&done)
		}
		time.Sleep(50 * time.Millisecond)
		l.beginStop()
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		if err := s.server.Stop(ctx); err != nil {
			t.Errorf("stop: %v", err)
		}
		cancel()
		done.Wait()
		if got := l.cut.Load(); got != 0 || l.answered.Load() == 0 {
			t.Errorf("got %d requests cut and %d answered, want none cut", got, l.answered.Load())
		}
	}
}
