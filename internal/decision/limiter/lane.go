package limiter

import (
	"math"
	"slices"
	"time"
)

// slowdownHalfLife is the time in which a learned slowdown loses half of its excess, so that loads
// are tried again after the weight store was slow.
const slowdownHalfLife = 30 * time.Second

// A lane is the loads of one sort that share the weight store's full speed.
type lane struct {
	// fullSpeed is how many loads run at once at full speed; zero means any number.
	fullSpeed int
	started   map[string]load
	// slowdown is the average of actual over expected load times at learnedAt, zero before the first.
	slowdown  float64
	learnedAt time.Duration
}

type load struct {
	at time.Duration
	// expected is how long it takes if the weight store is as fast as stated.
	expected time.Duration
}

// average returns the learned slowdown.
func (l *lane) average(now time.Duration) float64 {
	if l.slowdown == 0 {
		return 1
	}
	return 1 + (l.slowdown-1)*l.trust(now)
}

// delay returns how long a load waits until one of the full-speed loads is done, with so many ahead of it.
func (l *lane) delay(duration time.Duration, ahead int, now time.Duration) time.Duration {
	if l.fullSpeed <= 0 {
		return 0
	}
	turns := len(l.started) + ahead - l.fullSpeed
	if turns < 0 {
		return 0
	}
	slowdown := l.slowdownAt(now)
	left := make([]time.Duration, 0, len(l.started))
	for _, started := range l.started {
		left = append(left, max(0, started.at+scale(started.expected, slowdown)-now))
	}
	slices.Sort(left)
	if turns < len(left) {
		return left[turns]
	}
	rounds := float64(turns) / float64(l.fullSpeed)
	return scale(duration, slowdown*rounds)
}

func (l *lane) done(key string, now time.Duration) {
	started, ok := l.started[key]
	if !ok {
		return
	}
	delete(l.started, key)
	if started.expected <= 0 {
		return
	}
	seen := float64(now-started.at) / float64(started.expected)
	seen = min(maxSlowdown, max(minSlowdown, seen))
	l.learn(seen, now)
}

func (l *lane) full() bool { return l.fullSpeed > 0 && len(l.started) >= l.fullSpeed }

// learn moves the average towards an observation, further if the last one is long ago.
func (l *lane) learn(seen float64, now time.Duration) {
	if l.slowdown == 0 {
		l.slowdown = 1
	}
	weight := 1 - (1-slowdownWeight)*l.trust(now)
	l.slowdown += weight * (seen - l.slowdown)
	l.learnedAt = now
}

func (l *lane) remove(key string) { delete(l.started, key) }

// shared returns how long a load takes beside the started ones when the weight store is as fast as
// stated: proportionally longer beyond full speed.
func (l *lane) shared(duration time.Duration) time.Duration {
	sharing := len(l.started) + 1
	if l.fullSpeed <= 0 || sharing <= l.fullSpeed {
		return duration
	}
	return scale(duration, float64(sharing)/float64(l.fullSpeed))
}

// slowdownAt returns the learned slowdown, or that of a started load which is later than that.
func (l *lane) slowdownAt(now time.Duration) float64 {
	slowdown := l.average(now)
	for _, started := range l.started {
		if started.expected > 0 {
			slowdown = max(slowdown, float64(now-started.at)/float64(started.expected))
		}
	}
	return min(maxSlowdown, slowdown)
}

func (l *lane) start(p PendingLoad, at time.Duration) {
	if l.started == nil {
		l.started = make(map[string]load)
	}
	l.started[p.Key] = load{at: at, expected: l.shared(p.Duration)}
}

// trust returns the weight left of what was learned, from 1 to 0.
func (l *lane) trust(now time.Duration) float64 {
	age := max(0, now-l.learnedAt)
	return math.Exp2(-float64(age) / float64(slowdownHalfLife))
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(math.Min(float64(d)*factor, math.MaxInt64/4))
}
