package generator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// A Report is what a run measured.
type Report struct {
	Seed uint64
	// Seconds is how long requests were sent after the warm-up, OfferedRate how many became due in a second.
	Seconds     float64
	OfferedRate float64
	// Due are the requests that became due after the warm-up, Skipped those not sent because MaxInFlight was reached.
	Due     int
	Skipped int
	// Served and Refused are final answers of requests; Sent counts each sending.
	Served int
	// ServedDirect is the part of Served that went straight to the engine.
	ServedDirect int
	Refused      int
	Sent         int
	Retried      int
	// Codes counts final answers by result code and the statement whether the request ran.
	Codes []CodeCount
	// Faults counts answers that are wrong. A correct system causes none.
	Faults []FaultCount
	// MissedDeadlines are final answers, served or refused, that ended later than their deadline and the tolerance.
	MissedDeadlines int
	// TokensPerSecond is the rate of streamed tokens received.
	TokensPerSecond float64
	// Lookups is how long look-ups of addresses took.
	Lookups Distribution
	// SendDelay is how much later than due requests were sent, which is the generator's own lag.
	SendDelay Distribution
	// Latency is the time from when served requests that are not streamed were first sent to their whole answer.
	// Sending never waits for answers, so slow answers are not measured less often than fast ones.
	Latency Distribution
	// Bookings is the part of Latency that concerns plain services.
	Bookings Distribution
	// FirstToken is the time from when served streams were first sent to their first token.
	FirstToken Distribution
	// BetweenTokens is the time between two tokens of a stream.
	BetweenTokens Distribution
	// RefusalLatency is the time from when refused requests were first sent to their refusal.
	RefusalLatency Distribution
	// Direct and DirectFirstToken are Latency and FirstToken of the requests that went straight to the engine,
	// which the others don't contain.
	Direct           Distribution
	DirectFirstToken Distribution
	// BookingsCounted are the bookings whose runs were read from Settings.Counters.
	BookingsCounted int
	// BookingsRunTwice are those that ran more than once.
	BookingsRunTwice int
}

// A CodeCount is how many final answers had a result code.
type CodeCount struct {
	Code  int
	Name  string
	Ran   string `json:",omitempty"`
	Count int
}

// A FaultCount is how many answers were wrong in one way, with the first few in words.
type FaultCount struct {
	Fault    Fault
	Count    int
	Examples []string
}

// A Distribution summarises durations in milliseconds.
type Distribution struct {
	Count  int64
	Mean   float64
	P50    float64
	P90    float64
	P95    float64
	P99    float64
	P999   float64
	Max    float64
	StdDev float64
}

// WrongAnswers returns how many answers were wrong.
func (r Report) WrongAnswers() int {
	wrong := 0
	for _, f := range r.Faults {
		wrong += f.Count
	}
	return wrong
}

func newDistribution(h *hdrhistogram.Histogram) Distribution {
	ms := func(microseconds int64) float64 { return float64(microseconds) / 1000 }
	return Distribution{
		Count:  h.TotalCount(),
		Mean:   h.Mean() / 1000,
		P50:    ms(h.ValueAtQuantile(50)),
		P90:    ms(h.ValueAtQuantile(90)),
		P95:    ms(h.ValueAtQuantile(95)),
		P99:    ms(h.ValueAtQuantile(99)),
		P999:   ms(h.ValueAtQuantile(99.9)),
		Max:    ms(h.Max()),
		StdDev: h.StdDev() / 1000,
	}
}

// newHistogram returns a histogram of microseconds up to an hour with three significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Hour.Microseconds(), 3)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Durations beyond the range count as the longest one.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), time.Hour.Microseconds()))
}
