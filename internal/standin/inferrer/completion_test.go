package inferrer_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/standin/inferrer"
)

var errStreamIncomplete = errors.New("stream ended without the [DONE] event")

// An answer is the answer that a caller received.
type answer struct {
	status int
	notRun string
	text   string
	// ids are the IDs of the stream's events.
	ids []string
	err error
}

// A message is a whole answer or one event of a stream.
type message struct {
	Choices []struct {
		Text    string
		Message inferrer.ChatMessage
		Delta   inferrer.ChatMessage
	}
}

func (m message) text() string {
	return m.Choices[0].Text + m.Choices[0].Message.Content + m.Choices[0].Delta.Content
}

func (r *testEngine) post(ctx context.Context, path, body string, headers ...string) answer {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Address()+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.GetBody = nil
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ": ")
		request.Header.Set(name, value)
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{status: response.StatusCode, notRun: response.Header.Get("X-Not-Run")}
	switch {
	case response.StatusCode != http.StatusOK:
	case response.Header.Get("Content-Type") == "text/event-stream":
		a.readStream(response.Body)
	default:
		var m message
		a.err = json.NewDecoder(response.Body).Decode(&m)
		if a.err == nil {
			a.text = m.text()
		}
	}
	return a
}

func (a *answer) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		line := lines.Text()
		if line == "data: [DONE]" {
			return
		}
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			a.ids = append(a.ids, id)
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			var m message
			a.err = json.Unmarshal([]byte(data), &m)
			if a.err != nil {
				return
			}
			a.text += m.text()
		}
	}
	a.err = errors.Join(lines.Err(), errStreamIncomplete)
}

func assertAnswer(t *testing.T, got answer, want string) {
	t.Helper()
	if got.err != nil || got.status != http.StatusOK || got.text != want {
		t.Errorf("got %d %q, %v, want %q", got.status, got.text, got.err, want)
	}
}

func startReady(t *testing.T, e *inferrer.Engine) *testEngine {
	t.Helper()
	e.MemoryBytes = 100
	r := start(t, e)
	r.loadUntilReady(t, load("a", 60))
	return r
}

func TestEngineCompletion(t *testing.T) {
	r := startReady(t, &inferrer.Engine{})
	chat := inferrer.ChatPrompt([]inferrer.ChatMessage{{Role: "user", Content: "p"}})
	for _, test := range []struct {
		name, path, body string
		headers          []string
		want             string
	}{
		{"whole", "/v1/completions", `{"prompt":"p","max_tokens":3}`, nil, inferrer.Text("d", "", "p", 3)},
		{"stream", "/v1/completions", `{"prompt":"p","max_tokens":3,"stream":true}`, nil, inferrer.Text("d", "", "p", 3)},
		{"whole chat", "/v1/chat/completions", `{"messages":[{"role":"user","content":"p"}],"max_tokens":3}`, nil, inferrer.Text("d", "", chat, 3)},
		{"chat stream", "/v1/chat/completions", `{"messages":[{"role":"user","content":"p"}],"max_tokens":3,"stream":true}`, nil, inferrer.Text("d", "", chat, 3)},
		{
			"resumed stream", "/v1/completions", `{"prompt":"p","max_tokens":3,"stream":true}`,
			[]string{"X-Resume-From: 2"},
			inferrer.Token("d", "", "p", 3),
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			headers := append([]string{"X-Replica: a", "X-Request-Id: " + test.name}, test.headers...)
			assertAnswer(t, r.post(t.Context(), test.path, test.body, headers...), test.want)
			if got, want := r.Counts().Runs[test.name], 1; got != want {
				t.Errorf("got %d runs, want %d", got, want)
			}
		})
	}
	t.Run("a resumed stream continues the numbers of the events", func(t *testing.T) {
		got := r.post(t.Context(), "/v1/completions", `{"prompt":"p","max_tokens":4,"stream":true}`, "X-Replica: a", "X-Resume-From: 2")
		if got, want := fmt.Sprint(got.ids), "[3 4]"; got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	})
	t.Run("different prompts have different answers", func(t *testing.T) {
		if got := inferrer.Text("d", "", "q", 3); got == inferrer.Text("d", "", "p", 3) {
			t.Errorf("got the same answer %q", got)
		}
	})
	for _, headers := range [][]string{{"X-Replica: b"}, {"X-Replica: a", "X-Adapter: x"}, nil} {
		t.Run(fmt.Sprintf("not run with %v", headers), func(t *testing.T) {
			got := r.post(t.Context(), "/v1/completions", `{"prompt":"p"}`, append(headers, "X-Request-Id: refused")...)
			if got.status != http.StatusServiceUnavailable || got.notRun != "true" {
				t.Errorf("got status %d, not run %q, want 503, true", got.status, got.notRun)
			}
			if got := r.Counts().Runs["refused"]; got != 0 {
				t.Errorf("got %d runs, want 0", got)
			}
		})
	}
}

func TestEngineCutStream(t *testing.T) {
	r := startReady(t, &inferrer.Engine{})
	r.SetFaults(inferrer.Faults{CutStreamsAfter: 2})
	got := r.post(t.Context(), "/v1/completions", `{"prompt":"p","max_tokens":5,"stream":true}`, "X-Replica: a")
	if !errors.Is(got.err, io.ErrUnexpectedEOF) {
		t.Errorf("got error %v, want %v", got.err, io.ErrUnexpectedEOF)
	}
	if got, want := got.text, inferrer.Text("d", "", "p", 2); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := r.Counts().Cut, int64(1); got != want {
		t.Errorf("got %d cut, want %d", got, want)
	}
}

