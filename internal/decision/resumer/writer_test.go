package resumer

import (
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/peer/messenger"
)

func newTestResumer(records *[]Record, reads *int) *Resumer {
	s := &Resumer{
		Self: "a", Send: func([]string, messenger.Origins) {}, Record: func(r Record) { *records = append(*records, r) },
		Read: func() { *reads++ }, Resolve: func(reducer.RequestID) {},
	}
	s.SetFleet([]string{"a"}, []string{"a"})
	return s
}

// Guards against records above their size, and against streams that are lost where one record doesn't hold all.
func TestWriterSplitsLargeRecords(t *testing.T) {
	var records []Record
	var reads int
	s := newTestResumer(&records, &reads)
	const streams = 20000
	for i := range uint64(streams) {
		s.Started(time.Second, i, "s", "v1", true)
	}
	for now := time.Second; now < 5*time.Second; now += 50 * time.Millisecond {
		before := len(records)
		s.Tick(now, []string{"s"})
		if len(records) > before {
			s.Recorded(now, records[before].Number, true)
		}
	}
	written := make(map[uint64]bool)
	for _, r := range records {
		if got := 8 * len(r.Origins); got > MaxRecordBytes {
			t.Errorf("got a record of %d bytes, want at most %d", got, MaxRecordBytes)
		}
		if r.Replaces != r.Number {
			t.Errorf("got record %d that replaces %d, want none replaced, as it doesn't hold its streams", r.Number, r.Replaces)
		}
		for _, o := range r.Origins {
			written[o.Stream] = true
		}
	}
	if got := len(written); got != streams {
		t.Errorf("got %d streams written, want %d", got, streams)
	}
}

// Guards against a read for each request, and against an answer from before the request arrived.
func TestRequestsShareReads(t *testing.T) {
	var records []Record
	var reads int
	s := newTestResumer(&records, &reads)
	for id := range reducer.RequestID(50) {
		s.Ask(time.Second, id, 7, 3*time.Second)
	}
	s.Tick(time.Second, nil)
	s.Ask(1100*time.Millisecond, 99, 8, 3*time.Second)
	s.Tick(1100*time.Millisecond, nil)
	if got, want := reads, 1; got != want {
		t.Errorf("got %d reads while one is in progress, want %d", got, want)
	}
	s.ReadEnded(1200*time.Millisecond, nil, true)
	s.Tick(1400*time.Millisecond, nil)
	if got, want := reads, 2; got != want {
		t.Errorf("got %d reads, want %d, as one request arrived after the begin of the first", got, want)
	}
}

// Guards against a refusal before the store has answered, and a wait beyond the deadline.
func TestRequestsWaitForTheStore(t *testing.T) {
	var records []Record
	var reads int
	s := newTestResumer(&records, &reads)
	next := s.Ask(0, 1, 7, 2*time.Second)
	waits := true
	for waits && next < 10*time.Second {
		s.Tick(next, nil)
		s.ReadEnded(next, nil, false)
		before := next
		if next, waits = s.Unanswered(next, 1); !waits {
			next = before
		}
	}
	if want := 2 * time.Second; next != want {
		t.Errorf("got a refusal at %v, want at the deadline, %v", next, want)
	}
}
