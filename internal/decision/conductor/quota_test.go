package conductor

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/decision/regulator"
	"samphirewharf/internal/fleet/matcher"
	"samphirewharf/internal/peer/messenger"
)

const quotaLeadTime = 4 * time.Second

// A quotaPlay has requests of one workspace arrive at a virtual fleet, beside an ideal bucket.
type quotaPlay struct {
	*virtualFleet
	quota matcher.Quota
	// level is what the ideal bucket holds at levelAt, admitted what it has admitted since countFrom.
	level     float64
	levelAt   time.Duration
	countFrom time.Duration
	admitted  float64
	sizes     map[reducer.RequestID]float64
	spends    []quotaSpend
	messages  int
	bytes     int
}

type quotaSpend struct {
	at   time.Duration
	size float64
}

func newQuotaPlay(t *testing.T, daemons int, perSecond float64) *quotaPlay {
	t.Helper()
	quota := matcher.Quota{Tokens: true, PlainTokens: 900, PerSecond: perSecond, Burst: perSecond}
	f := newVirtualFleet(t, 0, 40, 11)
	f.streamTime, f.workspaces = 20*time.Millisecond, []matcher.Workspace{{Name: "w", Quota: quota}}
	p := &quotaPlay{virtualFleet: f, quota: quota, level: quota.Burst, sizes: make(map[reducer.RequestID]float64)}
	f.onSend = func(e Send) { p.spends = append(p.spends, quotaSpend{at: f.now, size: p.sizes[e.Request]}) }
	f.onPeer = func(message messenger.Message) {
		if message.QuotaAsk != nil || message.QuotaGrant != nil || message.Standing != nil {
			p.messages++
			p.bytes += proto.Size(message.Envelope())
		}
	}
	for range daemons {
		f.daemons = append(f.daemons, &virtualDaemon{})
	}
	for i := range daemons {
		f.startDaemon(i)
	}
	f.run(quotaLeadTime)
	return p
}

