package generator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/standin/booker"
)

// A ledger notes what callers were told of each sending, to compare it with the stand-ins' counts.
type ledger struct {
	mu sync.Mutex
	// bookings are the answers to bookings, by idempotency key.
	bookings map[string]*booked
	// notRun are the X-Request-Ids of completions whose refusal says that they were not run.
	notRun map[string]bool
}

// A booked is what callers were told of one booking.
type booked struct {
	// receipt is nil if no answer brought one.
	receipt *booker.Receipt
	// mayHaveRun tells that an answer left open whether it ran, or none came.
	mayHaveRun bool
}

func newLedger() *ledger {
	return &ledger{bookings: make(map[string]*booked), notRun: make(map[string]bool)}
}

// note notes the answer to one sending. It returns false if the booking has another receipt from before.
func (l *ledger) note(r *request, id string, a answer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	notRun := !a.sent || a.refused && a.refusal.Ran == refuser.NotRun
	if !r.booking {
		if notRun {
			l.notRun[id] = true
		}
		return true
	}
	b := l.bookings[r.key]
	if b == nil {
		b = &booked{}
		l.bookings[r.key] = b
	}
	if !a.served {
		b.mayHaveRun = b.mayHaveRun || !notRun
		return true
	}
	if b.receipt == nil {
		b.receipt = &a.receipt
	}
	return *b.receipt == a.receipt
}

// compare reads the counts of the stand-ins and reports what does not agree with what callers were told.
func (l *ledger) compare(ctx context.Context, client *http.Client, counters []string, c *recorder) {
	if len(counters) == 0 {
		return
	}
	runs := make(map[string]int)
	for _, address := range counters {
		if err := addRuns(ctx, client, address, runs); err != nil {
			c.fault(FaultCountsNotRead, err.Error())
			return
		}
	}
	for key, b := range l.bookings {
		c.report.BookingsCounted++
		switch n := runs[key]; {
		case n > 1:
			c.report.BookingsRunTwice++
			c.fault(FaultBookingRanTwice, fmt.Sprintf("booking %s ran %d times", key, n))
		case n == 0 && b.receipt != nil:
			c.fault(FaultBookingLost, fmt.Sprintf("booking %s has a receipt and did not run", key))
		case n == 1 && b.receipt == nil && !b.mayHaveRun:
			c.fault(FaultFalseNotRun, fmt.Sprintf("booking %s ran", key))
		}
	}
	for id := range l.notRun {
		if runs[id] > 0 {
			c.fault(FaultFalseNotRun, fmt.Sprintf("request %s ran %d times", id, runs[id]))
		}
	}
}

// addRuns adds the runs that one stand-in counted, by idempotency key or X-Request-Id.
func addRuns(ctx context.Context, client *http.Client, address string, runs map[string]int) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/stand-in/counts", http.NoBody)
	if err != nil {
		return fmt.Errorf("read counts of %s: %w", address, err)
	}
	response, err := client.Do(r)
	if err != nil {
		return fmt.Errorf("read counts of %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	var counts struct{ Runs map[string]int }
	if err := json.NewDecoder(response.Body).Decode(&counts); err != nil {
		return fmt.Errorf("read counts of %s: %w", address, err)
	}
	for id, n := range counts.Runs {
		runs[id] += n
	}
	return nil
}
