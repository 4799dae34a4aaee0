// Package explainer explains what happened to one request, using the log lines of several daemons.
package explainer

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// ErrUnknownRequest is returned if no log line names the request.
var ErrUnknownRequest = errors.New("no log line names the request")

// A line is one log line of a daemon. The field names are the log keys.
type line struct {
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	Request string
	// Origin is the request that began the stream which Request takes up, empty for none.
	Origin  string
	Action  string
	Reason  string
	Service string
	// Workspace is the caller's, empty for none.
	Workspace string
	Model     string
	Server    string
	Detail    string
	Other     string
	Attempt   int
	Status    int

	Score, OtherScore                    float64
	WaitedMs, LeftMs, BeliefAgeMs, AgeMs int64
	// Source is who keeps the view of the servers up to date, which was last proved ProvedMs ago.
	Source                 string
	ProvedMs               int64
	FirstMs                int64
	Configuration, Version int64
	Subject, Change        string

	// source is the text before the line's JSON, such as a host name.
	source   string
	sequence int
}

// An Explainer collects the log lines that concern one request. Set Request, call Read for each log, then call Write.
type Explainer struct {
	// Request is the request's ID, as set by the caller.
	Request string

	lines []line
	// viewChanges are the lines about changes of the daemons' view of servers and roles. Write selects those that
	// concern the request.
	viewChanges []line
	malformed   int
	lineCount   int
}

// Read reads one log. Text before a line's JSON, such as the name of the host that wrote it, is kept with the line.
func (e *Explainer) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		e.parseLine(scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

func (e *Explainer) parseLine(text string) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return
	}
	e.lineCount++
	l := line{source: strings.TrimSpace(text[:start]), sequence: e.lineCount}
	if err := json.Unmarshal([]byte(text[start:]), &l); err != nil {
		e.malformed++
		return
	}
	switch {
	case l.Message == "request" && (l.Request == e.Request || l.Origin == e.Request):
		e.lines = append(e.lines, l)
	case l.Message == "belief":
		e.viewChanges = append(e.viewChanges, l)
	}
}

// Write writes the explanation of the request.
func (e *Explainer) Write(w io.Writer) error {
	if len(e.lines) == 0 {
		return fmt.Errorf("%w: %s, in %d lines", ErrUnknownRequest, e.Request, e.lineCount)
	}
	slices.SortStableFunc(e.lines, byTime)
	var b strings.Builder
	first, last := e.lines[0], e.lines[len(e.lines)-1]
	fmt.Fprintf(&b, "Request %s, service %s%s%s, configuration %d\n",
		e.Request, first.Service, prefixed(" model ", first.Model), prefixed(", workspace ", first.Workspace), first.Configuration)
	for _, l := range e.lines {
		fmt.Fprintf(&b, "%s %s%s\n", formatTime(l), prefixed("", l.source+" "), e.takeUp(l)+describe(l))
	}
	e.writeViewChanges(&b, first, last)
	if e.malformed > 0 {
		fmt.Fprintf(&b, "%d lines could not be parsed and were left out.\n", e.malformed)
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write explanation: %w", err)
	}
	return nil
}

// viewChangeMargin is how long before and after the request view changes are included.
const viewChangeMargin = 500 * time.Millisecond

// writeViewChanges writes the changes of the daemons' view of the request's servers and model during the request.
func (e *Explainer) writeViewChanges(b *strings.Builder, first, last line) {
	from, to := first.Time.Add(-time.Duration(first.WaitedMs)*time.Millisecond-viewChangeMargin), last.Time.Add(viewChangeMargin)
	slices.SortStableFunc(e.viewChanges, byTime)
	headingWritten := false
	for _, l := range e.viewChanges {
		if l.Time.Before(from) || l.Time.After(to) || !e.concerns(l) {
			continue
		}
		if !headingWritten {
			b.WriteString("Meanwhile:\n")
			headingWritten = true
		}
		fmt.Fprintf(b, "%s %s%s: %s%s%s\n", formatTime(l), prefixed("", l.source+" "), l.Subject, l.Change, prefixed(", ", l.Reason), prefixed(", ", l.Detail))
	}
}

// concerns reports whether a view change concerns the request: its servers, its model, the role, the store or the
// configuration.
func (e *Explainer) concerns(l line) bool {
	if l.Subject == "Quota" && slices.ContainsFunc(e.lines, func(r line) bool { return strings.HasPrefix(r.Reason, "Quota") }) {
		return true
	}
	if l.Subject == "Role" || l.Subject == "Store" || l.Subject == "Configuration" {
		return true
	}
	for _, r := range e.lines {
		if r.Server != "" && strings.HasSuffix(l.Subject, r.Server) {
			return true
		}
		model, _, _ := strings.Cut(r.Model, "/")
		if name, ok := strings.CutPrefix(l.Subject, "Model "); ok && (name == model || name == r.Model) {
			return true
		}
		if model != "" && (strings.Contains(l.Detail, model) || l.Reason == model) {
			return true
		}
	}
	return false
}

