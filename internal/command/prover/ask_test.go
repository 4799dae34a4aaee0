package prover_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"sync"

	"samphirewharf/internal/standin/inferrer"
)

// A requestSpec describes requests and their expected answers.
type requestSpec struct {
	// addresses receive the requests in turn.
	addresses []string
	method    string
	path      string
	header    http.Header
	body      string
	// count is how many requests are sent at once.
	count int
	// repeat is whether each request is sent again as soon as it is answered, until the command end.
	repeat bool
	// lookupDeployment is the deployment whose address lookup replaces addresses; if empty, addresses stay as they are.
	lookupDeployment string

	statuses    []string
	codes       []string
	ran         string
	bodyPattern *regexp.Regexp
	// wantWhole is whether the answer must be the complete text for the request's prompt.
	wantWhole bool
	// allowBroken is whether the connection may break off.
	allowBroken bool
}

// An answer is the response to a request.
type answer struct {
	status int
	header http.Header
	body   string
}

// A completionBody is the part of a completion request that determines its answer.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// A completionAnswer is a complete answer or one event of a stream.
type completionAnswer struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// ask sends a request, or several at once, and checks the answers:
//
//	ask NAME[,NAME...] METHOD PATH [-n COUNT] [-h 'NAME: VALUE']... [-d BODY]
//	    [-follow DEPLOYMENT] [-status STATUS[,STATUS]...] [-code CODE[,CODE]...] [-ran TEXT] [-body PATTERN] [-whole] [-broken]
//
// NAME is a process or a stand-in. -broken accepts connections that break off; -follow looks the addresses up like
// callers. Without -status and -code, the expected status is 200. #N in a header or the body is replaced by the
// request's number.
func (h *harness) ask(args []string) error {
	spec, err := h.parseRequestSpec(args)
	if err != nil {
		return err
	}
	if spec.repeat {
		return errors.New("-repeat is only valid for begin")
	}
	s := h.newSender(spec)
	s.start()
	return s.wait()
}

// parseRequestSpec parses the arguments of ask.
func (h *harness) parseRequestSpec(args []string) (requestSpec, error) {
	if len(args) < 3 {
		return requestSpec{}, errors.New("usage: ask NAME METHOD PATH [FLAG ...]")
	}
	spec := requestSpec{method: args[1], path: args[2], header: make(http.Header), count: 1}
	for name := range strings.SplitSeq(args[0], ",") {
		address, err := h.address(name)
		if err != nil {
			return requestSpec{}, err
		}
		spec.addresses = append(spec.addresses, address)
	}
	for rest := args[3:]; len(rest) > 0; {
		consumed, err := spec.readFlag(rest)
		if err != nil {
			return requestSpec{}, err
		}
		rest = rest[consumed:]
	}
	if len(spec.statuses)+len(spec.codes) == 0 {
		spec.statuses = []string{"200"}
	}
	return spec, nil
}

// readFlag parses the first flag and returns the number of arguments that it consumed.
func (spec *requestSpec) readFlag(args []string) (int, error) {
	switch args[0] {
	case "-whole":
		spec.wantWhole = true
		return 1, nil
	case "-repeat":
		spec.repeat = true
		return 1, nil
	case "-broken":
		spec.allowBroken = true
		return 1, nil
	}
	if len(args) == 1 {
		return 0, fmt.Errorf("flag %s is unknown or lacks its value", args[0])
	}
	value, err := args[1], error(nil)
	switch args[0] {
	case "-n":
		_, err = fmt.Sscan(value, &spec.count)
	case "-h":
		name, text, _ := strings.Cut(value, ": ")
		spec.header.Set(name, text)
	case "-follow":
		spec.lookupDeployment = value
	case "-d":
		spec.body = value
	case "-status":
		spec.statuses = strings.Split(value, ",")
	case "-code":
		spec.codes = strings.Split(value, ",")
	case "-ran":
		spec.ran = value
	case "-body":
		spec.bodyPattern, err = regexp.Compile(value)
	default:
		err = fmt.Errorf("unknown flag %s", args[0])
	}
	return 2, err
}

// address returns the address of a process or a stand-in.
func (h *harness) address(name string) (string, error) {
	if address, ok := h.servers[name]; ok {
		return address, nil
	}
	if _, ok := h.processes[name]; ok {
		return h.script.Getenv(name), nil
	}
	return "", fmt.Errorf("no process or stand-in is named %s", name)
}

// A sender sends the requests of a requestSpec.
type sender struct {
	harness *harness
	spec    requestSpec
	client  http.Client
	// addressCache is nil unless the addresses are looked up.
	addressCache *addressCache
	running      sync.WaitGroup
	// stop is closed when no more requests may be sent.
	stop chan struct{}

	mu   sync.Mutex
	done int
	errs []error
}

func (h *harness) newSender(spec requestSpec) *sender {
	transport := &http.Transport{MaxIdleConnsPerHost: spec.count}
	s := &sender{harness: h, spec: spec, client: http.Client{Transport: transport}, stop: make(chan struct{})}
	if spec.lookupDeployment != "" {
		s.addressCache = &addressCache{sender: s, addresses: spec.addresses}
	}
	return s
}

