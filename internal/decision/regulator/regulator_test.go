package regulator

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestShareOfIdealBucket guards against a keeper that refuses requests within the quota, and one that admits more than the bound.
func TestShareOfIdealBucket(t *testing.T) {
	for _, nodes := range []int{3, 81, 420} {
		for _, quota := range []Quota{{PerSecond: 1900, Burst: 1900}, {PerSecond: 30_000, Burst: 30_000}, {PerSecond: 350_000, Burst: 350_000}} {
			for _, factor := range []float64{0.5, 0.95, 7} {
				t.Run(fmt.Sprintf("%d daemons, %.0f a second, load %.2f", nodes, quota.PerSecond, factor), func(t *testing.T) {
					n := newNetwork(nodes, 1, map[string]Quota{"w": quota})
					const duration = 12 * time.Second
					n.load(duration, "w", factor*quota.PerSecond/900, n.spread)
					n.run(duration + time.Second)
					assertShare(t, n, "w")
					asks := float64(n.asks) / duration.Seconds() / float64(nodes)
					t.Logf("%.2f asks a second for each daemon", asks)
					if factor < 1 && asks > 4 {
						t.Errorf("got %.2f asks a second for each daemon, want at most 4", asks)
					}
				})
			}
		}
	}
}

func assertShare(t *testing.T, n *network, workspace string) {
	t.Helper()
	total, worst := n.spent(workspace, n.quotas[workspace])
	t.Logf("%.3f of the ideal bucket's, worst window %.3f of the bound", total/n.admitted[workspace], worst)
	if got := total / n.admitted[workspace]; got < 0.9 {
		t.Errorf("got %.3f of what the ideal bucket admits, want 0.9", got)
	}
	if worst > 1 {
		t.Errorf("got %.3f of the bound in a window, want at most 1", worst)
	}
}

// TestMovingLoad guards against tokens that stay with daemons which no longer get requests.
func TestMovingLoad(t *testing.T) {
	for _, quota := range []Quota{{PerSecond: 1900, Burst: 1900}, {PerSecond: 350_000, Burst: 350_000}} {
		t.Run(fmt.Sprintf("%.0f a second", quota.PerSecond), func(t *testing.T) {
			n := newNetwork(81, 2, map[string]Quota{"w": quota})
			n.load(30*time.Second, "w", 0.95*quota.PerSecond/900, func(at time.Duration) *node {
				zone := int(at/(3*time.Second)) % 3
				return n.nodes[zone*27+n.rng.IntN(27)]
			})
			n.run(31 * time.Second)
			assertShare(t, n, "w")
		})
	}
}

// TestFewRequests guards against workspaces that a daemon sees once in ten seconds having no tokens there.
func TestFewRequests(t *testing.T) {
	quotas := make(map[string]Quota)
	for i := range 16 {
		quotas[fmt.Sprint("w", i)] = Quota{PerSecond: 1900 * float64(1+i), Burst: 1900 * float64(1+i)}
	}
	n := newNetwork(81, 3, quotas)
	for name, quota := range quotas {
		n.load(20*time.Second, name, 0.9*quota.PerSecond/900, n.spread)
	}
	n.run(21 * time.Second)
	for i := range 16 {
		assertShare(t, n, fmt.Sprint("w", i))
	}
}

// TestCutKeeper guards against a keeper that goes on beside the one that has replaced it, while it is cut off with callers of its own.
func TestCutKeeper(t *testing.T) {
	n := newNetwork(3, 4, map[string]Quota{"w": {PerSecond: 350_000, Burst: 350_000}})
	keeper, _ := Keepers(n.nodes[0].names, "w")
	for _, d := range n.nodes {
		if d.name == keeper {
			n.after(5*time.Second, func() { d.cut = true })
			n.after(20*time.Second, func() { d.cut = false })
		}
	}
	n.load(30*time.Second, "w", 3*350_000/900, n.spread)
	n.run(31 * time.Second)
	if _, worst := n.spent("w", n.quotas["w"]); worst > 1 {
		t.Errorf("got %.3f of the bound in a window, want at most 1", worst)
	}
}

// TestSilentStore guards against keepers that give up while the store is silent for all, and none can replace them.
func TestSilentStore(t *testing.T) {
	n := newNetwork(6, 5, map[string]Quota{"w": {PerSecond: 30_000, Burst: 30_000}})
	n.load(30*time.Second, "w", 30_000/900, n.spread)
	n.after(5*time.Second, func() { n.storeSilent = true })
	n.after(25*time.Second, func() { n.storeSilent = false })
	n.run(31 * time.Second)
	assertShare(t, n, "w")
}

