package inferrer

import (
	"net/http"
	"strconv"
	"strings"

	"samphirewharf/internal/standin/responder"
)

const (
	// CrashMarker in a prompt makes the engine crash when it runs the prompt.
	CrashMarker = "CRASH-SERVER"

	defaultMaxTokens = 16
	// defaultUrgency is the default of the Priority header's standard.
	defaultUrgency = 3
)

// Headers of requests and answers.
const (
	headerAdapter    = "X-Adapter"
	headerNotRun     = "X-Not-Run"
	headerPrefixes   = "X-Prefix-Hash"
	headerPriority   = "Priority"
	headerReplica    = "X-Replica"
	headerRequestID  = "X-Request-Id"
	headerResumeFrom = "X-Resume-From"
	headerServer     = "X-Server"
)

// A ChatMessage is one message of a chat request.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// A completionRequest is the body of /v1/completions and /v1/chat/completions.
type completionRequest struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []ChatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// A completion is one request that is being served.
type completion struct {
	instance *instance
	replica  *replica
	request  completionRequest
	chat     bool
	prompt   string
	adapter  string
	id       string
	// resumeFrom is the number of stream events that the caller has received already.
	resumeFrom int
	// cut reports whether the faults ended the stream.
	cut bool
}

func (e *Engine) serveChatCompletion(w http.ResponseWriter, r *http.Request) {
	e.complete(w, r, true)
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	e.complete(w, r, false)
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	inst := e.instance(w)
	c := &completion{instance: inst, chat: chat, adapter: r.Header.Get(headerAdapter), id: r.Header.Get(headerRequestID)}
	if inst == nil || !responder.ReadJSON(w, r, &c.request) {
		return
	}
	if !inst.waitForFaults(r.Context().Done(), callDelay) {
		responder.Drop(w)
		return
	}
	c.prompt = c.request.Prompt
	if chat {
		c.prompt = ChatPrompt(c.request.Messages)
	}
	if c.request.MaxTokens <= 0 {
		c.request.MaxTokens = defaultMaxTokens
	}
	// A missing or malformed number means that the caller has received nothing.
	c.resumeFrom, _ = strconv.Atoi(r.Header.Get(headerResumeFrom))
	waiting, ok := c.admit(r)
	if !ok {
		w.Header().Set(headerNotRun, "true")
		responder.WriteJSON(w, http.StatusServiceUnavailable, errorAnswer{errorDetail{"replica is not ready"}})
		return
	}
	defer c.release(waiting)
	select {
	case <-waiting.admitted:
		c.run(w, r)
	case <-r.Context().Done():
		c.countEnd(false)
	case <-inst.ctx.Done():
	}
}

// admit finds the replica and queues the request. It returns false if the replica or adapter is not ready.
func (c *completion) admit(r *http.Request) (*waiter, bool) {
	e := c.instance.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	replica, ok := c.instance.find(r.Header.Get(headerReplica))
	if ok && c.adapter != "" {
		slot := replica.adapters[c.adapter]
		ok = slot != nil && slot.ready
	}
	if !ok {
		e.counts.NotRun++
		return nil, false
	}
	c.replica = replica
	return replica.admit(urgency(r)), true
}

// countCut counts a cut stream. It is called before the caller can notice the cut.
func (c *completion) countCut() {
	c.instance.engine.mu.Lock()
	defer c.instance.engine.mu.Unlock()
	c.cut = true
	c.instance.engine.counts.Cut++
}

// countEnd counts the outcome of the request, unless the instance ended first.
func (c *completion) countEnd(ok bool) {
	counts := &c.instance.engine.counts
	c.instance.engine.mu.Lock()
	defer c.instance.engine.mu.Unlock()
	switch {
	case ok:
		counts.Completed++
	case !c.cut && c.instance.ctx.Err() == nil:
		counts.Cancelled++
	}
}

func (c *completion) release(w *waiter) {
	c.instance.engine.mu.Lock()
	defer c.instance.engine.mu.Unlock()
	c.replica.release(w)
}

// run serves an admitted request.
func (c *completion) run(w http.ResponseWriter, r *http.Request) {
	e := c.instance.engine
	uncached := c.startRun(prefixes(r))
	if strings.Contains(c.prompt, CrashMarker) {
		c.instance.crash()
		return
	}
	w.Header().Set(headerRequestID, c.id)
	w.Header().Set(headerReplica, c.replica.order.Replica)
	w.Header().Set(headerServer, e.Server)
	ok := c.instance.sleep(r.Context().Done(), scaleDuration(e.PromptTime, uncached))
	if ok && c.request.Stream {
		ok = c.stream(w, r)
	} else if ok {
		ok = c.answer(w, r)
	}
	c.countEnd(ok)
}

// startRun counts the run and returns the share of the prompt that was not cached.
func (c *completion) startRun(prefixes []uint64) float64 {
	e := c.instance.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Runs[c.id]++
	return c.replica.cachePrompt(prefixes)
}

// prefixes returns the prefix hashes of a request: decimal, separated by commas, shortest first.
func prefixes(r *http.Request) []uint64 {
	var hashes []uint64
	for text := range strings.SplitSeq(r.Header.Get(headerPrefixes), ",") {
		hash, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
		if err == nil {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}

// urgency returns the urgency of the Priority header, such as "u=1"; requests with a lower one go first.
func urgency(r *http.Request) int {
	for field := range strings.SplitSeq(r.Header.Get(headerPriority), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "u=")
		if !ok {
			continue
		}
		if u, err := strconv.Atoi(value); err == nil {
			return u
		}
	}
	return defaultUrgency
}
