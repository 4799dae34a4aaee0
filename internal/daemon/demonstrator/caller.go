package demonstrator

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"samphirewharf/internal/network/bounder"
)

// A caller is an HTTP client for the daemons.
type caller struct{ http http.Client }

// An answer is the response that a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	// firstByte is the time until the start of the response, total the time until its end.
	firstByte time.Duration
	total     time.Duration
	// events is the data of the server-sent events of a stream.
	events []string
}

// A request is a request to send.
type request struct {
	address string
	path    string
	body    string
	header  map[string]string
}

// A problem is the part of a refusal that the demonstration prints.
type problem struct {
	Code int
	Ran  string
}

func (a answer) problem() problem {
	var p problem
	_ = json.Unmarshal([]byte(a.body), &p)
	return p
}

// isComplete reports whether a stream ended with [DONE].
func (a answer) isComplete() bool {
	return a.status == http.StatusOK && len(a.events) > 0 && a.events[len(a.events)-1] == "[DONE]"
}

// postAll sends requests concurrently and returns their answers in the same order.
func (c *caller) postAll(ctx context.Context, requests []request) ([]answer, error) {
	batch := &batch{caller: c, ctx: ctx, answers: make([]answer, len(requests)), errs: make([]error, len(requests))}
	for i, r := range requests {
		batch.wait.Add(1)
		go batch.run(i, r)
	}
	batch.wait.Wait()
	for _, err := range batch.errs {
		if err != nil {
			return nil, err
		}
	}
	return batch.answers, nil
}

func (c *caller) get(ctx context.Context, address, path string) (answer, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return answer{}, fmt.Errorf("get %s: %w", path, err)
	}
	return c.do(r)
}

func (c *caller) post(ctx context.Context, request request) (answer, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+request.address+request.path, strings.NewReader(request.body))
	if err != nil {
		return answer{}, fmt.Errorf("post %s: %w", request.path, err)
	}
	r.Header.Set("Content-Type", "application/json")
	for name, value := range request.header {
		r.Header.Set(name, value)
	}
	return c.do(r)
}

func (c *caller) do(r *http.Request) (answer, error) {
	started := time.Now()
	response, err := c.http.Do(r)
	if err != nil {
		return answer{}, fmt.Errorf("send %s: %w", r.URL.Path, err)
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{status: response.StatusCode, header: response.Header, firstByte: time.Since(started)}
	if err := a.read(bounder.NewBody(response.Body, maxAnswerBytes)); err != nil {
		return answer{}, fmt.Errorf("read response of %s: %w", r.URL.Path, err)
	}
	a.total = time.Since(started)
	return a, nil
}

// maxAnswerBytes bounds an answer.
const maxAnswerBytes = 16 << 20

func (a *answer) read(body io.Reader) error {
	var text strings.Builder
	lines := bufio.NewScanner(io.TeeReader(body, &text))
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			a.events = append(a.events, data)
		}
	}
	a.body = text.String()
	return lines.Err()
}

// A batch is a set of requests that are sent concurrently.
type batch struct {
	caller  *caller
	ctx     context.Context //nolint:containedctx // It spans the batch.
	answers []answer
	errs    []error
	wait    sync.WaitGroup
}

// run sends one request of the batch.
func (b *batch) run(i int, r request) {
	defer b.wait.Done()
	b.answers[i], b.errs[i] = b.caller.post(b.ctx, r)
}
