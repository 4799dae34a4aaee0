package inspector

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrInvalidHead is wrapped by the errors for answers whose head isn't valid.
var ErrInvalidHead = errors.New("invalid head of an answer")

// maxQuotedBytes bounds the part of a line that an error quotes.
const maxQuotedBytes = 64

// An answer checks the heads of an answer, the interim ones and the final one, as they are received. They have to follow the grammar of
// RFC 9112; where that leaves it to the recipient, lines may end with a line feed alone, and values may go on in the next line. The zero
// value is at the start of an answer.
type answer struct {
	// line is the part of a line whose end hasn't been received. Its size is bounded by http.Transport, which reads no more than
	// MaxResponseHeaderBytes.
	line []byte
	// begun reports whether the status line has been received.
	begun bool
	// complete reports whether the final head has ended.
	complete bool
	// interim reports whether another head follows.
	interim bool
	// http10 reports whether the version is HTTP/1.0, which has no transfer codings.
	http10 bool
	// named reports whether a field has been received. Framing reports whether the last one frames the body.
	named, framing bool
	// lengths and codings are the values of the fields that frame the body.
	lengths, codings []string
	// body is the number of bytes received after the final head, tail the last of them.
	body int64
	tail [3]byte
}

// read checks the next bytes of an answer up to the end of its final head, and counts those after it.
func (a *answer) read(p []byte) error {
	for !a.complete {
		part, rest, ended := bytes.Cut(p, []byte("\n"))
		if !ended {
			a.line = append(a.line, part...)
			return nil
		}
		line := part
		if len(a.line) > 0 {
			a.line = append(a.line, part...)
			line, a.line = a.line, a.line[:0]
		}
		if err := a.readLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return err
		}
		p = rest
	}
	a.readBody(p)
	return nil
}

func (a *answer) readBody(p []byte) {
	a.body += int64(len(p))
	for _, c := range p[max(0, len(p)-len(a.tail)):] {
		a.tail = [3]byte{a.tail[1], a.tail[2], c}
	}
}

// exact reports whether no more was received than the body, at its end. Answers to HEAD and those of some statuses have none, whatever
// their fields say.
func (a *answer) exact() bool {
	switch {
	case a.body == 0:
		return true
	case len(a.codings) > 0:
		// Chunks end with an empty line. Another whole answer may follow, but not a part of one.
		return a.tail == [3]byte{'\n', '\r', '\n'} || a.tail[1] == '\n' && a.tail[2] == '\n'
	case len(a.lengths) > 0:
		length, err := strconv.ParseInt(a.lengths[0], 10, 64)
		return err == nil && length == a.body
	default:
		return false
	}
}

func (a *answer) readLine(line []byte) error {
	switch {
	case !a.begun:
		a.begun = true
		return a.readStatus(line)
	case len(line) == 0:
		return a.end()
	case line[0] == ' ' || line[0] == '\t':
		return a.readContinuation(line)
	default:
		return a.readField(line)
	}
}

// readStatus checks a status line, whose reason may be missing.
func (a *answer) readStatus(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	status, reason, _ := bytes.Cut(rest, []byte(" "))
	a.http10 = string(version) == "HTTP/1.0"
	switch {
	case !a.http10 && string(version) != "HTTP/1.1":
		return invalid("version", version)
	case len(status) != 3 || !isNumber(status) || status[0] == '0' || status[0] > '5', string(status) == "101":
		// 101 answers no request, since none asks for another protocol.
		return invalid("status", status)
	case !isText(reason):
		return invalid("reason", reason)
	}
	a.interim = status[0] == '1'
	return nil
}

func (a *answer) readField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	switch {
	case !ok:
		return invalid("line without a colon", line)
	case !isToken(name):
		return invalid("name of a field", name)
	case !isText(value):
		return invalid("value of a field", line)
	}
	a.named, a.framing = true, true
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		a.lengths = append(a.lengths, string(bytes.Trim(value, " \t")))
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		a.codings = append(a.codings, string(bytes.Trim(value, " \t")))
	default:
		a.framing = false
	}
	return nil
}

// readContinuation checks a line that continues the value of the field before. Readers differ in whether they join the lines, so none of
// a field that frames the body is accepted.
func (a *answer) readContinuation(line []byte) error {
	if !a.named || a.framing || !isText(line) {
		return invalid("continuation of a field", line)
	}
	return nil
}

// end checks which fields frame the body. Readers differ in which one they go by if there are several.
func (a *answer) end() error {
	if a.interim {
		*a = answer{line: a.line}
		return nil
	}
	a.complete = true
	a.line = nil
	for _, length := range a.lengths {
		if length != a.lengths[0] || !isNumber([]byte(length)) {
			return invalid("length of the body", []byte(strings.Join(a.lengths, ", ")))
		}
	}
	codings := strings.Join(a.codings, ", ")
	switch {
	case len(a.codings) == 0:
		return nil
	case len(a.lengths) > 0:
		return invalid("length beside a transfer coding", []byte(strings.Join(a.lengths, ", ")))
	case a.http10 || !strings.EqualFold(codings, "chunked"):
		return invalid("transfer coding", []byte(codings))
	}
	return nil
}

// invalid returns the error for a part of a head. It quotes what was received, without control bytes.
func invalid(what string, received []byte) error {
	return fmt.Errorf("%w: %s %+q", ErrInvalidHead, what, received[:min(len(received), maxQuotedBytes)])
}

// isToken reports whether a text is a token of RFC 9110, which names of fields are.
func isToken(p []byte) bool {
	for _, c := range p {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !letter && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(p) > 0
}

// isText reports whether a text has no control bytes but tabs.
func isText(p []byte) bool {
	for _, c := range p {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func isNumber(p []byte) bool {
	return len(p) > 0 && !bytes.ContainsFunc(p, func(r rune) bool { return r < '0' || r > '9' })
}
