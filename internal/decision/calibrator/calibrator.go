// Package calibrator learns how fast engines are from what they did, and forecasts first events and pauses.
//
// An engine decodes one step for all its running requests at a time, and reads prompts between steps. The time between two
// events of a stream is therefore
//
//	unit x (1 + requestShare x running requests)
//
// where unit is the engine's own. It depends on the engine's speed and on the size of its models. Only work that was done changes an
// estimate; errors and silence do not.
package calibrator

import (
	"math"
	"slices"
	"time"
)

const (
	// requestShare is by how much one more running request lengthens a step, relative to a step with a single request.
	requestShare = 0.07
	// speedTime is the amount of observed work after which an engine's estimate has taken on 63 % of a change of speed. A change
	// has to count within a second of work.
	speedTime = 400 * time.Millisecond
	// firstEventWork is the amount of work that a first event counts as. It varies more than the times between events, as it depends on
	// the prompts that other daemons have sent.
	firstEventWork = 40 * time.Millisecond
	// estimateTime is the time in which an estimate without new observations approaches the service's median by 63 %, so that a slow
	// engine that has recovered gets work again.
	estimateTime = 30 * time.Second
	// estimateGrace is how long an estimate stays before that.
	estimateGrace = 5 * time.Second
	// minRatio and maxRatio bound the effect of one observation.
	minRatio = 0.2
	maxRatio = 5.0
	// spreadQuantile is the share of observed windows whose longest pause is at most the forecast, spreadStep how fast it follows.
	spreadQuantile = 0.8
	spreadStep     = 0.02
	firstSpread    = 1.3
	maxSpread      = 4.0
	// lengthWeight is the weight of the latest request in the mean length of answers.
	lengthWeight = 0.02
	// medianInterval is the number of observations after which the median is determined again.
	medianInterval = 16
	// longPromptShare is the share of the gap objective from which on the reading of a prompt counts as long.
	longPromptShare = 0.25
)

// A Service holds what the engines of one service have in common. The zero value is a service of which nothing is known.
type Service struct {
	estimates []*Estimate
	// median is the median of the engines' units, 0 if none is known. It is determined again after observations more observations.
	median       time.Duration
	observations int
	// spread is the ratio of the longest pause to the mean time between events, 0 if unknown.
	spread float64
	// length is the mean length of answers in tokens, 0 if unknown.
	length float64
	// reading gives the time to the first event at an engine of median speed by the prompt's tokens.
	reading line
}

// An Estimate is what is known of the speed of one engine.
type Estimate struct {
	service *Service
	// unit is the time between two events extrapolated to an idle engine, 0 if unknown. It was observed last at seenAt.
	unit   time.Duration
	seenAt time.Duration
	// readUntil is when the engine is expected to have read the prompts that this daemon has sent.
	readUntil time.Duration
	// longUntil is until when the engine should not get another long prompt.
	longUntil time.Duration
}

// A Work is what an engine runs.
type Work struct {
	// Batch is the number of running requests.
	Batch float64
	// Prompt is the number of tokens of the prompt that have to be read.
	Prompt int
}

// A Window is a part of a stream.
type Window struct {
	// Gaps is the number of times between events, Span their sum, Longest the longest one.
	Gaps    int
	Span    time.Duration
	Longest time.Duration
}

// NewEstimate returns the estimate of a cold engine, which counts as one of median speed.
func (s *Service) NewEstimate() *Estimate {
	e := &Estimate{service: s}
	s.estimates = append(s.estimates, e)
	return e
}

// Remove removes the estimate of an engine that is gone.
func (s *Service) Remove(e *Estimate) {
	s.estimates = slices.DeleteFunc(s.estimates, func(o *Estimate) bool { return o == e })
	s.observations = 0
}

// ObserveLength records the length of an answer.
func (s *Service) ObserveLength(tokens int) {
	if s.length == 0 {
		s.length = float64(tokens)
	}
	s.length += lengthWeight * (float64(tokens) - s.length)
}

// Length returns the length of an answer relative to the mean.
func (s *Service) Length(tokens int) float64 {
	if s.length == 0 || tokens == 0 {
		return 1
	}
	return float64(tokens) / s.length
}

// observed counts an observation and determines the median if that is due.
func (s *Service) observed() {
	if s.observations--; s.observations > 0 {
		return
	}
	s.observations = medianInterval
	units := make([]time.Duration, 0, len(s.estimates))
	for _, e := range s.estimates {
		if e.unit > 0 {
			units = append(units, e.unit)
		}
	}
	if len(units) > 0 {
		slices.Sort(units)
		s.median = units[len(units)/2]
	}
}