// TestDenialTimes guards against refused requests that are all told to come back at the same moment, or before they fit.
func TestDenialTimes(t *testing.T) {
	quota := Quota{PerSecond: 2000, Burst: 2000}
	k := NewKeeper(Settings{Window: 8 * time.Second, Overage: 0.1})
	k.Begin(0)
	const now = 9 * time.Second
	for i := range 10 {
		k.Advance(time.Duration(i) * time.Second)
	}
	g, _ := k.Answer(now, Ask{Workspace: "w", Spender: "s", Sequence: 1, Sizes: []float64{2000, 1000, 1000, 500}, Quota: quota}, Quota{}, true)
	if g.Delays[0] != 0 {
		t.Errorf("got a delay of %s for a request within the quota, want none", g.Delays[0])
	}
	if got, want := g.Delays[1].Seconds(), 950.0/2050; got < want-0.01 || got > want+0.01 {
		t.Errorf("got a delay of %.3f s for the first refused request, want %.3f s, when it fits", got, want)
	}
	for i := 2; i < len(g.Delays); i++ {
		if g.Delays[i] <= g.Delays[i-1] {
			t.Errorf("got a delay of %s after %s, want a later time", g.Delays[i], g.Delays[i-1])
		}
	}
}

// TestNoWindowAboveBound compares with one ideal bucket for each workspace while daemons and messages fail in any order.
func TestNoWindowAboveBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quotas := map[string]Quota{"a": {PerSecond: 1900, Burst: 1900}, "b": {PerSecond: 60_000, Burst: 60_000}, "c": {PerSecond: 120_000, Burst: 120_000}}
		bounds := maps.Clone(quotas)
		n := newNetwork(rapid.SampledFrom([]int{3, 6, 12}).Draw(t, "daemons"), rapid.Uint64().Draw(t, "seed"), quotas)
		// Fewer, larger requests of the larger workspaces make the plays shorter.
		sizeFactors := map[string]float64{"a": 1, "b": 3, "c": 6}
		n.sizeFactors = sizeFactors
		n.loss = rapid.SampledFrom([]float64{0, 0, 0.02, 0.2}).Draw(t, "loss")
		n.twice = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "twice")
		n.delay = rapid.SampledFrom([]time.Duration{4 * time.Millisecond, 80 * time.Millisecond, 400 * time.Millisecond}).Draw(t, "delay")
		pick := rapid.Custom(func(t *rapid.T) *node { return n.nodes[rapid.IntRange(0, len(n.nodes)-1).Draw(t, "daemon")] })
		pass := func(t *rapid.T) {
			n.run(time.Duration(rapid.IntRange(50, 1500).Draw(t, "ms")) * time.Millisecond)
		}
		t.Repeat(map[string]func(*rapid.T){
			"load": func(t *rapid.T) {
				factor := rapid.SampledFrom([]float64{0.5, 1, 3}).Draw(t, "factor")
				for _, name := range []string{"a", "b", "c"} {
					n.load(6*time.Second, name, factor*quotas[name].PerSecond/900/sizeFactors[name], n.spread)
				}
				pass(t)
			},
			"burst at one daemon": func(t *rapid.T) {
				d := pick.Draw(t, "at")
				n.load(100*time.Millisecond, "b", 1200/sizeFactors["b"], func(time.Duration) *node { return d })
				pass(t)
			},
			"kill": func(t *rapid.T) {
				n.kill(pick.Draw(t, "killed"), time.Duration(rapid.IntRange(100, 6000).Draw(t, "away"))*time.Millisecond)
				pass(t)
			},
			"kill all": func(t *rapid.T) {
				for _, d := range n.nodes {
					n.kill(d, time.Second)
				}
				pass(t)
			},
			"freeze": func(t *rapid.T) {
				n.freeze(pick.Draw(t, "frozen"), time.Duration(rapid.IntRange(100, 4000).Draw(t, "frozen for"))*time.Millisecond)
				pass(t)
			},
			"cut": func(t *rapid.T) {
				d := pick.Draw(t, "cut")
				d.cut = true
				n.after(time.Duration(rapid.IntRange(100, 8000).Draw(t, "cut for"))*time.Millisecond, func() { d.cut = false })
				pass(t)
			},
			"lower limit": func(t *rapid.T) {
				quota := quotas["b"]
				quota.Version++
				quota.PerSecond, quota.Burst = 0.9*quota.PerSecond, 0.9*quota.Burst
				quotas["b"] = quota
				pass(t)
			},
			"": func(t *rapid.T) {
				for name, quota := range bounds {
					if _, worst := n.spent(name, quota); worst > 1 {
						t.Fatalf("workspace %s: got %.3f of the bound in a window, want at most 1", name, worst)
					}
				}
			},
		})
	})
}

func (n *network) kill(d *node, away time.Duration) {
	if d.down {
		return
	}
	d.down, d.inbox, d.frozen = true, nil, 0
	n.expireLease(d)
	n.after(away, func() { n.start(d) })
}

func (n *network) freeze(d *node, duration time.Duration) {
	if d.down || d.frozen > 0 {
		return
	}
	d.frozen = n.now + duration
	n.after(duration, func() {
		d.frozen = 0
		inbox := d.inbox
		d.inbox = nil
		for _, do := range inbox {
			n.step(d, do)
		}
	})
}
