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
	// completed reports whether a request was complete in the bytes that were read last.
	completed bool
	// inBody is true once the header of the partial request is complete.
	inBody bool
	// headerBytes is the number of bytes read before the header was complete; fieldBytes is the size of the header
	// fields and trailers that have been parsed, and bodyBytes that of the body.
	headerBytes int
	fieldBytes  int
	bodyBytes   int
	// framedBytes is the number of bytes read after the header: the body, and what frames its chunks.
	framedBytes     int
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
	p.completed = true
	p.inBody = false
	p.headerBytes = 0
	p.framedBytes = 0
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
	p.countField(key, value)
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

// OnTrailerHeader checks one field after a chunked body. nbhttp accepts any number of them.
func (p *processor) OnTrailerHeader(parser *nbhttp.Parser, key, value string) {
	p.countField(key, value)
	if p.refusal == nil {
		p.Processor.OnTrailerHeader(parser, key, value)
	}
}

// countField counts a field of the header or a trailer.
func (p *processor) countField(key, value string) {
	p.fieldBytes += len(key) + len(value)
	if p.fieldBytes > p.limits.MaxHeaderBytes {
		p.refuse(refuser.CodeRequestTooLarge, fmt.Sprintf("the header is larger than %d bytes", p.limits.MaxHeaderBytes))
	}
}

// sendContinue responds to "Expect: 100-continue", unless a response is being written.
func (p *processor) sendContinue() {
	if !p.connection.isHandling() {
		_, _ = p.connection.Write([]byte(continueResponse))
	}
}

// countBytes adds the bytes of one read and returns an error if the header becomes too large, or the body with what frames its chunks.
func (p *processor) countBytes(n int) error {
	if p.inBody {
		return p.countFramedBytes(n)
	}
	p.headerBytes += n
	if p.headerBytes > p.limits.MaxHeaderBytes+readBytes {
		return nbhttp.ErrTooLong
	}
	return nil
}

// countFramedBytes adds the bytes of one read after the header. Frames may take up as much as the largest body.
func (p *processor) countFramedBytes(n int) error {
	p.framedBytes += n
	if p.framedBytes > 2*p.limits.MaxBodyBytes+p.limits.MaxHeaderBytes+readBytes {
		return nbhttp.ErrTooLong
	}
	if !p.connection.hold.Grow(int64(p.framedBytes)) {
		p.refuse(refuser.CodeOverloaded, "other requests take up the memory for bodies")
		p.refusal.RetryAfter = overloadRetryDelay
	}
	return nil
}

func (p *processor) refuse(code refuser.Code, detail string) {
	if p.refusal == nil {
		p.refusal = &refuser.Refusal{Code: code, Detail: detail}
	}
}
