package bounder

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func TestBody(t *testing.T) {
	for _, c := range []struct {
		name, text string
		limit      int64
		want       string
		wantErr    error
	}{
		{"below the limit", "abc", 4, "abc", nil},
		{"at the limit", "abcd", 4, "abcd", nil},
		{"beyond the limit", "abcde", 4, "abcd", ErrTooLarge},
		{"empty", "", 4, "", nil},
		{"nothing allowed", "a", 0, "", ErrTooLarge},
	} {
		for kind, reader := range map[string]io.Reader{"whole": strings.NewReader(c.text), "byte by byte": iotest.OneByteReader(strings.NewReader(c.text))} {
			t.Run(c.name+", "+kind, func(t *testing.T) {
				got, err := ReadAll(io.NopCloser(reader), c.limit)
				if string(got) != c.want || !errors.Is(err, c.wantErr) {
					t.Errorf("got %q, %v, want %q, %v", got, err, c.want, c.wantErr)
				}
			})
		}
	}
	t.Run("each message of a body without end is bounded", func(t *testing.T) {
		body := NewBody(io.NopCloser(strings.NewReader("abcdefgh")), 3)
		buffer := make([]byte, 3)
		for range 2 {
			if _, err := io.ReadFull(body, buffer); err != nil {
				t.Fatalf("got %v, want none", err)
			}
			body.Reset()
		}
	})
	t.Run("JSON without end", func(t *testing.T) {
		var value string
		if err := DecodeJSON(io.NopCloser(strings.NewReader(`"`+strings.Repeat("x", 100))), 50, &value); !errors.Is(err, ErrTooLarge) {
			t.Errorf("got %v, want %v", err, ErrTooLarge)
		}
	})
}
