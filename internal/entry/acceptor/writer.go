package acceptor

import (
	"net"
	"net/http"
	"strconv"

	"github.com/lesismal/nbio/nbhttp"
)

const (
	// writeBytes is the most that is handed to nbhttp at once.
	writeBytes = 16 << 10
	// pendingBytes is how much nbhttp may hold before it is flushed. At 64 KiB its chunked writer goes on using
	// a buffer that it has given back to its pool, so everything is flushed long before.
	pendingBytes = 16 << 10
	// chunkOverhead is more than the framing of one chunk takes.
	chunkOverhead = 16
)

// A Writer writes the answer to one request. It isn't safe for use by more than one goroutine at a time.
type Writer struct {
	response   *nbhttp.Response
	connection *connection
	// head tells that the method is HEAD, whose answers have no body.
	head    bool
	started bool
	// pending is how many bytes nbhttp holds, framing included.
	pending int
}

// Abort closes the connection, so that the caller sees that its answer isn't whole.
func (w *Writer) Abort() { w.connection.abort() }

// Flush sends what has been written. It returns an error if the caller has left.
func (w *Writer) Flush() error {
	if err := w.checkOpen(); err != nil {
		return err
	}
	w.started = true
	w.pending = 0
	w.response.Flush()
	return w.checkOpen()
}

// Header returns the header fields to send.
func (w *Writer) Header() http.Header { return w.response.Header() }

// ShortenWriteTimeout makes a write that is waiting for the caller give up soon. Unlike the other methods, it may be called while
// another goroutine writes.
func (w *Writer) ShortenWriteTimeout() { w.connection.shortenWriteTimeout() }

// Started tells that the status has been written.
func (w *Writer) Started() bool { return w.started }

// Write writes a part of the body. It waits while the caller doesn't read, for at most the limit.
func (w *Writer) Write(p []byte) (int, error) {
	if !w.started {
		w.WriteHeader(http.StatusOK)
	}
	if w.head {
		return len(p), nil
	}
	written := 0
	for len(p) > 0 {
		part := p[:min(len(p), writeBytes)]
		if err := w.checkOpen(); err != nil {
			return written, err
		}
		n, err := w.response.Write(part)
		written += n
		if err != nil {
			return written, err
		}
		p = p[len(part):]
		w.pending += n + chunkOverhead
		if w.pending >= pendingBytes {
			w.pending = 0
			w.response.Flush()
		}
	}
	return written, nil
}

// WriteHeader sets the status. nbhttp knows registered codes only; for others it takes the first of their
// class, as which RFC 9110 has a caller treat them.
func (w *Writer) WriteHeader(status int) {
	w.started = true
	if w.head && w.Header().Get("Content-Length") == "" {
		// Otherwise nbhttp would end the answer as if it had a chunked body.
		w.Header().Set("Content-Length", "0")
	}
	if http.StatusText(status) == "" {
		status = status / 100 * 100
	}
	if http.StatusText(status) == "" {
		status = http.StatusBadGateway
	}
	w.response.WriteHeader(status)
}

func (w *Writer) checkOpen() error {
	if w.connection.ctx.Err() != nil {
		return net.ErrClosed
	}
	return nil
}

// WriteWhole writes an answer of known length and sends it. It returns an error if the caller has left.
func (w *Writer) WriteWhole(status int, body []byte) error {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		return err
	}
	return w.Flush()
}
