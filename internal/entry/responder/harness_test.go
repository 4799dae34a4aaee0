package responder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/entry/acceptor"
)

// waitTimeout bounds how long a test waits for a condition.
const waitTimeout = 20 * time.Second

// A harness runs a Responder with a step function instead of the reducer.
type harness struct {
	t         testing.TB
	address   string
	server    *acceptor.Server
	responder *Responder
	// step returns the effects of an event.
	step func(event reducer.Event) []reducer.Effect

	mu           sync.Mutex
	changed      *sync.Cond
	next         reducer.RequestID
	channels     map[reducer.RequestID]chan reducer.Effect
	events       []reducer.Event
	recordEvents bool
}

func newHarness(t testing.TB, step func(reducer.Event) []reducer.Effect) *harness {
	t.Helper()
	h := &harness{t: t, step: step, recordEvents: true, channels: make(map[reducer.RequestID]chan reducer.Effect)}
	h.changed = sync.NewCond(&h.mu)
	catalog := cataloger.NewCatalog(cataloger.Configuration{
		Version:     1,
		Services:    []cataloger.Service{{Name: "rezervasyon", Kind: cataloger.KindPlain}, {Name: "dil-sunucu", Kind: cataloger.KindModel}},
		Deployments: []cataloger.Deployment{{Name: "small", Service: "dil-sunucu", Adapters: []cataloger.Adapter{{Name: "dizi"}}}},
	})
	h.responder = &Responder{
		Open:         h.open,
		Close:        h.close,
		Post:         h.post,
		Catalog:      func() *cataloger.Catalog { return catalog },
		Ready:        func() bool { return true },
		WriteMetrics: func(w io.Writer) { _, _ = io.WriteString(w, "metric 1\n") },
		Daemon:       "daemon-1",
	}
	h.server = &acceptor.Server{Handler: h.responder}
	h.address = serve(t, h.server)
	return h
}

func serve(t testing.TB, server *acceptor.Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &runningServer{server: server, listener: listener, done: make(chan struct{})}
	go s.run()
	t.Cleanup(s.stop)
	return listener.Addr().String()
}

type runningServer struct {
	server   *acceptor.Server
	listener net.Listener
	done     chan struct{}
}

func (s *runningServer) run() {
	defer close(s.done)
	_ = s.server.Serve(s.listener)
}

func (s *runningServer) stop() {
	http.DefaultClient.CloseIdleConnections()
	ctx, cancel := contextWithTimeout()
	defer cancel()
	_ = s.server.Stop(ctx)
	<-s.done
}

func (h *harness) open() (reducer.RequestID, <-chan reducer.Effect) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	effects := make(chan reducer.Effect, 8)
	h.channels[h.next] = effects
	return h.next, effects
}

func (h *harness) close(id reducer.RequestID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.channels, id)
	h.changed.Broadcast()
}

func (h *harness) post(event reducer.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.recordEvents {
		h.events = append(h.events, event)
	}
	for _, effect := range h.step(event) {
		h.channels[requestOf(event)] <- effect
	}
	h.changed.Broadcast()
}

// await waits until the condition is true for the events posted so far.
func (h *harness) await(what string, condition func(events []reducer.Event) bool) {
	h.t.Helper()
	timer := time.AfterFunc(waitTimeout, h.wake)
	defer timer.Stop()
	limit := time.Now().Add(waitTimeout)
	h.mu.Lock()
	defer h.mu.Unlock()
	for !condition(h.events) {
		if time.Now().After(limit) {
			h.t.Fatalf("no %s after %s; got events %+v", what, waitTimeout, h.events)
		}
		h.changed.Wait()
	}
}

func (h *harness) wake() { h.changed.Broadcast() }

// logLines makes the responder log to the returned buffer at info level.
func (h *harness) logLines() *lineBuffer {
	lines := &lineBuffer{}
	h.responder.Logger = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: lines}}
	return lines
}

// A lineBuffer holds log lines. It may be used by several goroutines.
type lineBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write appends lines.
func (b *lineBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lineBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// awaitEnd waits for the end of an attempt and returns it.
func (h *harness) awaitEnd(attempt int) reducer.AttemptEnded {
	h.t.Helper()
	var end reducer.AttemptEnded
	h.await(fmt.Sprintf("end of attempt %d", attempt), func(events []reducer.Event) bool {
		for _, event := range events {
			if e, ok := event.(reducer.AttemptEnded); ok && e.Attempt == attempt {
				end = e
				return true
			}
		}
		return false
	})
	return end
}

func requestOf(event reducer.Event) reducer.RequestID {
	switch e := event.(type) {
	case reducer.RequestArrived:
		return e.Request
	case reducer.AddressesAsked:
		return e.Request
	case reducer.AttemptEnded:
		return e.Request
	}
	return 0
}

// dispatchTo returns a step function that sends attempt k to the k-th server and refuses the request after the last
// one.
func dispatchTo(refuse reducer.Refuse, addresses ...string) func(reducer.Event) []reducer.Effect {
	return func(event reducer.Event) []reducer.Effect {
		attempt, sent := 0, 0
		switch e := event.(type) {
		case reducer.RequestArrived:
		case reducer.AttemptEnded:
			if e.Outcome == reducer.AttemptDone || e.Outcome == reducer.AttemptCancelled {
				return nil
			}
			attempt, sent = e.Attempt, e.Tokens
		default:
			return nil
		}
		if attempt >= len(addresses) {
			return []reducer.Effect{refuse}
		}
		return []reducer.Effect{reducer.Dispatch{
			Request: requestOf(event), Attempt: attempt + 1, Server: "s" + strconv.Itoa(attempt+1), Address: addresses[attempt],
			Replica: "r1", Timeout: waitTimeout, ResumeFrom: sent, KeepAnswer: true,
		}}
	}
}

// engine starts a backend server and returns its address. It reads the body first, since net/http detects only then
// that a client disconnects.
func engine(t testing.TB, handle http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		handle(w, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// closedAddress returns an address that refuses connections. Its port stays taken, so that no other process can listen there.
func closedAddress(t testing.TB) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*syscall.SockaddrInet4).Port))
}

// streamEvents responds with numbered events after X-Resume-From up to count. If broken, it breaks off before [DONE].
func streamEvents(count int, broken bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		from := 0
		_, _ = fmt.Sscan(r.Header.Get("X-Resume-From"), &from)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := from; i < count; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: token%d\n\n", i, i)
		}
		_ = http.NewResponseController(w).Flush()
		if broken {
			abort(w)
			return
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}
}

// abort closes an engine's connection in the middle of a response.
func abort(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

func newRequest(t testing.TB, address, path, body string, headers ...string) *http.Request {
	t.Helper()
	method := http.MethodPost
	if body == "" {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

// An answer is a response that a caller received.
type answer struct {
	StatusCode int
	Header     http.Header
}

// do sends a request and returns the response and its body.
func do(t testing.TB, r *http.Request) (answer, string) {
	t.Helper()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		t.Fatalf("read body: %v", err)
	}
	return answer{response.StatusCode, response.Header}, string(body)
}

func assertEqual[T comparable](t testing.TB, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("got %s %v, want %v", what, got, want)
	}
}

func assertContains(t testing.TB, got, want string) {
	t.Helper()
	if !strings.Contains(got, want) {
		t.Errorf("got %q, want it to contain %q", got, want)
	}
}
