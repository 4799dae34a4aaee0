package follower

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"samphirewharf/internal/decision/resumer"
	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/peer/messenger"
)

// Guards against origins that don't survive the store, and against records above 64 KiB.
func TestOriginsRecord(t *testing.T) {
	var want []messenger.StreamOrigin
	for i := range 7000 {
		want = append(want, messenger.StreamOrigin{Stream: uint64(i) << 50, SoftwareVersion: fmt.Sprintf("v%d", i/3500)})
	}
	value := EncodeOrigins(want)
	if len(value) > resumer.MaxRecordBytes {
		t.Errorf("got a record of %d bytes, want at most %d", len(value), resumer.MaxRecordBytes)
	}
	got, err := DecodeOrigins(storer.Entry{Value: value})
	if err != nil || !slices.Equal(got, want) {
		t.Errorf("got %d origins and error %v, want the %d that were written", len(got), err, len(want))
	}
	if _, err := DecodeOrigins(storer.Entry{Value: value[:len(value)-1]}); err == nil {
		t.Error("got no error for a record that was cut, want one")
	}
}

// Guards against relays of origins, which would take most of the bytes between daemons, and against watches that each write ends.
func TestOriginsAreNotWatched(t *testing.T) {
	if got := OriginsKey("i", 1); strings.HasPrefix(got, SharedPrefix) {
		t.Errorf("got key %q below %q, which daemons watch", got, SharedPrefix)
	}
}
