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
	// MaxRetryInterval bounds the backoff between attempts to reach a key-value service that is down, before
	// jitter.
	MaxRetryInterval = 8 * time.Second
)

// Settings configure a Machine. Zero fields take the defaults.
type Settings struct {
	// Cell is the cell whose requests are claimed.
	Cell string
	// Daemon and Instance identify the process. Instance is unique to it.
	Daemon   string
	Instance string
	// Partitions is the number of partitions of the cell. It must be the same in all daemons and never
	// change.
	Partitions int
	// Retention is the minimum time that a claim is kept.
	Retention time.Duration
	// ClockMargin bounds the difference between the wall clocks of daemons and callers.
	ClockMargin time.Duration
	// SegmentBytes is the size above which the active segment is sealed.
	SegmentBytes int
	// MaxSegments bounds the sealed segments of a partition, and thereby the active segment's header.
	// Requests are denied while the bound is reached.
	MaxSegments int
	// MaxAnswerBytes is the largest size of an answer that is recorded.
	MaxAnswerBytes int
	// MaxQueued bounds the requests of one partition that wait for their claims to be written.
	MaxQueued int
	// MaxBatch bounds the entries of one write. Zero means that only SegmentBytes bounds them.
	MaxBatch int
	// MinWriteInterval is the minimum time between two writes of a partition's active segment.
	MinWriteInterval time.Duration
	// ResultDelay is how long a result may wait to be written together with later entries. If the process
	// dies in this time, repeated requests are answered with an unknown outcome.
	ResultDelay time.Duration
	// RetryInterval is the initial backoff for a key-value service that is down, which doubles with each
	// failure up to MaxRetryInterval, and the retry delay given to callers of denied requests.
	RetryInterval time.Duration
	// Random is the source of retry jitter. Nil means no jitter.
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