// load has requests arrive for a time, at the daemons that pick returns.
func (p *quotaPlay) load(duration time.Duration, factor float64, pick func() *virtualDaemon) {
	perSecond := factor * p.quota.PerSecond / 900
	for at := time.Duration(0); ; {
		at += time.Duration(p.rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= duration {
			break
		}
		p.after(at, func() { p.request(pick()) })
	}
	p.run(duration)
}

func (p *quotaPlay) anyDaemon() *virtualDaemon { return p.daemons[p.rng.IntN(len(p.daemons))] }

func (p *quotaPlay) request(d *virtualDaemon) {
	if d.machine == nil || d.down {
		return
	}
	p.attempts++
	id := reducer.RequestID(p.attempts)
	input, output := 100+p.rng.IntN(1000), 200+p.rng.IntN(200)
	size := float64(input + output)
	p.sizes[id] = size
	p.level = min(p.quota.Burst, p.level+p.quota.PerSecond*(p.now-p.levelAt).Seconds())
	p.levelAt = p.now
	if p.level >= min(size, p.quota.Burst) {
		p.level -= size
		if p.now >= p.countFrom {
			p.admitted += size
		}
	}
	r := &virtualRequest{arrivedAt: p.now, event: RequestArrived{
		Request: id, ID: attemptName(id), Route: p.route, Version: 1, Service: engineService, Workspace: "w", Model: "m1", TimeLimit: p.route.Timeout,
		Fingerprint: uint64(id) << 8, InputTokens: input, OutputTokens: output, Parts: []PromptPart{{ID: uint64(1<<32 + id), Tokens: 100}},
	}}
	p.requests[id] = r
	d.requests = append(d.requests, r)
	p.step(d, r.event)
}

// countFromNow begins to count what is admitted.
func (p *quotaPlay) countFromNow() { p.countFrom, p.admitted = p.now, 0 }

// keeper returns the daemon that keeps the workspace's quota.
func (p *quotaPlay) keeper() *virtualDaemon {
	for _, d := range p.daemons {
		if d.machine == nil {
			continue
		}
		name, _ := regulator.Keepers(d.machine.registrarNames(), "w")
		for _, k := range p.daemons {
			if k.machine != nil && k.machine.settings.Self.Name == name {
				return k
			}
		}
	}
	p.t.Fatal("no daemon keeps the quota")
	return nil
}

func (p *quotaPlay) assertBound() {
	p.t.Helper()
	settings := testSettings()
	bound := (p.quota.PerSecond*settings.QuotaWindow.Seconds()+p.quota.Burst)*(1+settings.QuotaOverage) + settings.QuotaSlack
	first, sum, worst := 0, 0.0, 0.0
	for _, s := range p.spends {
		sum += s.size
		for p.spends[first].at <= s.at-settings.QuotaWindow {
			sum -= p.spends[first].size
			first++
		}
		worst = max(worst, sum/bound)
	}
	p.t.Logf("worst window %.3f of the bound", worst)
	if worst > 1 {
		p.t.Errorf("got %.3f of the bound in a window, want at most 1", worst)
	}
}

// assertShare checks what was admitted since countFrom.
func (p *quotaPlay) assertShare(least float64) {
	p.t.Helper()
	got := 0.0
	for _, s := range p.spends {
		if s.at >= p.countFrom {
			got += s.size
		}
	}
	got /= p.admitted
	p.t.Logf("%.3f of what the ideal bucket admits", got)
	if got < least {
		p.t.Errorf("got %.3f of what the ideal bucket admits, want %.2f", got, least)
	}
}

// TestQuotaLoad guards against requests refused within the quota, windows above the bound, and messages that grow with daemons.
func TestQuotaLoad(t *testing.T) {
	for _, daemons := range []int{3, 81, 420} {
		for _, factor := range []float64{0.9, 3} {
			t.Run(fmt.Sprintf("%d daemons, load %.1f", daemons, factor), func(t *testing.T) {
				p := newQuotaPlay(t, daemons, 90_000)
				p.countFromNow()
				p.messages, p.bytes = 0, 0
				const duration = 12 * time.Second
				p.load(duration, factor, p.anyDaemon)
				perDaemon := float64(p.messages) / duration.Seconds() / float64(daemons)
				t.Logf("%.2f messages and %.0f bytes a second for each daemon", perDaemon, float64(p.bytes)/duration.Seconds()/float64(daemons))
				p.run(time.Second)
				p.assertShare(0.9)
				p.assertBound()
				if factor < 1 && perDaemon > 8 {
					t.Errorf("got %.2f messages a second for each daemon, want at most 4 asks and their answers", perDaemon)
				}
			})
		}
	}
}

var largeQuotas = flag.Bool("quota.large", false, "play all failures of TestQuotaFailures at 420 daemons too")

// failureSizes returns the numbers of daemons at which a failure is played. All failures at 420 daemons together take more than a minute.
func failureSizes(failure string) []int {
	if *largeQuotas || failure == "keeper killed" || failure == "all killed" {
		return []int{3, 81, 420}
	}
	return []int{3, 81}
}

// TestQuotaFailures guards against a quota that is granted twice, or no longer, when something fails.
func TestQuotaFailures(t *testing.T) {
	play := func(name string, least float64, fail func(p *quotaPlay)) {
		for _, daemons := range failureSizes(name) {
			t.Run(fmt.Sprintf("%s, %d daemons", name, daemons), func(t *testing.T) {
				p := newQuotaPlay(t, daemons, 90_000)
				p.load(3*time.Second, 2, p.anyDaemon)
				fail(p)
				p.load(10*time.Second, 2, p.anyDaemon)
				p.countFromNow()
				p.load(6*time.Second, 2, p.anyDaemon)
				p.run(time.Second)
				p.assertBound()
				p.assertShare(least)
			})
		}
	}
	play("keeper killed", 0.9, func(p *quotaPlay) {
		k := p.keeper()
		for i, d := range p.daemons {
			if d == k {
				p.kill(i, fleetRestartDelay)
			}
		}
	})
	play("keeper frozen", 0.9, func(p *quotaPlay) {
		k := p.keeper()
		k.down = true
		p.after(3*time.Second, func() {
			k.down = false
			p.step(k, Ticked{})
			p.wake(k)
		})
	})
	play("keeper without peers", 0.9, func(p *quotaPlay) {
		k := p.keeper()
		k.peerless = true
		p.after(6*time.Second, func() { k.peerless = false })
	})
	play("all killed", 0.9, func(p *quotaPlay) {
		for i := range p.daemons {
			p.kill(i, fleetRestartDelay)
		}
	})
	play("store silent", 0.9, func(p *quotaPlay) { p.silenceStore(20 * time.Second) })
	play("keeper replaced", 0.9, func(p *quotaPlay) {
		name := p.keeper().machine.settings.Self.Name
		p.revision++
		p.tell(DaemonRemoved{Name: name, Revision: p.revision})
	})
	play("daemon joins", 0.9, func(p *quotaPlay) {
		p.daemons = append(p.daemons, &virtualDaemon{})
		i := len(p.daemons) - 1
		p.revision++
		p.startDaemon(i)
		p.tell(DaemonChanged{Daemon: p.record(i), Revision: p.revision})
	})
	play("messages lost", 0.9, func(p *quotaPlay) { p.peerLoss = 0.05 })
	play("lower limit", 0.9, func(p *quotaPlay) {
		p.configured = 2
		lower := p.quota
		lower.PerSecond, lower.Burst = 60_000, 60_000
		p.workspaces = []matcher.Workspace{{Name: "w", Quota: lower}}
		p.tell(ConfigurationChanged{Configuration: p.configuration()})
		p.after(fleetRelayDelay, func() {
			p.assertBound()
			p.spends, p.quota, p.level = nil, lower, 0
		})
	})
}
