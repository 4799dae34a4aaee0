package claimer

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// The defaults of Settings.
const (
	DefaultPartitions     = 16
	DefaultSegmentBytes   = 8 << 10
	DefaultMaxSegments    = 4096
	DefaultMaxAnswerBytes = 4096
	DefaultMaxQueued      = 1024
	DefaultRetention      = 24 * time.Hour
	DefaultClockMargin    = 5 * time.Minute
	DefaultRetryInterval  = time.Second
	// MaxRetryInterval bounds the time between two attempts to reach a key-value service that is down, before jitter.
	MaxRetryInterval = 8 * time.Second
)

// Settings configure a Machine. Zero fields take the defaults.
type Settings struct {
	// Cell is the cell whose requests are claimed.
	Cell string
	// Daemon and Instance identify the process; Instance is never used by another process.
	Daemon   string
	Instance string
	// Partitions is how many partitions the cell has. It must be the same in all daemons, for ever.
	Partitions int
	// Retention is how long a claim is kept at least.
	Retention time.Duration
	// ClockMargin is how far the wall clocks of two daemons or a caller may differ.
	ClockMargin time.Duration
	// SegmentBytes is the size past which the active segment is sealed.
	SegmentBytes int
	// MaxSegments bounds the sealed segments of a partition, and so the active segment's header.
	// Claims are refused while there are as many.
	MaxSegments int
	// AnswerBytes is the size up to which answers are recorded.
	MaxAnswerBytes int
	// MaxQueued bounds the requests of one partition that wait for their claims to be written.
	MaxQueued int
	// MaxBatch bounds the entries of one write. Zero means that only SegmentBytes does.
	MaxBatch int
	// MinWriteInterval is the least time between two writes of a partition's claims.
	MinWriteInterval time.Duration
	// ResultDelay is how long a result waits for a claim to be written with. If the process dies
	// meanwhile, repeats are told that the request may have run.
	ResultDelay time.Duration
	// RetryInterval is the time after which a key-value service that is down is tried again, and callers that
	// are refused should try again. It doubles with each failure up to MaxRetryInterval.
	RetryInterval time.Duration
	// Random gives the jitter of retries. Nil means none.
	Random *rand.Rand
}

func (s Settings) withDefaults() Settings {
	s.Partitions = cmp.Or(s.Partitions, DefaultPartitions)
	s.Retention = cmp.Or(s.Retention, DefaultRetention)
	s.ClockMargin = cmp.Or(s.ClockMargin, DefaultClockMargin)
	s.SegmentBytes = cmp.Or(s.SegmentBytes, DefaultSegmentBytes)
	s.MaxSegments = cmp.Or(s.MaxSegments, DefaultMaxSegments)
	s.MaxAnswerBytes = cmp.Or(s.MaxAnswerBytes, DefaultMaxAnswerBytes)
	s.MaxQueued = cmp.Or(s.MaxQueued, DefaultMaxQueued)
	s.RetryInterval = cmp.Or(s.RetryInterval, DefaultRetryInterval)
	return s
}
