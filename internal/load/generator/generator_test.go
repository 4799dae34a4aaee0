package generator_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/load/generator"
	"samphirewharf/internal/standin/booker"
	"samphirewharf/internal/standin/inferrer"
)

// A fakeDaemon answers like a daemon, with configurable faults.
type fakeDaemon struct {
	server *httptest.Server
	// corrupt changes the text of a correct completion; nil leaves it unchanged.
	corrupt func(text string) string
	// refusal, if not nil, is the answer to all completions.
	refusal *refuser.Refusal
	// truncateStreams makes streams end without [DONE].
	truncateStreams bool
	// runsPerBooking is the run count of each booking.
	runsPerBooking int

	mu       sync.Mutex
	lookups  int
	counts   map[string]int
	receipts map[string]booker.Receipt
}

func startFakeDaemon(t *testing.T, f *fakeDaemon) *fakeDaemon {
	t.Helper()
	f.counts = make(map[string]int)
	f.receipts = make(map[string]booker.Receipt)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", f.serveAddresses)
	mux.HandleFunc("POST /v1/", f.serveCompletion)
	mux.HandleFunc("POST /services/", f.serveBooking)
	mux.HandleFunc("GET /stand-in/counts", f.serveCounts)
	f.server = httptest.NewServer(mux)
	t.Cleanup(f.server.Close)
	return f
}

func (f *fakeDaemon) address() string { return strings.TrimPrefix(f.server.URL, "http://") }

func (f *fakeDaemon) serveAddresses(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	f.lookups++
	f.mu.Unlock()
	_, _ = fmt.Fprintf(w, `{"Addresses":[{"Address":%q}],"TimeToLiveMilliseconds":60000}`, f.address())
}

func (f *fakeDaemon) serveBooking(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	key := r.Header.Get("Idempotency-Key")
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.receipts[key]; !ok {
		f.counts[key] = f.runsPerBooking
		f.receipts[key] = booker.Receipt{Number: int64(len(f.receipts)), Key: key, Body: string(body)}
	}
	_ = json.NewEncoder(w).Encode(f.receipts[key])
}

func (f *fakeDaemon) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Model, Prompt string
		Messages      []inferrer.ChatMessage
		MaxTokens     int `json:"max_tokens"`
		Stream        bool
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if f.refusal != nil {
		f.refusal.SetHeader(w.Header())
		w.WriteHeader(f.refusal.Code.HTTPStatus())
		_, _ = w.Write(f.refusal.Problem())
		return
	}
	if len(request.Messages) > 0 {
		request.Prompt = inferrer.ChatPrompt(request.Messages)
	}
	text := inferrer.Text(request.Model, "", request.Prompt, request.MaxTokens)
	if f.corrupt != nil {
		text = f.corrupt(text)
	}
	if !request.Stream {
		_, _ = fmt.Fprintf(w, `{"choices":[{"text":%q}]}`, text)
		return
	}
	for token := range strings.SplitAfterSeq(text, " ") {
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q}]}\n\n", token)
	}
	if !f.truncateStreams {
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

func (f *fakeDaemon) serveCounts(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = json.NewEncoder(w).Encode(booker.Counts{Runs: f.counts})
}

// testSettings returns the settings of a short run against one daemon.
func testSettings(f *fakeDaemon) generator.Settings {
	return generator.Settings{
		Daemons:  []string{f.address()},
		Counters: []string{f.address()},
		Configuration: cataloger.Configuration{
			Services: []cataloger.Service{{
				Name: "bookings", Kind: cataloger.KindPlain, NonIdempotent: []cataloger.Rule{{Method: "POST", PathPrefix: "/bookings"}},
			}},
			Deployments: []cataloger.Deployment{{Name: "m", UrgentDeadline: cataloger.Duration(time.Minute)}},
		},
		Callers: 2, Rate: 2000, Requests: 60, MaxInFlight: 1000, StreamShare: 0.5, ChatShare: 0.3, BookingShare: 0.3, DuplicateShare: 0.5, Tokens: 4, Seed: 7,
	}
}

func runLoad(t *testing.T, s generator.Settings) generator.Report {
	t.Helper()
	g, err := generator.New(s)
	if err != nil {
		t.Fatal(err)
	}
	report, err := g.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// assertFaults checks that a report contains exactly the given faults.
func assertFaults(t *testing.T, report generator.Report, want ...generator.Fault) {
	t.Helper()
	var got []generator.Fault
	for _, f := range report.Faults {
		got = append(got, f.Fault)
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got faults %+v, want %v", report.Faults, want)
	}
}

func TestGeneratorRight(t *testing.T) {
	f := startFakeDaemon(t, &fakeDaemon{runsPerBooking: 1})
	report := runLoad(t, testSettings(f))
	assertFaults(t, report)
	if got := report.Served; got != report.Sent || got <= report.Due {
		t.Errorf("got %d served of %d sent, want all of more than the %d due", got, report.Sent, report.Due)
	}
	if report.BookingsCounted == 0 || report.FirstToken.Count == 0 || report.Latency.Count == 0 {
		t.Errorf("got %+v, want bookings, streams and whole answers", report)
	}
	if got, want := f.lookups, 2*2; got > want {
		t.Errorf("got %d look-ups, want at most %d, one per caller and name", got, want)
	}
	again := runLoad(t, testSettings(f))
	if got, want := again.FirstToken.Count, report.FirstToken.Count; got != want {
		t.Errorf("got %d streams with the same seed, want %d", got, want)
	}
}

func TestGeneratorFaults(t *testing.T) {
	retry := refuser.Refusal{Code: refuser.CodeQueueFull, RetryAfter: time.Millisecond}
	for _, test := range []struct {
		name  string
		fake  *fakeDaemon
		wants []generator.Fault
	}{
		{"wrong text", &fakeDaemon{runsPerBooking: 1, corrupt: strings.ToUpper}, []generator.Fault{generator.FaultWrongText}},
		{"truncated text", &fakeDaemon{runsPerBooking: 1, corrupt: func(s string) string { return s[:9] }}, []generator.Fault{generator.FaultWrongText}},
		{"truncated stream", &fakeDaemon{runsPerBooking: 1, truncateStreams: true}, []generator.Fault{generator.FaultIncompleteStream}},
		{"booking run twice", &fakeDaemon{runsPerBooking: 2}, []generator.Fault{generator.FaultBookingRanTwice}},
		{"booking lost", &fakeDaemon{runsPerBooking: 0}, []generator.Fault{generator.FaultBookingLost}},
		{"unknown code", &fakeDaemon{runsPerBooking: 1, refusal: &refuser.Refusal{Code: 9999}}, []generator.Fault{generator.FaultMalformedRefusal}},
		{"refusal", &fakeDaemon{runsPerBooking: 1, refusal: &retry}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			assertFaults(t, runLoad(t, testSettings(startFakeDaemon(t, test.fake))), test.wants...)
		})
	}
}

func TestGeneratorRetries(t *testing.T) {
	f := startFakeDaemon(t, &fakeDaemon{runsPerBooking: 1, refusal: &refuser.Refusal{Code: refuser.CodeQueueFull, RetryAfter: time.Millisecond}})
	s := testSettings(f)
	s.BookingShare = 0
	s.Retries = 2
	report := runLoad(t, s)
	if got, want := report.Retried, 2*s.Requests; got != want {
		t.Errorf("got %d retries, want %d", got, want)
	}
	if got, want := report.Refused, s.Requests; got != want {
		t.Errorf("got %d refused, want %d", got, want)
	}
}

func TestSettings(t *testing.T) {
	f := startFakeDaemon(t, &fakeDaemon{})
	for _, test := range []struct {
		name   string
		change func(s *generator.Settings)
	}{
		{"another host", func(s *generator.Settings) { s.Daemons = []string{"192.0.2.1:80"} }},
		{"host name instead of IP", func(s *generator.Settings) { s.Daemons = []string{"localhost:80"} }},
		{"engine on another host", func(s *generator.Settings) { s.Engine = "192.0.2.1:80" }},
		{"counter on another host", func(s *generator.Settings) { s.Counters = []string{"192.0.2.1:80"} }},
		{"no daemon", func(s *generator.Settings) { s.Daemons = nil }},
		{"too many requests", func(s *generator.Settings) { s.Requests = generator.MaxRequests + 1 }},
		{"too long duration", func(s *generator.Settings) { s.Duration = generator.MaxDuration + 1 }},
		{"share above 1", func(s *generator.Settings) { s.StreamShare = 1.5 }},
		{"unknown model", func(s *generator.Settings) { s.Models = []string{"other"} }},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := testSettings(f)
			test.change(&s)
			if _, got := generator.New(s); !errors.Is(got, generator.ErrInvalidSettings) {
				t.Errorf("got %v, want %v", got, generator.ErrInvalidSettings)
			}
		})
	}
}

