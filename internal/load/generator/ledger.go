package generator

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/network/bounder"
	"samphirewharf/internal/standin/booker"
)

// A ledger records the answers to all attempts, to verify them against the run counts of the stand-in servers.
type ledger struct {
	mu sync.Mutex
	// bookings are the outcomes of bookings by idempotency key.
	bookings map[string]*bookingOutcome
	// notRun contains the X-Request-Ids of completions that were not sent or whose refusal says that they did not run.
	notRun map[string]bool
}

// A bookingOutcome summarises the answers to one booking.
type bookingOutcome struct {
	// receipt is nil if no answer contained one.
	receipt *booker.Receipt
	// mayHaveRun is true if an answer doesn't rule out that the booking ran, or is missing.
	mayHaveRun bool
}

func newLedger() *ledger {
	return &ledger{bookings: make(map[string]*bookingOutcome), notRun: make(map[string]bool)}
}

// record records the answer to one attempt. It returns false if the receipt differs from an earlier one of the
// same booking.
func (l *ledger) record(r *request, id string, a answer) bool {
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
		b = &bookingOutcome{}
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

// verify reads the run counts of the stand-in servers and records a fault for each answer that contradicts them.
func (l *ledger) verify(ctx context.Context, client *http.Client, counters []string, c *recorder) {
	if len(counters) == 0 {
		return
	}
	runs := make(map[string]int)
	for _, address := range counters {
		if err := readRuns(ctx, client, address, runs); err != nil {
			c.countFault(FaultCountsNotRead, err.Error())
			return
		}
	}
	for key, b := range l.bookings {
		c.report.BookingsCounted++
		switch n := runs[key]; {
		case n > 1:
			c.report.BookingsRunTwice++
			c.countFault(FaultBookingRanTwice, fmt.Sprintf("booking %s ran %d times", key, n))
		case n == 0 && b.receipt != nil:
			c.countFault(FaultBookingLost, fmt.Sprintf("booking %s has a receipt but did not run", key))
		case n == 1 && b.receipt == nil && !b.mayHaveRun:
			c.countFault(FaultFalseNotRun, fmt.Sprintf("booking %s ran, but was reported as not run", key))
		}
	}
	for id := range l.notRun {
		if runs[id] > 0 {
			c.countFault(FaultFalseNotRun, fmt.Sprintf("request %s ran %d times, but was reported as not run", id, runs[id]))
		}
	}
}

// readRuns adds the run counts of one stand-in server to runs, by idempotency key or X-Request-Id.
func readRuns(ctx context.Context, client *http.Client, address string, runs map[string]int) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/stand-in/counts", http.NoBody)
	if err != nil {
		return fmt.Errorf("read run counts of %s: %w", address, err)
	}
	response, err := client.Do(r)
	if err != nil {
		return fmt.Errorf("read run counts of %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	var counts struct{ Runs map[string]int }
	if err := bounder.DecodeJSON(response.Body, maxControlBytes, &counts); err != nil {
		return fmt.Errorf("read run counts of %s: %w", address, err)
	}
	for id, n := range counts.Runs {
		runs[id] += n
	}
	return nil
}
