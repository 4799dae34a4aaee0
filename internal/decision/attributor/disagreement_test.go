package attributor

import (
	"testing"
	"time"
)

// exchange passes the evidence of some traits from one daemon to another, which judges it.
func exchange(now time.Duration, from, to *Attributor, clears bool, traits ...Trait) (decisions int) {
	for _, t := range traits {
		if e, ok := from.Evidence(t); ok {
			to.Merge(now, e)
		}
	}
	return len(to.Judge(now, clears))
}

// Daemons have different evidence of a part, so that it explains the crashes of a request at one of them only.
func TestDisagreement(t *testing.T) {
	const request = 10
	newDaemons := func() (knowsPart, knowsRequest *Attributor) {
		knowsPart, knowsRequest = &Attributor{}, &Attributor{}
		for i := range uint64(3) {
			at := time.Duration(i+1) * time.Second
			crash(knowsPart, at, i, request, crashing)
			crash(knowsPart, at, i, 20+i, crashing)
			knowsRequest.AddCrash(at, Traits(request, nil), Crash{Server: i, Request: request, At: at})
		}
		return knowsPart, knowsRequest
	}
	trait := Traits(request, nil)[0]
	quarantines := func(a *Attributor) (held bool, count int) {
		e, _ := a.Evidence(trait)
		return e.Quarantined(), e.Quarantines
	}
	assertRequest := func(t *testing.T, a *Attributor, wantHeld bool, wantMost int) {
		t.Helper()
		held, count := quarantines(a)
		if held != wantHeld || count > wantMost {
			t.Errorf("got the request held back %v after %d quarantines, want %v after at most %d", held, count, wantHeld, wantMost)
		}
	}
	// settle exchanges the evidence of the request until nothing changes, for at most 50 rounds.
	settle := func(t *testing.T, now time.Duration, a, b *Attributor) {
		t.Helper()
		for range 50 {
			if exchange(now, b, a, true, b.Traits()...)+exchange(now, a, b, false, trait) == 0 {
				return
			}
		}
		t.Error("got decisions in each of 50 rounds, want them to settle")
	}
	now := 4 * time.Second
	t.Run("a request that a part explains is held back at neither", func(t *testing.T) {
		a, b := newDaemons()
		b.Judge(now, false)
		settle(t, now, a, b)
		assertRequest(t, a, false, 1)
		assertRequest(t, b, false, 1)
	})
	t.Run("a further crash counts again", func(t *testing.T) {
		a, b := newDaemons()
		b.Judge(now, false)
		settle(t, now, a, b)
		b.AddCrash(5*time.Second, Traits(request, nil), Crash{Server: 9, Request: request, At: 5 * time.Second})
		b.Judge(5*time.Second, false)
		assertRequest(t, b, true, 2)
	})
	t.Run("the request is held back again once an answer has cleared the part", func(t *testing.T) {
		a, b := newDaemons()
		b.Judge(now, false)
		settle(t, now, a, b)
		e, _ := a.Evidence(part(crashing))
		b.Merge(now, e)
		answer(b, 5*time.Second, crashing)
		b.Judge(5*time.Second, false)
		assertRequest(t, b, true, 2)
	})
	t.Run("a daemon that may not clear leaves the request held back", func(t *testing.T) {
		a, _ := newDaemons()
		a.Judge(3*time.Second, false)
		a.Judge(now, false)
		assertRequest(t, a, true, 1)
	})
	t.Run("nothing is due while a part's crashes are explained elsewhere", func(t *testing.T) {
		a, b := newDaemons()
		a.Judge(now, true)
		e, _ := a.Evidence(part(crashing))
		e.Cleared = e.Quarantines
		b.Merge(now, e)
		if at, ok := b.NextAt(); ok {
			t.Errorf("got a judgement due at %v, want none", at)
		}
	})
}