// begin sends requests in the background: begin LABEL ARGUMENT..., with the arguments of ask and optionally -repeat.
func (h *harness) begin(args []string) error {
	if len(args) < 4 {
		return errors.New("usage: begin LABEL NAME METHOD PATH [FLAG ...]")
	}
	spec, err := h.parseRequestSpec(args[1:])
	if err != nil {
		return err
	}
	if h.senders[args[0]] != nil {
		return fmt.Errorf("%s has already begun", args[0])
	}
	h.senders[args[0]] = h.newSender(spec)
	h.senders[args[0]].start()
	return nil
}

// end stops the sending of requests, waits for the answers and checks them: end LABEL.
func (h *harness) end(args []string) error {
	if len(args) != 1 || h.senders[args[0]] == nil {
		return errors.New("usage: end LABEL, after begin LABEL")
	}
	s := h.senders[args[0]]
	delete(h.senders, args[0])
	close(s.stop)
	if err := s.wait(); err != nil {
		return fmt.Errorf("%s: %w", args[0], err)
	}
	h.script.Logf("%s: %d answers as expected", args[0], s.done)
	return nil
}

func (s *sender) start() {
	for number := range s.spec.count {
		s.running.Add(1)
		go s.run(number)
	}
}

// run sends one request, repeatedly if the spec demands it, until the command end or a failure.
func (s *sender) run(number int) {
	defer s.running.Done()
	for round := 0; ; round++ {
		err := s.send(number + round*s.spec.count)
		s.mu.Lock()
		s.done++
		if err != nil {
			s.errs = append(s.errs, err)
		}
		s.mu.Unlock()
		select {
		case <-s.stop:
			return
		default:
		}
		if err != nil || !s.spec.repeat {
			return
		}
	}
}

func (s *sender) wait() error {
	s.running.Wait()
	s.client.CloseIdleConnections()
	if len(s.errs) == 0 {
		return nil
	}
	return fmt.Errorf("%d of %d requests failed; the first: %w", len(s.errs), s.done, s.errs[0])
}

func (s *sender) send(number int) error {
	spec := &s.spec
	n := fmt.Sprint(number)
	body := strings.ReplaceAll(spec.body, "#N", n)
	addresses := spec.addresses
	if s.addressCache != nil {
		var err error
		if addresses, err = s.addressCache.current(); err != nil {
			return err
		}
	}
	url := "http://" + addresses[number%len(addresses)] + spec.path
	request, err := http.NewRequestWithContext(s.harness.ctx, spec.method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	for name := range spec.header {
		request.Header.Set(name, strings.ReplaceAll(spec.header.Get(name), "#N", n))
	}
	a, err := s.do(request)
	if err != nil && spec.allowBroken && s.harness.ctx.Err() == nil {
		return nil
	}
	if err != nil {
		return err
	}
	if err := spec.check(a); err != nil {
		return fmt.Errorf("%s %s: %w", spec.method, url, err)
	}
	if spec.wantWhole {
		return s.harness.checkWhole(body, a)
	}
	return nil
}

func (s *sender) do(request *http.Request) (answer, error) {
	response, err := s.client.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{status: response.StatusCode, header: response.Header}
	body, err := io.ReadAll(response.Body)
	a.body = string(body)
	return a, err
}

func (spec *requestSpec) check(a answer) error {
	var problem struct {
		Code int
		Ran  string
	}
	if len(spec.codes) > 0 || spec.ran != "" {
		if err := json.Unmarshal([]byte(a.body), &problem); err != nil {
			return fmt.Errorf("got status %d and %q, want problem JSON", a.status, a.body)
		}
	}
	switch {
	case !containsNumber(a.status, spec.statuses):
		return fmt.Errorf("got status %d with %q, want %v", a.status, a.body, spec.statuses)
	case !containsNumber(problem.Code, spec.codes):
		return fmt.Errorf("got code %d with %q, want %v", problem.Code, a.body, spec.codes)
	case spec.ran != "" && problem.Ran != spec.ran:
		return fmt.Errorf("got %q, want %q", problem.Ran, spec.ran)
	case spec.bodyPattern != nil && !spec.bodyPattern.MatchString(a.body):
		return fmt.Errorf("got %q, want a match of %s", a.body, spec.bodyPattern)
	}
	return nil
}

// containsNumber reports whether the number is one of the texts, or there are no texts.
func containsNumber(number int, texts []string) bool {
	for _, text := range texts {
		if text == fmt.Sprint(number) {
			return true
		}
	}
	return len(texts) == 0
}

// checkWhole fails unless the answer is the complete text for the request's prompt.
func (h *harness) checkWhole(body string, a answer) error {
	var request completionBody
	if err := json.Unmarshal([]byte(body), &request); err != nil {
		return err
	}
	// Models that are not in demo.toml have no adapters.
	deployment, adapter := request.Model, ""
	if target, ok := h.catalog.Target(request.Model); ok && target.Adapter != nil {
		deployment, adapter = target.Deployment.Name, target.Adapter.Name
	}
	want := inferrer.Text(deployment, adapter, request.Prompt, request.MaxTokens)
	got := answerText(a.body)
	if request.Stream && !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
		return fmt.Errorf("got a stream that ends in %q, want [DONE]", a.body[max(0, len(a.body)-100):])
	}
	if got != want {
		return fmt.Errorf("got the text %q, want %q", got, want)
	}
	return nil
}

// answerText returns the text of an answer or of all events of a stream.
func answerText(body string) string {
	var text strings.Builder
	for line := range strings.SplitSeq(body, "\n") {
		var event completionAnswer
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &event) == nil && len(event.Choices) == 1 {
			text.WriteString(event.Choices[0].Text)
		}
	}
	return text.String()
}
