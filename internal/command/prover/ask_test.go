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

// A question describes requests and their expected answers.
type question struct {
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
	// follow is the deployment whose address lookup replaces addresses; if empty, addresses stay as they are.
	follow string

	statuses []string
	codes    []string
	ran      string
	pattern  *regexp.Regexp
	// whole is whether the answer must be the complete text for the request's prompt.
	whole bool
	// broken is whether the connection may break off.
	broken bool
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
func (s *stage) ask(args []string) error {
	q, err := s.newQuestion(args)
	if err != nil {
		return err
	}
	if q.repeat {
		return errors.New("-repeat is only valid for begin")
	}
	l := s.newLoad(q)
	l.start()
	return l.wait()
}

// newQuestion parses the arguments of ask.
func (s *stage) newQuestion(args []string) (question, error) {
	if len(args) < 3 {
		return question{}, errors.New("usage: ask NAME METHOD PATH [FLAG ...]")
	}
	q := question{method: args[1], path: args[2], header: make(http.Header), count: 1}
	for name := range strings.SplitSeq(args[0], ",") {
		address, err := s.address(name)
		if err != nil {
			return question{}, err
		}
		q.addresses = append(q.addresses, address)
	}
	for rest := args[3:]; len(rest) > 0; {
		used, err := q.readFlag(rest)
		if err != nil {
			return question{}, err
		}
		rest = rest[used:]
	}
	if len(q.statuses)+len(q.codes) == 0 {
		q.statuses = []string{"200"}
	}
	return q, nil
}

// readFlag parses the first flag and returns the number of arguments that it consumed.
func (q *question) readFlag(args []string) (int, error) {
	switch args[0] {
	case "-whole":
		q.whole = true
		return 1, nil
	case "-repeat":
		q.repeat = true
		return 1, nil
	case "-broken":
		q.broken = true
		return 1, nil
	}
	if len(args) == 1 {
		return 0, fmt.Errorf("flag %s is unknown or lacks its value", args[0])
	}
	value, err := args[1], error(nil)
	switch args[0] {
	case "-n":
		_, err = fmt.Sscan(value, &q.count)
	case "-h":
		name, text, _ := strings.Cut(value, ": ")
		q.header.Set(name, text)
	case "-follow":
		q.follow = value
	case "-d":
		q.body = value
	case "-status":
		q.statuses = strings.Split(value, ",")
	case "-code":
		q.codes = strings.Split(value, ",")
	case "-ran":
		q.ran = value
	case "-body":
		q.pattern, err = regexp.Compile(value)
	default:
		err = fmt.Errorf("unknown flag %s", args[0])
	}
	return 2, err
}

// address returns the address of a process or a stand-in.
func (s *stage) address(name string) (string, error) {
	if address, ok := s.servers[name]; ok {
		return address, nil
	}
	if _, ok := s.processes[name]; ok {
		return s.script.Getenv(name), nil
	}
	return "", fmt.Errorf("no process or stand-in is named %s", name)
}

// A load sends the requests of a question.
type load struct {
	stage    *stage
	question question
	client   http.Client
	// directory is nil unless the addresses are looked up.
	directory *directory
	running   sync.WaitGroup
	// ended is closed when no more requests may be sent.
	ended chan struct{}

	mu   sync.Mutex
	done int
	errs []error
}

func (s *stage) newLoad(q question) *load {
	transport := &http.Transport{MaxIdleConnsPerHost: q.count}
	l := &load{stage: s, question: q, client: http.Client{Transport: transport}, ended: make(chan struct{})}
	if q.follow != "" {
		l.directory = &directory{load: l, addresses: q.addresses}
	}
	return l
}

// begin sends requests in the background: begin LABEL ARGUMENT..., with the arguments of ask and optionally -repeat.
func (s *stage) begin(args []string) error {
	if len(args) < 4 {
		return errors.New("usage: begin LABEL NAME METHOD PATH [FLAG ...]")
	}
	q, err := s.newQuestion(args[1:])
	if err != nil {
		return err
	}
	if s.loads[args[0]] != nil {
		return fmt.Errorf("%s has already begun", args[0])
	}
	s.loads[args[0]] = s.newLoad(q)
	s.loads[args[0]].start()
	return nil
}

// end stops the sending of requests, waits for the answers and checks them: end LABEL.
func (s *stage) end(args []string) error {
	if len(args) != 1 || s.loads[args[0]] == nil {
		return errors.New("usage: end LABEL, after begin LABEL")
	}
	l := s.loads[args[0]]
	delete(s.loads, args[0])
	close(l.ended)
	if err := l.wait(); err != nil {
		return fmt.Errorf("%s: %w", args[0], err)
	}
	s.script.Logf("%s: %d answers as expected", args[0], l.done)
	return nil
}

func (l *load) start() {
	for number := range l.question.count {
		l.running.Add(1)
		go l.run(number)
	}
}

// run sends one request, repeatedly if the question demands it, until the load is ended or a request fails.
func (l *load) run(number int) {
	defer l.running.Done()
	for round := 0; ; round++ {
		err := l.send(number + round*l.question.count)
		l.mu.Lock()
		l.done++
		if err != nil {
			l.errs = append(l.errs, err)
		}
		l.mu.Unlock()
		select {
		case <-l.ended:
			return
		default:
		}
		if err != nil || !l.question.repeat {
			return
		}
	}
}

func (l *load) wait() error {
	l.running.Wait()
	l.client.CloseIdleConnections()
	if len(l.errs) == 0 {
		return nil
	}
	return fmt.Errorf("%d of %d requests failed; the first: %w", len(l.errs), l.done, l.errs[0])
}

func (l *load) send(number int) error {
	q := &l.question
	n := fmt.Sprint(number)
	body := strings.ReplaceAll(q.body, "#N", n)
	addresses := q.addresses
	if l.directory != nil {
		var err error
		if addresses, err = l.directory.current(); err != nil {
			return err
		}
	}
	url := "http://" + addresses[number%len(addresses)] + q.path
	request, err := http.NewRequestWithContext(l.stage.ctx, q.method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	for name := range q.header {
		request.Header.Set(name, strings.ReplaceAll(q.header.Get(name), "#N", n))
	}
	a, err := l.do(request)
	if err != nil && q.broken && l.stage.ctx.Err() == nil {
		return nil
	}
	if err != nil {
		return err
	}
	if err := q.check(a); err != nil {
		return fmt.Errorf("%s %s: %w", q.method, url, err)
	}
	if q.whole {
		return l.stage.checkWhole(body, a)
	}
	return nil
}

func (l *load) do(request *http.Request) (answer, error) {
	response, err := l.client.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{status: response.StatusCode, header: response.Header}
	body, err := io.ReadAll(response.Body)
	a.body = string(body)
	return a, err
}

func (q *question) check(a answer) error {
	var problem struct {
		Code int
		Ran  string
	}
	if len(q.codes) > 0 || q.ran != "" {
		if err := json.Unmarshal([]byte(a.body), &problem); err != nil {
			return fmt.Errorf("got status %d and %q, want problem JSON", a.status, a.body)
		}
	}
	switch {
	case !among(a.status, q.statuses):
		return fmt.Errorf("got status %d with %q, want %v", a.status, a.body, q.statuses)
	case !among(problem.Code, q.codes):
		return fmt.Errorf("got code %d with %q, want %v", problem.Code, a.body, q.codes)
	case q.ran != "" && problem.Ran != q.ran:
		return fmt.Errorf("got %q, want %q", problem.Ran, q.ran)
	case q.pattern != nil && !q.pattern.MatchString(a.body):
		return fmt.Errorf("got %q, want a match of %s", a.body, q.pattern)
	}
	return nil
}

// among reports whether the number is one of the texts, or there are no texts.
func among(number int, texts []string) bool {
	for _, text := range texts {
		if text == fmt.Sprint(number) {
			return true
		}
	}
	return len(texts) == 0
}

// checkWhole fails unless the answer is the complete text for the request's prompt.
func (s *stage) checkWhole(body string, a answer) error {
	var request completionBody
	if err := json.Unmarshal([]byte(body), &request); err != nil {
		return err
	}
	// Models that are not in demo.toml have no adapters.
	deployment, adapter := request.Model, ""
	if target, ok := s.catalog.Target(request.Model); ok && target.Adapter != nil {
		deployment, adapter = target.Deployment.Name, target.Adapter.Name
	}
	want := inferrer.Text(deployment, adapter, request.Prompt, request.MaxTokens)
	got := textOf(a.body)
	if request.Stream && !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
		return fmt.Errorf("got a stream that ends in %q, want [DONE]", a.body[max(0, len(a.body)-100):])
	}
	if got != want {
		return fmt.Errorf("got the text %q, want %q", got, want)
	}
	return nil
}

// textOf returns the text of an answer or of all events of a stream.
func textOf(body string) string {
	var text strings.Builder
	for line := range strings.SplitSeq(body, "\n") {
		var event completionAnswer
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &event) == nil && len(event.Choices) == 1 {
			text.WriteString(event.Choices[0].Text)
		}
	}
	return text.String()
}