func TestEngineCrashMarker(t *testing.T) {
	r := startReady(t, &inferrer.Engine{RestartAfter: time.Millisecond})
	before := r.awaitReport(t, func(orderer.Report) bool { return true })
	got := r.post(t.Context(), "/v1/completions", `{"prompt":"x CRASH-SERVER y"}`, "X-Replica: a", "X-Request-Id: k")
	if got.err == nil {
		t.Errorf("got status %d, want an error", got.status)
	}
	after := r.awaitReport(t, func(orderer.Report) bool { return true })
	if after.Instance == before.Instance || len(after.Replicas) != 0 {
		t.Errorf("got instance %s with %d replicas, want another with none", after.Instance, len(after.Replicas))
	}
	counts := r.Counts()
	if got, want := [2]int64{counts.Crashes, int64(counts.Runs["k"])}, [2]int64{1, 1}; got != want {
		t.Errorf("got crashes and runs %v, want %v", got, want)
	}
}

// A caller sends one request and delivers the answer on a channel.
type caller struct {
	engine  *testEngine
	headers []string
	answers chan answer
}

func (c *caller) run(ctx context.Context) {
	c.answers <- c.engine.post(ctx, "/v1/completions", `{"prompt":"p","max_tokens":1}`, c.headers...)
}

func (r *testEngine) call(ctx context.Context, headers ...string) *caller {
	c := &caller{r, append(headers, "X-Replica: a"), make(chan answer, 1)}
	go c.run(ctx)
	return c
}

// awaitRuns waits until one of the requests has started to run.
func (r *testEngine) awaitRuns(ids ...string) {
	for {
		runs := r.Counts().Runs
		for _, id := range ids {
			if runs[id] > 0 {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
}

func hasLoad(running, waiting int) func(orderer.Report) bool {
	return func(report orderer.Report) bool {
		return report.Replicas[0].Running == running && report.Replicas[0].Waiting == waiting
	}
}

func TestEngineBatching(t *testing.T) {
	t.Run("a disconnected caller is counted and frees its slot", func(t *testing.T) {
		r := startReady(t, &inferrer.Engine{TokenInterval: time.Hour})
		ctx, cancel := context.WithCancel(t.Context())
		c := r.call(ctx)
		r.awaitReport(t, hasLoad(1, 0))
		cancel()
		<-c.answers
		r.awaitReport(t, hasLoad(0, 0))
		if got, want := r.Counts().Cancelled, int64(1); got != want {
			t.Errorf("got %d cancelled, want %d", got, want)
		}
	})
	t.Run("urgent requests run first", func(t *testing.T) {
		r := startReady(t, &inferrer.Engine{TokenInterval: time.Hour})
		ctx, cancel := context.WithCancel(t.Context())
		r.call(ctx, "X-Request-Id: first")
		r.awaitReport(t, hasLoad(1, 0))
		r.call(t.Context(), "X-Request-Id: later", "Priority: u=5")
		r.awaitReport(t, hasLoad(1, 1))
		r.call(t.Context(), "X-Request-Id: urgent", "Priority: u=1")
		r.awaitReport(t, hasLoad(1, 2))
		cancel()
		r.awaitRuns("urgent", "later")
		if runs := r.Counts().Runs; runs["urgent"] != 1 || runs["later"] != 0 {
			t.Errorf("got runs %v, want urgent only", runs)
		}
	})
	t.Run("an unload lets requests finish and refuses new ones", func(t *testing.T) {
		r := startReady(t, &inferrer.Engine{PromptTime: time.Hour})
		ctx, cancel := context.WithCancel(t.Context())
		r.call(ctx, "X-Prefix-Hash: 10")
		r.awaitReport(t, hasLoad(1, 0))
		waiting := r.call(t.Context(), "X-Prefix-Hash: 10")
		r.awaitReport(t, hasLoad(1, 1))
		r.sendOrder(t, orderer.Order{Kind: orderer.KindUnload, Replica: "a"}, orderer.OutcomeAccepted)
		if got, want := r.post(t.Context(), "/v1/completions", `{}`, "X-Replica: a").notRun, "true"; got != want {
			t.Errorf("got not run %q, want %q", got, want)
		}
		r.awaitReport(t, hasLoad(1, 1))
		// The running request is cancelled; the other one has its prompt cached and finishes at once.
		cancel()
		assertAnswer(t, <-waiting.answers, inferrer.Text("d", "", "p", 1))
		r.awaitReport(t, hasNoReplicas)
	})
	t.Run("load figures are reported late", func(t *testing.T) {
		r := startReady(t, &inferrer.Engine{TokenInterval: time.Hour, ReportLag: time.Hour})
		r.call(t.Context(), "X-Request-Id: k")
		r.awaitRuns("k")
		report := r.awaitReport(t, func(orderer.Report) bool { return true })
		if !hasLoad(0, 0)(report) {
			t.Errorf("got load %v, want none yet", report.Replicas[0])
		}
	})
}

func TestEngineCacheEvents(t *testing.T) {
	for _, test := range []struct {
		name   string
		engine *inferrer.Engine
		want   string
	}{
		{"all events", &inferrer.Engine{PrefixCacheSize: 1}, "[{1 a 10 true} {2 a 11 true} {3 a 10 false}]"},
		{"lost events", &inferrer.Engine{EventLossShare: 1}, "[]"},
		{"late events", &inferrer.Engine{EventDelay: time.Hour}, "[]"},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := startReady(t, test.engine)
			got := r.post(t.Context(), "/v1/completions", `{"prompt":"p","max_tokens":1}`, "X-Replica: a", "X-Prefix-Hash: 10, 11")
			assertAnswer(t, got, inferrer.Text("d", "", "p", 1))
			report := r.awaitReport(t, func(orderer.Report) bool { return true })
			if got := fmt.Sprint(report.CacheEvents); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}
