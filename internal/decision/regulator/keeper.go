package regulator

import (
	"maps"
	"slices"
	"time"
)

// A Keeper holds the buckets of the workspaces that a daemon keeps. It isn't safe for concurrent use.
type Keeper struct {
	settings Settings
	// lastAt is when the last event was handled, beganAt since when this daemon keeps buckets; valid if began.
	began   bool
	lastAt  time.Duration
	beganAt time.Duration
	sweepAt time.Duration
	// buckets hold the tokens of the workspaces that this daemon keeps, fallbacks what it may grant in place of their keepers.
	buckets   map[string]*bucket
	fallbacks map[string]*bucket
}

// NewKeeper returns a Keeper without buckets.
func NewKeeper(settings Settings) *Keeper {
	return &Keeper{settings: settings, buckets: make(map[string]*bucket), fallbacks: make(map[string]*bucket)}
}

// A bucket holds a workspace's tokens. It isn't a rate.Limiter, since tokens come back, spenders hold a part of them, and a request
// that counts more than the burst leaves a debt.
type bucket struct {
	quota Quota
	// perSecond and burst are the quota's with the margin.
	perSecond float64
	burst     float64
	// handLimit is how much spenders may hold in addition to a full bucket.
	handLimit float64
	// level is the number of tokens at the time at, negative for a debt.
	level float64
	at    time.Duration
	// hands is the number of extra tokens that spenders hold, holders what is known of each of them.
	hands   float64
	holders map[string]*holder
	// nextFit is the time that was named to the last refused request.
	nextFit time.Duration
	askedAt time.Duration
}

// A holder is what a bucket knows of one spender.
type holder struct {
	sequence uint64
	answer   Grant
	// extra is what the spender holds in addition to what its requests needed, until the grant expires.
	extra   float64
	expires time.Duration
	// given is what the spender may give back, from grants that haven't expired.
	given []given
}

type given struct {
	at     time.Duration
	amount float64
}

// Advance records that an event is handled. After an interval without any, the keeper begins anew.
func (k *Keeper) Advance(now time.Duration) {
	if !k.began || now > k.lastAt+maxIdle {
		k.Begin(now)
	}
	k.lastAt = now
	if now >= k.sweepAt {
		k.sweepAt = now + sweepInterval
		for _, buckets := range []map[string]*bucket{k.buckets, k.fallbacks} {
			for _, b := range buckets {
				b.expire(now)
			}
			maps.DeleteFunc(buckets, func(_ string, b *bucket) bool { return now > b.askedAt+bucketTTL && b.fullAt(now) })
		}
	}
}

// Begin empties all buckets. Others may have granted what was in them.
func (k *Keeper) Begin(now time.Duration) {
	k.began, k.lastAt, k.beganAt = true, now, now
	clear(k.buckets)
	clear(k.fallbacks)
}

// DaemonsChanged records that the daemons have changed from which keepers are chosen. Only the buckets of the workspaces that this
// daemon kept before and keeps now go on.
func (k *Keeper) DaemonsChanged(now time.Duration, keeps func(workspace string) bool) {
	k.began, k.lastAt, k.beganAt = true, max(now, k.lastAt), now
	maps.DeleteFunc(k.buckets, func(workspace string, _ *bucket) bool { return !keeps(workspace) })
	clear(k.fallbacks)
}

// Workspaces returns the number of buckets.
func (k *Keeper) Workspaces() int { return len(k.buckets) }

// Answer answers an ask for a workspace that this daemon keeps, or for which it stands in. Own is the quota that this daemon knows,
// the zero value for none. It returns false if a newer ask of the spender has been answered.
func (k *Keeper) Answer(now time.Duration, ask Ask, own Quota, keeps bool) (Grant, bool) {
	k.Advance(now)
	b := k.bucketFor(now, ask, own, keeps)
	b.askedAt = now
	h := b.holder(ask.Spender)
	switch {
	case ask.Sequence < h.sequence:
		return Grant{}, false
	case ask.Sequence == h.sequence:
		return h.answer, true
	}
	b.takeBack(now, h, ask.Returned)
	g := Grant{Workspace: ask.Workspace, Sequence: ask.Sequence, Fallback: !keeps}
	total, denied := 0.0, false
	for _, size := range ask.Sizes {
		delay := b.spend(now, size, k.settings.Window)
		if delay == 0 {
			total += size
		}
		denied = denied || delay > 0
		g.Delays = append(g.Delays, delay)
	}
	if keeps && !denied {
		g.Extra = b.giveExtra(h, ask.Extra)
		total += g.Extra
	}
	h.sequence, h.answer, h.expires = ask.Sequence, g, now+grantTTL
	if total > 0 {
		h.given = append(h.given, given{at: now, amount: total})
	}
	return g, true
}

