package acceptor

import (
	"fmt"
	"strings"

	"github.com/lesismal/nbio/nbhttp"

	"samphirewharf/internal/caller/refuser"
)

// continueResponse requests the body of a request with "Expect: 100-continue".
const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// A processor checks a request's size and header while nbhttp parses it.
type processor struct {
	nbhttp.Processor
	connection *connection
	limits     Limits

	// partial is true while a request has begun and is incomplete.
	partial bool
	// inBody is true once the header of the partial request is complete.
	inBody bool
	// headerBytes is the number of bytes read before the header was complete; fieldBytes is the size of the header
	// fields that have been parsed, and bodyBytes that of the body.
	headerBytes     int
	fieldBytes      int
	bodyBytes       int
	contentLengths  int
	expectsContinue bool
	// refusal is why the request can't be accepted. Nothing that follows it is handled.
	refusal *refuser.Refusal
}

// OnBody counts the bytes of a body of unknown length.
func (p *processor) OnBody(parser *nbhttp.Parser, data []byte) error {
	p.bodyBytes += len(data)
	if p.bodyBytes > p.limits.MaxBodyBytes {
		return nbhttp.ErrTooLong
	}
	return p.Processor.OnBody(parser, data)
}

// OnComplete passes the request on unless it was refused.
func (p *processor) OnComplete(parser *nbhttp.Parser) {
	if p.refusal != nil {
		p.Clean(parser)
		return
	}
	p.partial = false
	p.inBody = false
	p.headerBytes = 0
	p.Processor.OnComplete(parser)
}

// OnContentLength checks the header, which is complete at this point.
func (p *processor) OnContentLength(parser *nbhttp.Parser, length int) {
	p.inBody = true
	switch {
	case p.contentLengths > 1:
		p.refuse(refuser.CodeMalformedRequest, "the request has more than one Content-Length")
	case length > p.limits.MaxBodyBytes:
		p.refuse(refuser.CodeRequestTooLarge, fmt.Sprintf("the body has %d bytes; the limit is %d", length, p.limits.MaxBodyBytes))
	case p.expectsContinue && p.refusal == nil:
		p.sendContinue()
	}
	p.Processor.OnContentLength(parser, max(length, 0))
}

// OnHeader checks one header field.
func (p *processor) OnHeader(parser *nbhttp.Parser, key, value string) {
	value = strings.TrimRight(value, " \t")
	p.fieldBytes += len(key) + len(value)
	if p.fieldBytes > p.limits.MaxHeaderBytes {
		p.refuse(refuser.CodeRequestTooLarge, fmt.Sprintf("the header is larger than %d bytes", p.limits.MaxHeaderBytes))
	}
	switch key {
	case "Content-Length":
		p.contentLengths++
	case "Expect":
		p.expectsContinue = strings.EqualFold(value, "100-continue")
	}
	p.Processor.OnHeader(parser, key, value)
}

// OnMethod resets the state for a new request.
func (p *processor) OnMethod(parser *nbhttp.Parser, method string) {
	p.partial = true
	p.inBody = false
	p.fieldBytes = 0
	p.bodyBytes = 0
	p.contentLengths = 0
	p.expectsContinue = false
	p.Processor.OnMethod(parser, method)
}

// sendContinue responds to "Expect: 100-continue", unless a response is being written.
func (p *processor) sendContinue() {
	if !p.connection.isHandling() {
		_, _ = p.connection.Write([]byte(continueResponse))
	}
}

// countHeaderBytes adds the bytes of one read and returns an error if the header becomes too large.
func (p *processor) countHeaderBytes(n int) error {
	if p.inBody {
		return nil
	}
	p.headerBytes += n
	if p.headerBytes > p.limits.MaxHeaderBytes+readBytes {
		return nbhttp.ErrTooLong
	}
	return nil
}

func (p *processor) refuse(code refuser.Code, detail string) {
	if p.refusal == nil {
		p.refusal = &refuser.Refusal{Code: code, Detail: detail}
	}
}