// takeUp returns what a line begins with that is about a later request of the caller for the rest of the stream.
func (e *Explainer) takeUp(l line) string {
	if l.Request == e.Request {
		return ""
	}
	return "taken up by " + l.Request + ": "
}

// describe returns a description of one decision.
func describe(l line) string {
	switch l.Action {
	case "Send":
		text := fmt.Sprintf("sent to %s (attempt %d, score %.2f", l.Server, l.Attempt, l.Score)
		if l.Other != "" {
			text += fmt.Sprintf("; next best %s, %.2f", l.Other, l.OtherScore)
		}
		text += fmt.Sprintf("; the view of its state was %d ms old", l.BeliefAgeMs)
		if l.Source != "" {
			text += fmt.Sprintf(", proved %d ms before by %s", l.ProvedMs, l.Source)
		}
		return text + fmt.Sprintf(") after %d ms, %d ms left", l.WaitedMs, l.LeftMs)
	case "Queue":
		return fmt.Sprintf("waits: %s; the last message of the leader was %d ms old, %d ms left", reasonTexts[l.Reason], l.BeliefAgeMs, l.LeftMs)
	case "Refuse":
		return fmt.Sprintf("refused after %d ms: %s%s", l.WaitedMs, reasonTexts[l.Reason], prefixed("; ", l.Detail))
	case "Rejected":
		return fmt.Sprintf("%s did not run it (status %d): %s", l.Server, l.Status, reasonTexts[l.Reason])
	case "Failed":
		return fmt.Sprintf("attempt %d at %s failed after %d ms: %s%s", l.Attempt, l.Server, l.WaitedMs, reasonTexts[l.Reason], prefixed("; ", l.Detail))
	case "Answer":
		return fmt.Sprintf("answered by %s with status %d; first part after %d ms, all after %d ms", l.Server, l.Status, l.FirstMs, l.WaitedMs)
	case "CallerLeft":
		return fmt.Sprintf("the caller left after %d ms, with %d ms left", l.WaitedMs, l.LeftMs)
	case "Reject":
		return "refused before any decision: " + cmp.Or(rejectTexts[l.Reason], l.Reason) + prefixed(", ", l.Detail)
	default:
		return l.Action + prefixed(" ", l.Reason)
	}
}

// reasonTexts maps the reasons in log lines to their descriptions.
var reasonTexts = map[string]string{
	"NoServer": "the service has no server that takes requests", "Cold": "no server has the model or adapter loaded",
	"Full": "the servers that could serve it have no free capacity", "Expired": "its time limit expired before it was sent to a server",
	"Timeout": "its time limit expired while a server had it", "Broken": "the connection to the server broke off, and the request may not run again",
	"Budget":  "the server failed, and the retry budget is exhausted",
	"Poison":  "requests like it crashed the servers that ran them",
	"Leaving": "the server stopped accepting requests before this one was sent",
	"Connect": "the server accepted no connection", "Absent": "the server doesn't have the model or adapter",
	"Misdirected": "another server has the address", "Silent": "the server sent nothing for too long",
	"Invalid": "the data received was not the server's response to it", "Error": "the server answered with an error",
	"Unstated": "the server answered with a status that promises that it didn't run the request, but didn't state that",
	"Origin":   "no daemon knows which software version began the stream", "Link": "the daemon reaches no server, and no other daemon that does",
	"LinkDown": "the daemon reaches no server", "CatchingUp": "the daemon has just started and asks others what crashes servers",
	"Quota": "it exceeds the quota of its workspace", "QuotaUnknown": "no daemon that keeps the quota of its workspace answers",
	"Stopping": "the daemon is stopping", "Held": "the error response of the server, which had been buffered",
}

// rejectTexts maps result codes of requests that were refused before any decision to their descriptions, where the name of the code
// doesn't say enough.
var rejectTexts = map[string]string{
	"Unauthenticated": "Unauthenticated, it has no key, or one that no workspace of the configuration in force has",
}

func formatTime(l line) string { return l.Time.UTC().Format("15:04:05.000") }

func byTime(a, b line) int {
	if c := a.Time.Compare(b.Time); c != 0 {
		return c
	}
	return a.sequence - b.sequence
}

// prefixed returns the text with a prefix, or nothing if the text is empty.
func prefixed(prefix, text string) string {
	if strings.TrimSpace(text) == "" {
		return ""
	}
	return prefix + text
}
