package acceptor

import (
	"net"
	"net/http"
	"strconv"

	"github.com/lesismal/nbio/nbhttp"
)

const (
	// maxWriteBytes bounds the data passed to nbhttp in one call.
	maxWriteBytes = 16 << 10
	// maxPendingBytes is how much nbhttp may buffer before it is flushed. At 64 KiB its chunked writer keeps using a
	// buffer that it has returned to its pool, so everything is flushed well before.
	maxPendingBytes = 16 << 10
	// maxChunkOverhead is an upper bound for the framing of one chunk.
	maxChunkOverhead = 16
	// minFinalStatus and maxStatus are the range of the statuses of final responses.
	minFinalStatus = 200
	maxStatus      = 599
)

// A Writer writes the response to one request. It must not be used by several goroutines at the same time.
type Writer struct {
	response   *nbhttp.Response
	connection *connection
	// head is true if the response has no body: its method is HEAD, or its status is 204 or 304.
	head    bool
	started bool
	// pending is the number of bytes that nbhttp buffers, including framing.
	pending int
}

// Abort closes the connection, so that the caller sees that its response is incomplete.
func (w *Writer) Abort() { w.connection.abort() }

// Flush sends the buffered data. It returns an error if the caller has disconnected.
func (w *Writer) Flush() error {
	if err := w.checkOpen(); err != nil {
		return err
	}
	w.started = true
	w.pending = 0
	w.response.Flush()
	return w.checkOpen()
}

// Header returns the response's header fields.
func (w *Writer) Header() http.Header { return w.response.Header() }

// ShortenWriteTimeout shortens the timeout of a write in progress. Unlike the other methods, it may be called while
// another goroutine writes.
func (w *Writer) ShortenWriteTimeout() { w.connection.shortenWriteTimeout() }

// Started reports whether the status has been written.
func (w *Writer) Started() bool { return w.started }

// Write writes a part of the body. It blocks while the caller doesn't read, for at most the write timeout.
func (w *Writer) Write(p []byte) (int, error) {
	if !w.started {
		w.WriteHeader(http.StatusOK)
	}
	if w.head {
		return len(p), nil
	}
	written := 0
	for len(p) > 0 {
		part := p[:min(len(p), maxWriteBytes)]
		if err := w.checkOpen(); err != nil {
			return written, err
		}
		n, err := w.response.Write(part)
		written += n
		if err != nil {
			return written, err
		}
		p = p[len(part):]
		w.pending += n + maxChunkOverhead
		if w.pending >= maxPendingBytes {
			w.pending = 0
			w.response.Flush()
		}
	}
	return written, nil
}

// WriteHeader sets the status, which may be any of a final response, registered or not. Callers get 502 in place of a number that is no
// such status.
func (w *Writer) WriteHeader(status int) {
	w.started = true
	if hasNoBody(status) {
		// A caller doesn't read the body, and would take it for the next response.
		w.head = true
		w.Header().Set("Content-Length", "0")
	}
	if w.head && w.Header().Get("Content-Length") == "" {
		// Without a length, nbhttp would end the response as if it had a chunked body.
		w.Header().Set("Content-Length", "0")
	}
	if status < minFinalStatus || status > maxStatus {
		w.connection.server.logger().Error().Int("Status", status).Msg("response has no valid status")
		status = http.StatusBadGateway
	}
	if http.StatusText(status) == "" {
		// nbhttp would write 000. It writes the first status of the class, which the connection replaces.
		w.connection.replaceStatus(status)
		status = status / 100 * 100
	}
	w.response.WriteHeader(status)
}

// hasNoBody reports whether responses with a status have no body.
func hasNoBody(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}

func (w *Writer) checkOpen() error {
	if w.connection.ctx.Err() != nil {
		return net.ErrClosed
	}
	return nil
}

// WriteWhole writes and flushes a complete response. It returns an error if the caller has disconnected.
func (w *Writer) WriteWhole(status int, body []byte) error {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		return err
	}
	return w.Flush()
}
