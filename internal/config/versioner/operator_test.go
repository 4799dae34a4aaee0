package versioner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"iter"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/external/storer"
)

const (
	testOperators = 3
	maxKept       = 2
	poolSize      = 2
	// maxCallsPerRun bounds the consecutive calls of one operator without a fault.
	maxCallsPerRun = 6
)

// An attempt is one attempt of an operator to apply a change.
type attempt struct {
	expected int64
	changeID string
	subset   int
}

// An applyFunc is Versioner.Apply or Versioner.Reapply.
type applyFunc func(*Versioner, context.Context, cataloger.Configuration, int64, string, string, string) (Change, error)

// An operator runs one call of a Versioner at a time, as a coroutine that yields before each call to the store.
type operator struct {
	name   string
	fault  fault
	resume func() (struct{}, bool)
	stop   func()
	// unresolved is an attempt that returned an OutcomeUnknownError.
	unresolved *attempt
}

func (o *operator) busy() bool { return o.resume != nil }

// start starts a call. The coroutine ends when the call returns or the operator is stopped.
func (o *operator) start(m *machine, call func(v *Versioner)) {
	o.resume, o.stop = iter.Pull(func(yield func(struct{}) bool) {
		stopped := false
		v := &Versioner{KeepVersions: m.kept, Backoff: func(context.Context) {}}
		v.Store = m.store.store(func() fault {
			if stopped = stopped || !yield(struct{}{}); stopped {
				return faultNotSent
			}
			return o.fault
		})
		call(v)
	})
	o.step(faultNone)
}

// step runs the operator's next call to the store with a fault.
func (o *operator) step(f fault) {
	o.fault = f
	if _, running := o.resume(); !running {
		o.resume = nil
	}
}

// A machine models several concurrent operators and records the changes that took effect.
type machine struct {
	// kept is the number of versions that Prune keeps.
	kept      int
	store     *fakeStore
	operators [testOperators]operator
	pool      []cataloger.Deployment
	// accepted are the changes that were written to the head, by version from 1.
	accepted []Change
	// subsets are the deployments of each attempt, by change ID.
	subsets map[string]int
	// rejected are the attempts that were reported as not made.
	rejected map[string]bool
	attempts int
	failure  string
}

func newMachine(kept int) *machine {
	m := &machine{kept: kept, store: newFakeStore(), subsets: make(map[string]int), rejected: make(map[string]bool)}
	for i := range m.operators {
		m.operators[i].name = fmt.Sprint("operator-", i)
	}
	// Each deployment of the pool ends a shard, so configurations share shards.
	for i := 0; len(m.pool) < poolSize; i++ {
		if name := fmt.Sprint("model-", i); xxhash.Sum64String(name)%deploymentsPerShard == 0 {
			m.pool = append(m.pool, cataloger.Deployment{Name: name})
		}
	}
	m.store.onWrite = m.recordHead
	return m
}

func (m *machine) configuration(subset int) cataloger.Configuration {
	var c cataloger.Configuration
	for i, d := range m.pool {
		if subset&(1<<i) != 0 {
			c.Deployments = append(c.Deployments, d)
		}
	}
	return c
}

// recordHead records a written head. It checks that the version increases by one or is unchanged.
func (m *machine) recordHead(e storer.Entry) {
	if e.Key != HeadKey {
		return
	}
	var h head
	if err := json.Unmarshal(e.Value, &h); err != nil {
		m.fail("head is not JSON: %v", err)
		return
	}
	if h.Version == int64(len(m.accepted)) && h.ChangeID == m.accepted[h.Version-1].ChangeID {
		return
	}
	if h.Version != int64(len(m.accepted))+1 {
		m.fail("version went from %d to %d", len(m.accepted), h.Version)
	}
	for _, c := range m.accepted {
		if c.ChangeID == h.ChangeID {
			m.fail("change %s was accepted twice", h.ChangeID)
		}
	}
	m.accepted = append(m.accepted, h.Change)
}

// fail records the first failure.
func (m *machine) fail(format string, args ...any) {
	if m.failure == "" {
		m.failure = fmt.Sprintf(format, args...)
	}
}

// apply starts an attempt. When it ends, checkResult checks its result.
func (m *machine) apply(o *operator, a attempt, apply applyFunc) {
	o.start(m, func(v *Versioner) {
		o.unresolved = nil
		change, err := apply(v, context.Background(), m.configuration(a.subset), a.expected, a.changeID, o.name, "")
		m.checkResult(o, a, change, err)
	})
}

// checkResult checks the result of an attempt against the accepted changes.
func (m *machine) checkResult(o *operator, a attempt, change Change, err error) {
	var conflict *ConflictError
	var unknown *OutcomeUnknownError
	switch {
	case err == nil:
		if change.Version != a.expected+1 || change.ChangeID != a.changeID ||
			change.Version > int64(len(m.accepted)) || m.accepted[a.expected].ChangeID != a.changeID {
			m.fail("%s got success for %+v as version %d", o.name, a, change.Version)
		}
	case errors.As(err, &conflict):
		m.checkConflict(o, a, conflict)
	case errors.As(err, &unknown):
		o.unresolved = &a
	case errors.Is(err, ErrStoreUnavailable), errors.Is(err, ErrNoConfiguration):
		m.rejected[a.changeID] = true
	default:
		m.fail("%s got error %v", o.name, err)
	}
}