func (k *Keeper) bucketFor(now time.Duration, ask Ask, own Quota, keeps bool) *bucket {
	quota := ask.Quota
	if own.PerSecond > 0 && own.Version >= quota.Version {
		quota = own
	}
	buckets := k.fallbacks
	if keeps {
		buckets = k.buckets
	}
	b, known := buckets[ask.Workspace]
	switch {
	case !known:
		b = &bucket{holders: make(map[string]*holder), at: k.beganAt}
		if !keeps {
			b.at = now
		}
		buckets[ask.Workspace] = b
		fallthrough
	case quota.Version > b.quota.Version:
		if known {
			b.refill(now)
		}
		b.setQuota(quota, k.settings, keeps)
	}
	b.refill(now)
	return b
}

// setQuota sets the limit for what is granted from now on.
func (b *bucket) setQuota(quota Quota, settings Settings, keeps bool) {
	b.quota = quota
	if !keeps {
		b.perSecond = fallbackShare * settings.Overage * quota.PerSecond
		b.burst = b.perSecond
		return
	}
	margin := 1 + marginShare*settings.Overage
	b.perSecond, b.burst = margin*quota.PerSecond, margin*quota.Burst
	b.handLimit = handShare * settings.Overage * (quota.PerSecond*seconds(settings.Window) + quota.Burst)
	b.nextFit = 0
}

// capacity returns how many tokens the bucket may hold beside those that spenders hold.
func (b *bucket) capacity() float64 { return b.burst - max(0, b.hands-b.handLimit) }

func (b *bucket) refill(now time.Duration) {
	b.level = min(b.capacity(), b.level+b.perSecond*max(0, seconds(now-b.at)))
	b.at = max(b.at, now)
}

func (b *bucket) fullAt(now time.Duration) bool {
	return b.hands <= 0 && b.level+b.perSecond*seconds(now-b.at) >= b.burst
}

// expire drops what spenders no longer hold.
func (b *bucket) expire(now time.Duration) {
	b.refill(now)
	b.hands = 0
	for spender, h := range b.holders {
		if now >= h.expires {
			delete(b.holders, spender)
			continue
		}
		b.hands += h.extra
	}
}

func (b *bucket) holder(spender string) *holder {
	h, ok := b.holders[spender]
	if !ok {
		h = &holder{}
		b.holders[spender] = h
	}
	return h
}

// takeBack takes what a spender gives back, as far as it was granted here and hasn't expired.
func (b *bucket) takeBack(now time.Duration, h *holder, returned float64) {
	h.given = slices.DeleteFunc(h.given, func(g given) bool { return now >= g.at+grantTTL })
	for i := len(h.given) - 1; i >= 0 && returned > 0; i-- {
		amount := min(returned, h.given[i].amount)
		h.given[i].amount -= amount
		returned -= amount
		b.level += amount
	}
	b.hands -= h.extra
	h.extra = 0
	b.level = min(b.level, b.capacity())
}

// spend takes what a request counts, or returns the time after which it fits. Each request that is refused gets a later time than
// those before.
func (b *bucket) spend(now time.Duration, size float64, horizon time.Duration) time.Duration {
	missing := min(size, b.capacity()) - b.level
	if missing <= 0 {
		b.level -= size
		return 0
	}
	fit := now + duration(missing/b.perSecond)
	at := max(fit, b.nextFit+duration(size/b.perSecond))
	if at > fit+horizon {
		// The times begin anew, or callers would wait longer and longer while requests are refused.
		at = fit
	}
	b.nextFit = at
	return max(at-now, time.Millisecond)
}

// giveExtra grants what a spender expects to spend, while the bucket has room.
func (b *bucket) giveExtra(h *holder, wanted float64) float64 {
	extra := max(0, min(wanted, b.level-reserveShare*b.burst))
	b.level -= extra
	b.hands += extra
	h.extra = extra
	return extra
}
