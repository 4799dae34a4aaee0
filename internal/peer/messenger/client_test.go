package messenger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/network/bounder"
)

// A countingListener counts the bytes that all its connections read and write.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{conn, &l.bytes}, err
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

func startServer(t testing.TB, s *Server) (string, *countingListener) {
	t.Helper()
	server := httptest.NewUnstartedServer(s.Handler())
	listener := &countingListener{Listener: server.Listener}
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), listener
}

func heartbeatMessage(inFlight int) Message {
	return Message{
		From: "marmara-a-1", Instance: "0190b5c4-7c1e-7a53", Address: "10.20.30.40:8080", Zone: "marmara-a",
		Heartbeat: &Heartbeat{ConfigurationVersion: 8500, Placements: map[string]int64{"dil-sunucu": 123456}, InFlight: inFlight},
	}
}

func reportsMessage(servers int) Message {
	m := heartbeatMessage(1)
	m.Heartbeat = nil
	for i := range servers {
		report := orderer.Report{Instance: "0190b5c4", Sequence: 5000, Fence: 17, MemoryBytes: 80 << 30, UsedBytes: 60 << 30, CheckpointsVersion: 40}
		for j := range 3 {
			report.Replicas = append(report.Replicas, orderer.ReplicaReport{
				Replica: fmt.Sprintf("r-%d", 100*i+j), Deployment: fmt.Sprintf("model-%d", j), ModelVersion: "3",
				State: orderer.StateReady, Bytes: 20 << 30, Running: 4, Waiting: 1, Adapters: []string{"dizi", "film"},
			})
		}
		m.Reports = append(m.Reports, ServerReport{Server: fmt.Sprintf("server-%d", i), Age: time.Second, Report: report})
	}
	return m
}

func TestSend(t *testing.T) {
	received := make(chan Message)
	address, _ := startServer(t, &Server{Receive: func(m Message) { received <- m }})
	client := &Client{Timeout: time.Minute, QueueLimit: 2}
	ctx := context.Background()
	assertSent(t, client.Send(ctx, address, reportsMessage(1)))
	awaitQueue(t, client, address, 0)
	assertSent(t, client.Send(ctx, address, heartbeatMessage(1)))
	assertSent(t, client.Send(ctx, address, reportsMessage(2)))
	assertSent(t, client.Send(ctx, address, heartbeatMessage(2)))
	assertSent(t, client.Send(ctx, address, reportsMessage(3)))
	placement := Message{Placement: &Placement{Cell: "dil-sunucu", Revision: 1}}
	if err := client.Send(ctx, address, placement); !errors.Is(err, ErrQueueFull) {
		t.Errorf("got error %v, want %v", err, ErrQueueFull)
	}
	if err := client.Send(ctx, address, reportsMessage(maxMergedReports)); !errors.Is(err, ErrQueueFull) {
		t.Errorf("got error %v for reports that can't be merged into the last message, want %v", err, ErrQueueFull)
	}
	assertReports(t, <-received, 1)
	if got := (<-received).Heartbeat.InFlight; got != 2 {
		t.Errorf("got heartbeat %d, want the newest, 2", got)
	}
	assertReports(t, <-received, 2+3)
}

func TestSendJoinsOnlyReports(t *testing.T) {
	received := make(chan Message)
	address, _ := startServer(t, &Server{Receive: func(m Message) { received <- m }})
	client := &Client{Timeout: time.Minute}
	ctx := context.Background()
	assertSent(t, client.Send(ctx, address, reportsMessage(1)))
	awaitQueue(t, client, address, 0)
	needs := reportsMessage(2)
	needs.Needs = &Needs{Cell: "dil-sunucu"}
	assertSent(t, client.Send(ctx, address, needs))
	assertSent(t, client.Send(ctx, address, reportsMessage(3)))
	for _, want := range []int{1, 2, 3} {
		assertReports(t, <-received, want)
	}
}

func TestSendToDeadDaemon(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	client := &Client{}
	assertSent(t, client.Send(context.Background(), address, heartbeatMessage(1)))
	awaitNoPeer(client, address)
}

