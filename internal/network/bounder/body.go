// Package bounder bounds what is read from other processes, which may send bytes without end.
package bounder

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// MaxHeaderBytes bounds the header of an answer.
const MaxHeaderBytes = 64 << 10

// ErrTooLarge is wrapped by the errors of bodies that exceed their limits.
var ErrTooLarge = errors.New("more bytes than allowed")

// A Body is a body of which a limited number of bytes can be read. A read beyond that fails, so that a body that was cut off isn't
// taken for a complete one.
type Body struct {
	io.ReadCloser
	limit int64
	left  int64
}

// NewBody returns a body that is read up to a limit.
func NewBody(body io.ReadCloser, limit int64) *Body {
	return &Body{ReadCloser: body, limit: limit, left: limit}
}

// Reset allows as many bytes again as at first. It is for a body that consists of messages without end, each of which is bounded.
func (b *Body) Reset() { b.left = b.limit }

// Read reads from the body. It returns an error that wraps ErrTooLarge if the body goes on beyond the limit.
func (b *Body) Read(p []byte) (int, error) {
	if int64(len(p)) > b.left+1 {
		// One byte more than allowed shows whether the body goes on.
		p = p[:b.left+1]
	}
	n, err := b.ReadCloser.Read(p)
	if int64(n) <= b.left {
		b.left -= int64(n)
		return n, err
	}
	n = int(b.left)
	b.left = 0
	return n, fmt.Errorf("read body: %w (%d)", ErrTooLarge, b.limit)
}

// ReadAll reads a body that has at most limit bytes.
func ReadAll(body io.ReadCloser, limit int64) ([]byte, error) {
	data, err := io.ReadAll(NewBody(body, limit))
	if err != nil {
		return data, fmt.Errorf("read body: %w", err)
	}
	return data, nil
}

// DecodeJSON decodes a body of at most limit bytes into a value.
func DecodeJSON(body io.ReadCloser, limit int64, value any) error {
	if err := json.NewDecoder(NewBody(body, limit)).Decode(value); err != nil {
		return fmt.Errorf("decode body: %w", err)
	}
	return nil
}
