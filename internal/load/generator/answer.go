package generator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/standin/booker"
	"samphirewharf/internal/standin/inferrer"
)

// maxControlBytes bounds an answer that isn't part of the load: addresses, states and counts.
const maxControlBytes = 64 << 20

// maxAnswerBytes bounds how much of an answer is read.
const maxAnswerBytes = 64 << 20

// A Fault is a kind of wrong answer.
type Fault string

// The kinds of faults.
const (
	FaultWrongText           Fault = "WrongText"
	FaultWrongReceipt        Fault = "WrongReceipt"
	FaultMalformedAnswer     Fault = "MalformedAnswer"
	FaultMalformedRefusal    Fault = "MalformedRefusal"
	FaultMissingRetryAfter   Fault = "MissingRetryAfter"
	FaultIncompleteStream    Fault = "IncompleteStream"
	FaultBrokenConnection    Fault = "BrokenConnection"
	FaultNotSent             Fault = "NotSent"
	FaultBookingRanTwice     Fault = "BookingRanTwice"
	FaultBookingLost         Fault = "BookingLost"
	FaultFalseNotRun         Fault = "FalseNotRun"
	FaultAddressNotLoopback  Fault = "AddressNotLoopback"
	FaultAddressLookupFailed Fault = "AddressLookupFailed"
	FaultReceiptsDiffer      Fault = "ReceiptsDiffer"
	FaultCountsNotRead       Fault = "CountsNotRead"
)

// An answer is the result of one attempt to send a request.
type answer struct {
	// sent is true if a connection was made, so that the request may have arrived.
	sent    bool
	served  bool
	refused bool
	refusal refuser.Refusal
	receipt booker.Receipt
	fault   Fault
	detail  string
	// firstAt is when the first token arrived, or endAt if there is none; endAt is when the answer ended.
	firstAt   time.Time
	endAt     time.Time
	tokenGaps []time.Duration
}

// A message is the body of a whole answer or of one event of a stream.
type message struct {
	Choices []struct {
		Text    string               `json:"text"`
		Message inferrer.ChatMessage `json:"message"`
		Delta   inferrer.ChatMessage `json:"delta"`
	} `json:"choices"`
}

func (m message) text() string {
	if len(m.Choices) == 0 {
		return ""
	}
	c := m.Choices[0]
	return c.Text + c.Message.Content + c.Delta.Content
}

// read reads and checks the response to a request.
func (a *answer) read(r *request, response *http.Response) {
	body := io.LimitReader(response.Body, maxAnswerBytes)
	switch {
	case response.StatusCode != http.StatusOK:
		a.readRefusal(response, body)
	case r.booking:
		a.readReceipt(r, body)
	case r.stream:
		a.readStream(r, body)
	default:
		a.readWhole(r, body)
	}
	a.endAt = time.Now()
	// Callers that stop at the last byte they need close the connection. Most read to the end, so that the connection
	// is reused.
	_, _ = io.Copy(io.Discard, body)
	if a.firstAt.IsZero() {
		a.firstAt = a.endAt
	}
}

func (a *answer) fail(fault Fault, format string, args ...any) {
	a.served = false
	a.fault = fault
	a.detail = fmt.Sprintf(format, args...)
}

func (a *answer) readReceipt(r *request, body io.Reader) {
	if err := json.NewDecoder(body).Decode(&a.receipt); err != nil {
		a.fail(classifyReadError(err, FaultMalformedAnswer), "booking %s: %v", r.key, err)
		return
	}
	if a.receipt.Body != string(r.body) || a.receipt.Key != r.key {
		a.fail(FaultWrongReceipt, "booking %s got the receipt of %s", r.key, a.receipt.Key)
		return
	}
	a.served = true
}

func (a *answer) readWhole(r *request, body io.Reader) {
	var m message
	if err := json.NewDecoder(body).Decode(&m); err != nil {
		a.fail(classifyReadError(err, FaultMalformedAnswer), "request %d: %v", r.number, err)
		return
	}
	if m.text() != r.wantText {
		a.fail(FaultWrongText, "request %d got %q", r.number, m.text())
		return
	}
	a.served = true
}

// readRefusal reads a refusal and checks that its status, headers and body are complete and agree.
func (a *answer) readRefusal(response *http.Response, body io.Reader) {
	data, err := io.ReadAll(body)
	if err != nil {
		a.fail(FaultBrokenConnection, "read refusal: %v", err)
		return
	}
	a.parseRefusal(data)
	if a.fault != "" {
		return
	}
	code := a.refusal.Code
	if response.StatusCode != code.HTTPStatus() || response.Header.Get("Content-Type") != refuser.ProblemType {
		a.fail(FaultMalformedRefusal, "code %d has status %d and type %q", code, response.StatusCode, response.Header.Get("Content-Type"))
		return
	}
	if (response.Header.Get("Retry-After") != "") != (a.refusal.RetryAfter > 0) {
		a.fail(FaultMissingRetryAfter, "code %d has the Retry-After header %q, but RetryAfter is %v", code, response.Header.Get("Retry-After"), a.refusal.RetryAfter)
	}
}

// parseRefusal parses problem JSON. It checks that the members are present, since a missing one would decode as a
// valid zero.
func (a *answer) parseRefusal(data []byte) {
	var members struct {
		Code *refuser.Code
		Ran  *string
	}
	refusal, err := refuser.ParseProblem(data)
	if err == nil {
		err = json.Unmarshal(data, &members)
	}
	if err != nil || members.Code == nil || members.Ran == nil || refusal.Ran.String() != *members.Ran || !isRefusalCode(refusal.Code) {
		a.fail(FaultMalformedRefusal, "%q", data)
		return
	}
	a.refused = true
	a.refusal = refusal
}

// readStream reads server-sent events to the end of the stream.
func (a *answer) readStream(r *request, body io.Reader) {
	var text strings.Builder
	isError := false
	last := time.Time{}
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		line := lines.Bytes()
		if bytes.Equal(line, []byte("event: error")) {
			isError = true
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if isError {
			a.parseRefusal(data)
			return
		}
		if string(data) == "[DONE]" {
			a.finishStream(r, text.String())
			return
		}
		last = a.recordToken(last)
		var m message
		if err := json.Unmarshal(data, &m); err != nil {
			a.fail(FaultMalformedAnswer, "request %d: %v", r.number, err)
			return
		}
		text.WriteString(m.text())
	}
	a.fail(FaultIncompleteStream, "request %d ended after %d bytes: %v", r.number, text.Len(), lines.Err())
}

func (a *answer) finishStream(r *request, text string) {
	if text != r.wantText {
		a.fail(FaultWrongText, "stream %d got %q", r.number, text)
		return
	}
	a.served = true
}

// recordToken records the arrival of a token and returns its time.
func (a *answer) recordToken(last time.Time) time.Time {
	now := time.Now()
	if last.IsZero() {
		a.firstAt = now
	} else {
		a.tokenGaps = append(a.tokenGaps, now.Sub(last))
	}
	return now
}

// classifyReadError returns malformed for JSON that can't be decoded, and otherwise the fault of a broken
// connection.
func classifyReadError(err error, malformed Fault) Fault {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	if errors.As(err, &syntax) || errors.As(err, &kind) {
		return malformed
	}
	return FaultBrokenConnection
}

func isRefusalCode(code refuser.Code) bool {
	for _, c := range refuser.Codes() {
		if c == code {
			return c != refuser.CodeOK
		}
	}
	return false
}
