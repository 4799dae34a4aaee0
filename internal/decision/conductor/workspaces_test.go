package conductor

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/fleet/matcher"
)

// A contender is a workspace in a load, with its quota and the requests that it sends a second.
type contender struct {
	quota   float64
	arrives float64
	// sent and served count its requests, tokens the tokens of those served.
	sent, served, tokens int
}

func (c contender) share() float64 { return float64(c.served) / float64(max(c.sent, 1)) }

const (
	// contentionEngines have four slots each and take contentionRunTime for a request on average, so they serve 40 requests a second.
	contentionEngines = 4
	contentionRunTime = 400 * time.Millisecond
	contentionTime    = 60 * time.Second
)

// contend runs a load of workspaces for contentionTime and counts what is served. Names are w0, w1 and so on.
func contend(t *testing.T, seed uint64, contenders []contender, withWorkspaces bool) []contender {
	t.Helper()
	h := newHarness(t)
	var list []matcher.Workspace
	for i, c := range contenders {
		// The burst keeps the quotas from refusing requests: the shares of waiting ones are tested here, with the quotas as weights.
		list = append(list, matcher.Workspace{Name: fmt.Sprint("w", i), Quota: matcher.Quota{Tokens: true, PerSecond: c.quota, Burst: 1e9}})
	}
	if withWorkspaces {
		c, err := testConfiguration(t, 2).WithWorkspaces(list)
		if err != nil {
			t.Fatal(err)
		}
		h.step(ConfigurationChanged{Configuration: c})
	}
	for i := range contentionEngines {
		h.engine(fmt.Sprint("e", i), "a", loadedModel("m1"))
	}
	h.advance(5 * time.Second)

	rng := rand.New(rand.NewPCG(seed, 3))
	type running struct {
		at      time.Duration
		id      reducer.RequestID
		attempt int
	}
	var ends []running
	owners := make(map[reducer.RequestID]int)
	tokens := make(map[reducer.RequestID]int)
	apply := func(effects []Effect) {
		for _, e := range findIn[Send](effects) {
			run := time.Duration(float64(contentionRunTime) * float64(tokens[e.Request]) / 900)
			ends = append(ends, running{h.now + run, e.Request, e.Attempt})
		}
	}
	next := make([]time.Duration, len(contenders))
	for end := h.now + contentionTime; h.now < end; {
		h.now += time.Millisecond
		for i := range contenders {
			for ; h.now > next[i]; next[i] = max(next[i], h.now-time.Millisecond) + time.Duration(rng.ExpFloat64()/contenders[i].arrives*float64(time.Second)) {
				h.requests++
				id := reducer.RequestID(h.requests)
				owners[id], tokens[id] = i, 200+rng.IntN(1400)
				contenders[i].sent++
				e := RequestArrived{
					Request: id, ID: "r", Route: quick, Version: 2, Service: engineService, Model: "m1", TimeLimit: quick.Timeout,
					InputTokens: tokens[id] / 2, OutputTokens: tokens[id] - tokens[id]/2, Fingerprint: uint64(id),
				}
				if withWorkspaces {
					e.Workspace = fmt.Sprint("w", i)
				}
				apply(h.step(e))
			}
		}
		for len(ends) > 0 {
			i := 0
			for j := range ends {
				if ends[j].at < ends[i].at {
					i = j
				}
			}
			if ends[i].at > h.now {
				break
			}
			r := ends[i]
			ends = slices.Delete(ends, i, i+1)
			owner := &contenders[owners[r.id]]
			owner.served++
			owner.tokens += tokens[r.id]
			apply(h.step(AttemptEnded{Request: r.id, Attempt: r.attempt, Outcome: reducer.AttemptDone, Status: 200, Latency: contentionRunTime}))
		}
		if h.machine.NextWake() <= h.now {
			effects := h.step(Ticked{})
			apply(effects)
			if len(findIn[RenewLease](effects)) > 0 {
				apply(h.step(LeaseRenewed{SentAt: h.now, OK: true}))
			}
		}
		h.all = nil
	}
	return contenders
}

// usual returns workspaces with equal quotas, the first of which sends seven times as much as each other one.
func usual(count int, arrives float64) []contender {
	list := make([]contender, count)
	for i := range list {
		list[i] = contender{quota: 3000, arrives: arrives}
	}
	list[0].arrives = 7 * arrives
	return list
}

// leastShare returns the least share of a workspace's requests that is served, relative to the share of all.
func leastShare(list []contender) float64 {
	all := contender{}
	least := 1.0
	for _, c := range list {
		all.sent, all.served = all.sent+c.sent, all.served+c.served
	}
	for _, c := range list {
		least = min(least, c.share()/all.share())
	}
	return least
}

// jain returns Jain's index of the tokens that each workspace got per unit of its quota.
func jain(list []contender) float64 {
	sum, squares := 0.0, 0.0
	for _, c := range list {
		x := float64(c.tokens) / c.quota
		sum, squares = sum+x, squares+x*x
	}
	return sum * sum / (float64(len(list)) * squares)
}

func logContenders(t *testing.T, list []contender) {
	t.Helper()
	total := 0
	for i, c := range list {
		total += c.served
		t.Logf("w%d: quota %.0f, %d sent, %.3f served, %d tokens", i, c.quota, c.sent, c.share(), c.tokens)
	}
	t.Logf("%d served, least share %.3f of that of all, Jain's index %.3f", total, leastShare(list), jain(list))
}

// Guards against a workspace at seven times its usual load that takes the room of the others, and against one that starves
// because of it.
func TestFairShares(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("a flood leaves the others their room, seed %d", seed), func(t *testing.T) {
			list := contend(t, seed, usual(10, 3.2), true)
			logContenders(t, list)
			for i, c := range list[1:] {
				if c.share() < 0.9 {
					t.Errorf("got %.3f of the requests of w%d served, want at least 0.9", c.share(), i+1)
				}
			}
			if least := leastShare(list); least < 0.25 {
				t.Errorf("got a least share of %.3f of that of all, want at least 0.25", least)
			}
		})
		t.Run(fmt.Sprintf("nobody starves where all want more than there is, seed %d", seed), func(t *testing.T) {
			list := contend(t, seed, usual(10, 6), true)
			logContenders(t, list)
			if least := leastShare(list); least < 0.25 {
				t.Errorf("got a least share of %.3f of that of all, want at least 0.25", least)
			}
		})
		t.Run(fmt.Sprintf("competing workspaces are served in proportion to their quotas, seed %d", seed), func(t *testing.T) {
			list := []contender{{quota: 1900, arrives: 15}, {quota: 3800, arrives: 20}, {quota: 7600, arrives: 30}, {quota: 15200, arrives: 50}}
			contend(t, seed, list, true)
			logContenders(t, list)
			if index := jain(list); index < 0.95 {
				t.Errorf("got Jain's index %.3f, want at least 0.95", index)
			}
		})
	}
}

// Guards against a change of order in deployments without workspaces.
func TestOrderWithoutWorkspaces(t *testing.T) {
	list := contend(t, 1, usual(10, 3.2), false)
	logContenders(t, list)
	h := newHarness(t)
	h.engine("e1", "a", loadedModel("m1"))
	for range 8 {
		h.request(quick, "m1", "")
	}
	queue := h.machine.service(engineService).queue
	if !slices.IsSortedFunc(queue, func(a, b *request) int { return int(a.Request) - int(b.Request) }) || len(queue) == 0 {
		t.Errorf("got %d waiting requests in another order than that of their arrival", len(queue))
	}
}