// awaitNoPeer waits until all messages to a daemon were sent or dropped.
func awaitNoPeer(client *Client, address string) {
	for hasPeer := true; hasPeer; time.Sleep(time.Millisecond) {
		client.mu.Lock()
		_, hasPeer = client.peers[address]
		client.mu.Unlock()
	}
}

func TestFetchConfiguration(t *testing.T) {
	address, _ := startServer(t, &Server{Configuration: func(haveVersion int64) (int64, [][]byte) {
		if haveVersion >= 7 {
			return 7, nil
		}
		return 7, [][]byte{[]byte("a"), []byte("b")}
	}})
	tests := []struct {
		have int64
		want string
	}{{have: 6, want: "[a b]"}, {have: 7, want: "[]"}}
	for _, test := range tests {
		version, chunks, err := (&Client{}).FetchConfiguration(context.Background(), address, test.have)
		if err != nil || version != 7 {
			t.Errorf("got version %d, error %v, want 7", version, err)
		}
		if got := fmt.Sprintf("%s", chunks); got != test.want {
			t.Errorf("got chunks %s, want %s", got, test.want)
		}
	}
}

// BenchmarkWire reports the bytes of one message on the wire, including HTTP and the answer, excluding TCP/IP.
func BenchmarkWire(b *testing.B) {
	tests := []struct {
		name    string
		message Message
	}{{"heartbeat", heartbeatMessage(40)}, {"reports of 7 servers", reportsMessage(7)}}
	for _, test := range tests {
		b.Run(test.name, func(b *testing.B) {
			address, listener := startServer(b, &Server{Receive: func(Message) {}})
			messenger := (&Client{}).messenger(address)
			for b.Loop() {
				if _, err := messenger.Deliver(context.Background(), test.message.Envelope()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(listener.bytes.Load())/float64(b.N), "wire-B/op")
		})
	}
}

func assertReports(t *testing.T, m Message, want int) {
	t.Helper()
	if got := len(m.Reports); got != want {
		t.Errorf("got %d reports, want %d", got, want)
	}
}

func assertSent(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Errorf("got error %v, want none", err)
	}
}

// awaitQueue waits until the queue of the peer has the given length.
func awaitQueue(t *testing.T, c *Client, address string, want int) {
	t.Helper()
	for got := -1; got != want; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		got = len(c.peers[address].queue)
		c.mu.Unlock()
	}
}

func TestEndlessAnswerOfDaemon(t *testing.T) {
	var written atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		part := make([]byte, 64<<10)
		for {
			n, err := w.Write(part)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	client := &Client{}
	_, _, err := client.FetchConfiguration(t.Context(), strings.TrimPrefix(server.URL, "http://"), 0)
	server.Close()
	if !errors.Is(err, bounder.ErrTooLarge) {
		t.Errorf("got %v, want %v", err, bounder.ErrTooLarge)
	}
	if got, want := written.Load(), int64(4*maxAnswerBytes); got > want {
		t.Errorf("got %d bytes sent, want at most %d", got, want)
	}
}

// TestSilentConnectionToDaemon checks that messages arrive again soon after a connection has gone silent for good.
func TestSilentConnectionToDaemon(t *testing.T) {
	received := make(chan Message, 16)
	var silent atomic.Bool
	var silentConn atomic.Value
	handler := (&Server{Receive: func(m Message) { received <- m }}).Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if silent.Load() && silentConn.Load() == r.RemoteAddr {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		silentConn.CompareAndSwap(nil, r.RemoteAddr)
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	client := &Client{}
	address := strings.TrimPrefix(server.URL, "http://")
	assertSent(t, client.Send(t.Context(), address, heartbeatMessage(1)))
	<-received
	awaitNoPeer(client, address)
	silent.Store(true)
	start := time.Now()
	for n := 2; ; n++ {
		assertSent(t, client.Send(t.Context(), address, heartbeatMessage(n)))
		select {
		case <-received:
			if got, want := time.Since(start), 2*DefaultTimeout; got > want {
				t.Errorf("got a message after %v, want one within %v", got, want)
			}
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}
