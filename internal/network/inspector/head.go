package inspector

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// ErrInvalidHead is wrapped by the errors for answers whose head isn't valid.
var ErrInvalidHead = errors.New("invalid head of an answer")

// maxQuotedBytes bounds the part of a line that an error quotes.
const maxQuotedBytes = 64

// A head checks the heads of an answer, the interim ones and the final one, as they are received. They have to follow the grammar of RFC
// 9112; where that leaves it to the recipient, lines may end with a line feed alone, and values may go on in the next line. The zero value
// is at the start of an answer.
type head struct {
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
}

// read checks the next bytes of an answer up to the end of its final head.
func (h *head) read(p []byte) error {
	for !h.complete {
		part, rest, ended := bytes.Cut(p, []byte("\n"))
		if !ended {
			h.line = append(h.line, part...)
			return nil
		}
		line := part
		if len(h.line) > 0 {
			h.line = append(h.line, part...)
			line, h.line = h.line, h.line[:0]
		}
		if err := h.readLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return err
		}
		p = rest
	}
	return nil
}

func (h *head) readLine(line []byte) error {
	switch {
	case !h.begun:
		h.begun = true
		return h.readStatus(line)
	case len(line) == 0:
		return h.end()
	case line[0] == ' ' || line[0] == '\t':
		return h.readContinuation(line)
	default:
		return h.readField(line)
	}
}

// readStatus checks a status line, whose reason may be missing.
func (h *head) readStatus(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	status, reason, _ := bytes.Cut(rest, []byte(" "))
	h.http10 = string(version) == "HTTP/1.0"
	switch {
	case !h.http10 && string(version) != "HTTP/1.1":
		return invalid("version", version)
	case len(status) != 3 || !isNumber(status) || status[0] == '0':
		return invalid("status", status)
	case string(status) == "101":
		// It answers no request, since none asks for another protocol.
		return invalid("status", status)
	case !isText(reason):
		return invalid("reason", reason)
	}
	h.interim = status[0] == '1'
	return nil
}

func (h *head) readField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	switch {
	case !ok:
		return invalid("line without a colon", line)
	case !isToken(name):
		return invalid("name of a field", name)
	case !isText(value):
		return invalid("value of a field", line)
	}
	h.named, h.framing = true, true
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		h.lengths = append(h.lengths, string(bytes.Trim(value, " \t")))
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.codings = append(h.codings, string(bytes.Trim(value, " \t")))
	default:
		h.framing = false
	}
	return nil
}

// readContinuation checks a line that continues the value of the field before. Readers differ in whether they join the lines, so none of
// a field that frames the body is accepted.
func (h *head) readContinuation(line []byte) error {
	if !h.named || h.framing || !isText(line) {
		return invalid("continuation of a field", line)
	}
	return nil
}

// end checks which fields frame the body. Readers differ in which one they go by if there are several.
func (h *head) end() error {
	if h.interim {
		*h = head{line: h.line}
		return nil
	}
	h.complete = true
	h.line = nil
	for _, length := range h.lengths {
		if length != h.lengths[0] || !isNumber([]byte(length)) {
			return invalid("length of the body", []byte(strings.Join(h.lengths, ", ")))
		}
	}
	codings := strings.Join(h.codings, ", ")
	switch {
	case len(h.codings) == 0:
		return nil
	case len(h.lengths) > 0:
		return invalid("length beside a transfer coding", []byte(strings.Join(h.lengths, ", ")))
	case h.http10 || !strings.EqualFold(codings, "chunked"):
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
