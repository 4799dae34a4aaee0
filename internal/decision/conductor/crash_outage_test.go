package conductor

import (
	"fmt"
	"testing"
	"time"
)

// Daemons are killed in turn while the store is silent half of the time, so that what crashes servers is known to few of them.
func TestRequestThatCrashesServersAmidKillsAndOutages(t *testing.T) {
	const (
		playTime    = 30 * time.Second
		repeatEvery = 100 * time.Millisecond
	)
	for _, c := range []struct {
		name          string
		daemons       int
		killEvery     time.Duration
		silenceEvery  time.Duration
		silence       time.Duration
		silenceOffset time.Duration
	}{
		{"kills alone", 3, 1200 * time.Millisecond, 0, 0, 0},
		{"a silent store alone", 3, 0, 2400 * time.Millisecond, 1200 * time.Millisecond, 0},
		{"both", 3, 1200 * time.Millisecond, 2400 * time.Millisecond, 1200 * time.Millisecond, 0},
		{"both, kills amid silences", 3, 1200 * time.Millisecond, 2400 * time.Millisecond, 1200 * time.Millisecond, 500 * time.Millisecond},
		{"both, long silences", 3, 2 * time.Second, 5 * time.Second, 3500 * time.Millisecond, 300 * time.Millisecond},
		{"both, seven daemons", 7, 700 * time.Millisecond, 2400 * time.Millisecond, 1200 * time.Millisecond, 200 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(6) {
				f := newVirtualFleet(t, c.daemons, 16, seed)
				f.press(4*time.Second, 40, 0)
				if c.killEvery > 0 {
					for n := 1; time.Duration(n)*c.killEvery < playTime; n++ {
						f.after(time.Duration(n)*c.killEvery, func() { f.kill(n%c.daemons, 150*time.Millisecond) })
					}
				}
				if c.silenceEvery > 0 {
					for at := c.silenceOffset; at < playTime; at += c.silenceEvery {
						f.after(at, func() { f.silenceStore(c.silence) })
					}
				}
				for at := time.Duration(0); at < playTime; at += repeatEvery {
					f.after(at, func() { f.arriveCrashing(crashingRequest{crashAfter: 40 * time.Millisecond}) })
				}
				f.press(playTime+4*time.Second, 40, 0)
				f.assertRequestHeldBack(t, fmt.Sprintf("seed %d", seed))
			}
		})
	}
}
