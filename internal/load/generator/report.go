package generator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// A Report contains the measurements of a run.
type Report struct {
	Seed uint64
	// Seconds is the measured time after the warm-up, OfferedRate the number of requests due per second in it.
	Seconds     float64
	OfferedRate float64
	// Due counts the requests that became due after the warm-up, Skipped those that were not sent because
	// MaxInFlight was reached.
	Due     int
	Skipped int
	// Served and Refused count final answers, Sent counts all attempts and Retried those after the first.
	Served int
	// ServedDirect is the part of Served that was sent directly to the engine.
	ServedDirect int
	Refused      int
	Sent         int
	Retried      int
	// Codes counts final answers by result code and by whether the request ran according to the answer.
	Codes []CodeCount
	// Faults counts wrong answers by kind. A correct system causes none.
	Faults []FaultCount
	// MissedDeadlines counts final answers, served or refused, that ended later than their deadline plus a tolerance.
	MissedDeadlines int
	// TokensPerSecond is the rate of received tokens in streams.
	TokensPerSecond float64
	// Lookups is the duration of address look-ups.
	Lookups Distribution
	// SendDelay is the time from when requests became due until they were sent, which is the generator's own lag.
	SendDelay Distribution
	// Latency is the time from the first send of served requests without streaming to the end of their answer.
	// The load is open-loop, so slow answers are not under-represented.
	Latency Distribution
	// Bookings is the part of Latency for bookings at plain services.
	Bookings Distribution
	// FirstToken is the time from the first send of served streams to their first token.
	FirstToken Distribution
	// BetweenTokens is the time between two tokens of a stream.
	BetweenTokens Distribution
	// RefusalLatency is the time from the first send of refused requests to their refusal.
	RefusalLatency Distribution
	// Direct and DirectFirstToken are the Latency and FirstToken of requests that were sent directly to the engine.
	// Latency and FirstToken don't include these requests.
	Direct           Distribution
	DirectFirstToken Distribution
	// BookingsCounted counts the bookings whose run counts were read from Settings.Counters.
	BookingsCounted int
	// BookingsRunTwice counts those that ran more than once.
	BookingsRunTwice int
}

// A CodeCount is the number of final answers with a result code.
type CodeCount struct {
	Code  int
	Name  string
	Ran   string `json:",omitempty"`
	Count int
}

// A FaultCount is the number of answers with a fault, with details of the first few.
type FaultCount struct {
	Fault    Fault
	Count    int
	Examples []string
}

// A Distribution summarises durations, in milliseconds.
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

// WrongAnswers returns the number of faults of all kinds.
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
	// Durations outside the range are recorded as its nearest bound.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), time.Hour.Microseconds()))
}