// unitAt returns the engine's unit, which approaches the median while the engine isn't observed.
func (e *Estimate) unitAt(now time.Duration) time.Duration {
	median := e.service.median
	if e.unit == 0 || median == 0 {
		return median
	}
	if now <= e.seenAt+estimateGrace {
		return e.unit
	}
	keep := math.Exp(-float64(now-e.seenAt-estimateGrace) / float64(estimateTime))
	return time.Duration(float64(median) * math.Pow(float64(e.unit)/float64(median), keep))
}

// Slowness returns how much longer the engine takes than one of median speed.
func (e *Estimate) Slowness(now time.Duration) float64 { return e.slowness(e.unitAt(now)) }

// slowness returns the same for the engine's unit.
func (e *Estimate) slowness(unit time.Duration) float64 {
	if e.service.median == 0 {
		return 1
	}
	return float64(unit) / float64(e.service.median)
}

// gap returns the expected mean time between events of a stream.
func gap(unit time.Duration, w Work) time.Duration {
	return time.Duration(float64(unit) * (1 + requestShare*max(w.Batch, 1)))
}

// Known reports whether any engine of the service was observed.
func (e *Estimate) Known() bool { return e.service.median > 0 }

// ObserveEvents learns from a part of a stream that the engine ran with the given work.
func (e *Estimate) ObserveEvents(now time.Duration, w Work, o Window) {
	if o.Gaps <= 0 || o.Span <= 0 {
		return
	}
	s := e.service
	mean := o.Span / time.Duration(o.Gaps)
	if e.unitAt(now) == 0 {
		e.unit = time.Duration(float64(mean) / (1 + requestShare*max(w.Batch, 1)))
		e.seenAt = now
		s.observed()
		return
	}
	ratio := clamp(float64(mean)/float64(gap(e.unitAt(now), w)), minRatio, maxRatio)
	e.adjust(now, ratio, o.Span)
	s.observeSpread(o, mean)
	s.observed()
}

// adjust changes the estimate after work that took ratio times as long as expected.
func (e *Estimate) adjust(now time.Duration, ratio float64, work time.Duration) {
	weight := 1 - math.Exp(-float64(work)/float64(speedTime))
	e.unit = time.Duration(float64(e.unitAt(now)) * math.Pow(ratio, weight))
	e.seenAt = now
}

func (s *Service) observeSpread(o Window, mean time.Duration) {
	if o.Gaps < 2 {
		return
	}
	if s.spread == 0 {
		s.spread = firstSpread
	}
	if float64(o.Longest) > s.spread*float64(mean) {
		s.spread += spreadStep * spreadQuantile
	} else {
		s.spread -= spreadStep * (1 - spreadQuantile)
	}
	s.spread = clamp(s.spread, 1, maxSpread)
}

// ObserveFirst learns from the time to the first event of a request.
func (e *Estimate) ObserveFirst(now time.Duration, w Work, latency time.Duration) {
	if latency <= 0 || !e.Known() {
		return
	}
	expected := e.First(now, w)
	e.service.reading.observe(float64(w.Prompt), float64(latency)/e.Slowness(now))
	if w.Prompt > 0 && expected > 0 {
		e.adjust(now, clamp(float64(latency)/float64(expected), 0.5, 2), firstEventWork)
	}
}

// ObserveSend records a prompt that this daemon sends to the engine, for a stream with a gap objective.
func (e *Estimate) ObserveSend(now time.Duration, prompt int, objective time.Duration) {
	read := e.readTime(e.unitAt(now), prompt)
	e.readUntil = max(e.readUntil, now) + read
	if float64(read) >= longPromptShare*float64(objective) {
		e.longUntil = max(now+objective, e.readUntil)
	}
}

// readTime returns the time in which the engine reads a prompt if it does nothing else.
func (e *Estimate) readTime(unit time.Duration, prompt int) time.Duration {
	return time.Duration(float64(prompt) * e.service.reading.slope() * e.slowness(unit))
}

// Pause returns the expected longest pause of streams at the engine, including the new one. Prompts are read in chunks between steps, so
// that a long one at most doubles a pause.
func (e *Estimate) Pause(now time.Duration, w Work) time.Duration {
	unit := e.unitAt(now)
	return e.pause(now, unit, e.readTime(unit, w.Prompt), w)
}

func (e *Estimate) pause(now, unit, read time.Duration, w Work) time.Duration {
	mean := gap(unit, w)
	return time.Duration(float64(mean)*max(e.service.spread, 1)) + min(max(0, e.readUntil-now)+read, mean)
}

// First returns the expected time to the first event of a new request.
func (e *Estimate) First(now time.Duration, w Work) time.Duration {
	return e.first(now, e.unitAt(now), w)
}

func (e *Estimate) first(now, unit time.Duration, w Work) time.Duration {
	return max(0, e.readUntil-now) + time.Duration(e.service.reading.at(float64(w.Prompt))*e.slowness(unit))
}

func clamp(v, least, most float64) float64 { return max(least, min(most, v)) }