func (m *machine) checkConflict(o *operator, a attempt, conflict *ConflictError) {
	m.rejected[a.changeID] = true
	w := conflict.Conflicting
	if w.Version < 1 || w.Version > int64(len(m.accepted)) || m.accepted[w.Version-1].ChangeID != w.ChangeID ||
		m.accepted[w.Version-1].Operator != w.Operator {
		m.fail("%s got a conflict of %+v with %+v, which was not accepted", o.name, a, w)
	}
	if kept := int64(len(m.accepted) - m.kept); a.expected >= kept && w.Version != a.expected+1 {
		m.fail("%s got a conflict of %+v with version %d", o.name, a, w.Version)
	}
}

// check checks the invariants after every step.
func (m *machine) check(t *rapid.T) {
	if m.failure != "" {
		t.Fatal(m.failure)
	}
	for _, c := range m.accepted {
		if m.rejected[c.ChangeID] {
			t.Fatalf("change %s was accepted, but reported as not made", c.ChangeID)
		}
	}
	if len(m.accepted) == 0 {
		return
	}
	v := newVersioner(m.store, noFault)
	changes, err := v.History(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(changes), min(m.kept, len(m.accepted)); got < want {
		t.Fatalf("got %d versions in the history, want at least %d", got, want)
	}
	for i, got := range changes {
		want := m.accepted[len(m.accepted)-1-i]
		if got.Version != want.Version || got.ChangeID != want.ChangeID || got.Operator != want.Operator {
			t.Fatalf("got %+v in the history, want %+v", got, want)
		}
		if i < m.kept {
			m.checkVersion(t, v, want)
		}
	}
}

// checkVersion checks that a version reads back as it was applied.
func (m *machine) checkVersion(t *rapid.T, v *Versioner, change Change) {
	got, err := v.FetchVersion(t.Context(), change.Version, nil)
	if err != nil {
		t.Fatal(err)
	}
	want := m.configuration(m.subsets[change.ChangeID])
	if lines, err := Diff(want, got.Configuration); err != nil || len(lines) > 0 {
		t.Fatalf("version %d differs from what was applied: %v %v", change.Version, lines, err)
	}
}

// drawOperator draws an operator that is busy or idle, as given.
func (m *machine) drawOperator(t *rapid.T, busy bool) *operator {
	o := &m.operators[rapid.IntRange(0, testOperators-1).Draw(t, "operator")]
	if o.busy() != busy {
		t.Skip("operator is in another state")
	}
	return o
}

func (m *machine) drawFault(t *rapid.T) fault {
	return rapid.SampledFrom([]fault{
		faultNone, faultNone, faultNone, faultNone, faultNone, faultNone,
		faultNotSent, faultLostCall, faultLostAnswer, faultDelayed,
	}).Draw(t, "fault")
}

// begin starts a new attempt based on the version in force or a recent one.
func (m *machine) begin(t *rapid.T) {
	o := m.drawOperator(t, false)
	m.attempts++
	a := attempt{
		expected: max(0, int64(len(m.accepted))-rapid.SampledFrom([]int64{0, 0, 0, 0, 1, 3}).Draw(t, "behind")),
		changeID: fmt.Sprint("change-", m.attempts),
		subset:   rapid.IntRange(0, 1<<poolSize-1).Draw(t, "subset"),
	}
	m.subsets[a.changeID] = a.subset
	m.apply(o, a, (*Versioner).Apply)
}

// retry repeats an attempt whose outcome is unknown.
func (m *machine) retry(t *rapid.T) {
	o := m.drawOperator(t, false)
	if o.unresolved == nil {
		t.Skip("no attempt is unresolved")
	}
	m.apply(o, *o.unresolved, (*Versioner).Reapply)
}

func (m *machine) prune(t *rapid.T) {
	o := m.drawOperator(t, false)
	sweep := rapid.Bool().Draw(t, "sweep")
	o.start(m, func(v *Versioner) {
		call := v.Prune
		if sweep {
			call = v.Sweep
		}
		if err := call(context.Background()); err != nil && !errors.Is(err, ErrStoreUnavailable) {
			m.fail("%s got error %v", o.name, err)
		}
	})
}

// run runs several calls of one operator. The last one may have a fault.
func (m *machine) run(t *rapid.T) {
	o := m.drawOperator(t, true)
	for range rapid.IntRange(0, maxCallsPerRun).Draw(t, "calls") {
		if o.busy() {
			o.step(faultNone)
		}
	}
	if o.busy() {
		o.step(m.drawFault(t))
	}
}

func (m *machine) applyDelayed(t *rapid.T) {
	if len(m.store.delayed) == 0 {
		t.Skip("no call is delayed")
	}
	m.store.applyDelayed(rapid.IntRange(0, len(m.store.delayed)-1).Draw(t, "late"))
}

// finish runs every operator to its end without faults, and then the delayed calls.
func (m *machine) finish() {
	for i := range m.operators {
		for m.operators[i].busy() {
			m.operators[i].step(faultNone)
		}
	}
	for len(m.store.delayed) > 0 {
		m.store.applyDelayed(0)
	}
}

func TestOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(rapid.IntRange(1, maxKept).Draw(t, "kept"))
		defer m.stop()
		t.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"Begin":   m.begin,
			"Again":   m.retry,
			"Prune":   m.prune,
			"Deliver": m.applyDelayed,
			"Run":     m.run,
			"Run2":    m.run,
			"Run3":    m.run,
			"Crash": func(t *rapid.T) {
				o := m.drawOperator(t, true)
				o.stop()
				o.resume = nil
			},
		})
		m.finish()
		m.check(t)
	})
}

func (m *machine) stop() {
	for i := range m.operators {
		if m.operators[i].busy() {
			m.operators[i].stop()
		}
	}
}
