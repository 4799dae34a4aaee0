package executor

import (
	"testing"
	"time"
)

func TestBackoffNext(t *testing.T) {
	var b backoff
	for _, want := range []time.Duration{500, 1000, 2000, 4000, 8000, 8000} {
		want *= time.Millisecond
		if got := b.next(); got < want/2 || got > want {
			t.Errorf("got %v, want from half of %v to all of it", got, want)
		}
	}
}