func TestGeneratorDirect(t *testing.T) {
	e := &inferrer.Engine{MemoryBytes: 10}
	if err := e.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	s := testSettings(startFakeDaemon(t, &fakeDaemon{}))
	s.Engine, s.Daemons, s.Counters, s.BookingShare = e.Address(), nil, nil, 0
	g, err := generator.New(s)
	if err != nil {
		t.Fatal(err)
	}
	if _, got := g.Run(t.Context()); !errors.Is(got, generator.ErrNotReady) {
		t.Errorf("got %v, want %v", got, generator.ErrNotReady)
	}
	loadModel(t, e.Address())
	for !hasReadyReplica(t, e.Address()) {
		time.Sleep(time.Millisecond)
	}
	report := runLoad(t, s)
	assertFaults(t, report)
	if got, want := report.ServedDirect, s.Requests; got != want {
		t.Errorf("got %d served, want %d", got, want)
	}
	t.Run("with a daemon", func(t *testing.T) {
		s.Daemons = []string{startFakeDaemon(t, &fakeDaemon{}).address()}
		report := runLoad(t, s)
		assertFaults(t, report)
		if got, want := report.ServedDirect, s.Requests/2; got != want || report.Served != s.Requests {
			t.Errorf("got %d of %d served directly, want %d of %d", got, report.Served, want, s.Requests)
		}
	})
}

// loadModel orders the engine to load the deployment m.
func loadModel(t *testing.T, address string) {
	t.Helper()
	body, err := json.Marshal(orderer.Order{
		Kind: orderer.KindLoad, OrderID: "o", Replica: "r", Deployment: "m", Bytes: 1, MaxInFlight: 8, LoadMilliseconds: [3]int64{1, 1, 1},
	})
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post("http://"+address+"/control/orders", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if got, want := response.StatusCode, http.StatusAccepted; got != want {
		t.Fatalf("got status %d, want %d", got, want)
	}
}

// hasReadyReplica reports whether the engine has a ready replica.
func hasReadyReplica(t *testing.T, address string) bool {
	t.Helper()
	response, err := http.Get("http://" + address + "/control/state")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var report orderer.Report
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		t.Fatal(err)
	}
	return len(report.Replicas) == 1 && report.Replicas[0].State == orderer.StateReady
}
