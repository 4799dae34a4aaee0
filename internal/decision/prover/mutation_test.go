package prover_test

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/external/lister"
	"samphirewharf/internal/external/storer"
)

// mutationCases bounds the random cases that are tried to detect a mutation.
const mutationCases = 250

// A mutation injects a fault between the reducer and its executor. The zero value injects none.
type mutation struct {
	// event changes an event, or drops it by returning false; effects changes the effects of an event.
	event   func(p *process, event reducer.Event) (reducer.Event, bool)
	effects func(p *process, effects []reducer.Effect) []reducer.Effect
	// ignoreExpiry makes processes send expired orders.
	ignoreExpiry bool
}

func (m mutation) mutateEvent(p *process, event reducer.Event) (reducer.Event, bool) {
	if m.event == nil {
		return event, true
	}
	return m.event(p, event)
}

func (m mutation) mutateEffects(p *process, effects []reducer.Effect) []reducer.Effect {
	if m.effects == nil {
		return effects
	}
	return m.effects(p, effects)
}

// TestMutations injects faults against each guarantee and checks that the fuzzer or a scenario detects them.
func TestMutations(t *testing.T) {
	tests := []struct {
		guarantee, name string
		m               mutation
	}{
		{"replicas", "a load order is sent twice", mutation{effects: sendLoadTwice}},
		{"replicas", "a placement write with an unknown outcome counts as written", mutation{event: unknownAsOK("cells/")}},
		{"replicas", "an engine's report lacks its replicas", mutation{event: reportNoReplicas}},
		{"memory", "an engine's memory is reported twice as large", mutation{event: doubleMemory}},
		{"in time", "a request is not refused at its deadline", mutation{effects: dropDeadlineRefusals}},
		{"in time", "a refusal has no retry delay", mutation{effects: dropRetryAfter}},
		{"whole answers", "a stream is resumed one token too late", mutation{effects: resumeTooLate}},
		{"whole answers", "a repeated request gets another request's answer", mutation{effects: crossAnswers}},
		{"not run", "a request that was sent is refused as not run", mutation{effects: refuseNotRun}},
		{"at most once", "a claim with an unknown outcome counts as written", mutation{event: unknownAsOK("claims/")}},
		{"at most once", "a claim whose swap conflicts counts as written", mutation{event: conflictAsOK("claims/")}},
		{"at most once", "a failed attempt counts as not sent", mutation{event: failedAsNotSent}},
		{"leaving servers", "leaving servers count as live", mutation{event: leavingAsLive}},
		{"leaving servers", "an expired order is sent", mutation{ignoreExpiry: true}},
		{"planned stop", "a daemon exits without draining", mutation{effects: exitAtOnce}},
		{"configuration", "a newer configuration is ignored", mutation{event: ignoreNewer}},
		{"idle", "a former placer does not report renounced orders", mutation{effects: dropRenounced}},
		{"idle", "no replica is unloaded", mutation{effects: dropUnloads}},
	}
	for _, test := range tests {
		t.Run(test.guarantee+"/"+test.name, func(t *testing.T) {
			t.Parallel()
			found, what := findByFuzzing(test.m)
			if found == "" {
				found, what = findByScenarios(t, test.m)
			}
			if found == "" {
				t.Fatalf("got no violation in %d cases and all scenarios", mutationCases)
			}
			t.Logf("found by %s: %s", found, what)
		})
	}
	t.Run("none", func(t *testing.T) {
		t.Parallel()
		if found, what := findByFuzzing(mutation{}); found != "" {
			t.Errorf("got a violation without a mutation, by %s: %s", found, what)
		}
	})
}

// findByFuzzing returns the first random case that detects a mutation, and the first violation.
func findByFuzzing(m mutation) (found, what string) {
	script := rapid.Custom(drawScript)
	for i := range mutationCases {
		if _, err := runScript(script.Example(i), m); err != nil {
			what, _, _ = strings.Cut(err.Error(), ";")
			return fmt.Sprintf("case %d", i+1), what
		}
	}
	return "", ""
}

// findByScenarios returns the first script that detects a mutation, and the first violation.
func findByScenarios(t *testing.T, m mutation) (found, what string) {
	files, err := filepath.Glob("testdata/scripts/*.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if _, err := runScript(readScript(t, file), m); err != nil {
			what, _, _ = strings.Cut(err.Error(), ";")
			return filepath.Base(file), what
		}
	}
	return "", ""
}

func sendLoadTwice(_ *process, effects []reducer.Effect) []reducer.Effect {
	for _, effect := range effects {
		if e, ok := effect.(reducer.SendOrder); ok && e.Order.Kind == orderer.KindLoad {
			effects = append(effects, e)
		}
	}
	return effects
}

func unknownAsOK(prefix string) func(*process, reducer.Event) (reducer.Event, bool) {
	return resultAsOK(prefix, storer.ResultUnknown)
}

func conflictAsOK(prefix string) func(*process, reducer.Event) (reducer.Event, bool) {
	return resultAsOK(prefix, storer.ResultConflict)
}

func resultAsOK(prefix string, result storer.Result) func(*process, reducer.Event) (reducer.Event, bool) {
	return func(p *process, event reducer.Event) (reducer.Event, bool) {
		e, ok := event.(reducer.StoreSwapped)
		if ok && e.Result == result && strings.HasPrefix(p.swaps[e.Op], prefix) {
			e.Result = storer.ResultOK
			e.Revision = p.w.store.revision
			return e, true
		}
		return event, true
	}
}

func reportNoReplicas(p *process, event reducer.Event) (reducer.Event, bool) {
	if e, ok := event.(reducer.ServerPolled); ok && p.w.chance(5) {
		e.Report.Replicas = nil
		return e, true
	}
	return event, true
}

func doubleMemory(_ *process, event reducer.Event) (reducer.Event, bool) {
	switch e := event.(type) {
	case reducer.HostsListed:
		e.Hosts = slices.Clone(e.Hosts)
		for i := range e.Hosts {
			e.Hosts[i].MemoryBytes *= 2
		}
		return e, true
	case reducer.ServerPolled:
		e.Report.MemoryBytes *= 2
		return e, true
	default:
		return event, true
	}
}

func dropDeadlineRefusals(_ *process, effects []reducer.Effect) []reducer.Effect {
	return slices.DeleteFunc(effects, func(effect reducer.Effect) bool {
		e, ok := effect.(reducer.Refuse)
		return ok && e.Refusal.Code == refuser.CodeDeadlineExpired
	})
}

func changeRefusals(effects []reducer.Effect, change func(r *refuser.Refusal)) []reducer.Effect {
	for i, effect := range effects {
		if e, ok := effect.(reducer.Refuse); ok {
			change(&e.Refusal)
			effects[i] = e
		}
	}
	return effects
}

func dropRetryAfter(_ *process, effects []reducer.Effect) []reducer.Effect {
	return changeRefusals(effects, func(r *refuser.Refusal) { r.RetryAfter = 0 })
}

func refuseNotRun(_ *process, effects []reducer.Effect) []reducer.Effect {
	return changeRefusals(effects, func(r *refuser.Refusal) { r.Ran = refuser.NotRun })
}

func resumeTooLate(_ *process, effects []reducer.Effect) []reducer.Effect {
	for i, effect := range effects {
		if e, ok := effect.(reducer.Dispatch); ok && e.ResumeFrom > 0 {
			e.ResumeFrom++
			effects[i] = e
		}
	}
	return effects
}

func crossAnswers(_ *process, effects []reducer.Effect) []reducer.Effect {
	for i, effect := range effects {
		if e, ok := effect.(reducer.Answer); ok {
			e.Body = append(slices.Clone(e.Body), "-other"...)
			effects[i] = e
		}
	}
	return effects
}

func failedAsNotSent(_ *process, event reducer.Event) (reducer.Event, bool) {
	if e, ok := event.(reducer.AttemptEnded); ok && e.Outcome == reducer.AttemptFailed {
		e.Outcome = reducer.AttemptNotSent
		return e, true
	}
	return event, true
}

func leavingAsLive(_ *process, event reducer.Event) (reducer.Event, bool) {
	e, ok := event.(reducer.HostsListed)
	if !ok {
		return event, true
	}
	e.Hosts = slices.Clone(e.Hosts)
	for i := range e.Hosts {
		e.Hosts[i].State = lister.HostLive
	}
	return e, true
}

func exitAtOnce(_ *process, effects []reducer.Effect) []reducer.Effect {
	for _, effect := range effects {
		if e, ok := effect.(reducer.Noted); ok && e.Message == "planned stop started" {
			return append(effects, reducer.Exit{})
		}
	}
	return effects
}

func ignoreNewer(p *process, event reducer.Event) (reducer.Event, bool) {
	e, ok := event.(reducer.ConfigurationLoaded)
	return event, !ok || p.catalog == nil || e.Catalog == nil
}

func dropRenounced(_ *process, effects []reducer.Effect) []reducer.Effect {
	for i, effect := range effects {
		if e, ok := effect.(reducer.SendPeer); ok && e.Message.Needs != nil {
			needs := *e.Message.Needs
			needs.Renounced = nil
			e.Message.Needs = &needs
			effects[i] = e
		}
	}
	return effects
}

func dropUnloads(_ *process, effects []reducer.Effect) []reducer.Effect {
	return slices.DeleteFunc(effects, func(effect reducer.Effect) bool {
		e, ok := effect.(reducer.SendOrder)
		return ok && e.Order.Kind == orderer.KindUnload
	})
}
