package versioner

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/config/questioner"
	"samphirewharf/internal/external/storer"
)

var testTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func noFault() fault { return faultNone }

func newVersioner(s *fakeStore, next func() fault) *Versioner {
	return &Versioner{
		Store:        s.store(next),
		KeepVersions: 3,
		Now:          func() time.Time { return testTime },
		Backoff:      func(context.Context) {},
	}
}

func assertEqual[T any](t *testing.T, got, want T) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func assertIs(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("got error %v, want %v", got, want)
	}
}

func assertApplied(t *testing.T, v *Versioner, c cataloger.Configuration, expected int64, changeID string) {
	t.Helper()
	change, err := v.Apply(t.Context(), c, expected, changeID, "ayse", "")
	if err != nil {
		t.Fatal(err)
	}
	assertEqual(t, change.Version, expected+1)
	assertEqual(t, change.ChangeID, changeID)
}

func mustGenerate(t testing.TB, data []byte) cataloger.Configuration {
	t.Helper()
	q, err := questioner.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	c, _ := questioner.Generate(q)
	return c
}

func TestApplyAndFetch(t *testing.T) {
	s := newFakeStore()
	v := newVersioner(s, noFault)
	_, err := v.Fetch(t.Context(), nil)
	assertIs(t, err, ErrNoConfiguration)
	c := mustGenerate(t, questioner.Template())
	assertApplied(t, v, c, 0, "first")
	got, err := v.Fetch(t.Context(), nil)
	if err != nil {
		t.Fatal(err)
	}
	c.Version, c.ChangeID = 1, "first"
	assertEqual(t, got.Configuration, c)
	assertEqual(t, got.Revision, s.entries[HeadKey].Revision)
}

func TestTwoYears(t *testing.T) {
	s := newFakeStore()
	v := newVersioner(s, noFault)
	c := mustGenerate(t, questioner.TwoYears())
	assertApplied(t, v, c, 0, "first")
	before, err := v.Fetch(t.Context(), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Run("value size", func(t *testing.T) {
		largest, total := 0, 0
		for _, e := range s.entries {
			largest = max(largest, len(e.Value))
			total += len(e.Value)
		}
		t.Logf("%d values, the largest of %d bytes, %d bytes in all", len(s.entries), largest, total)
		if largest > 128<<10 {
			t.Errorf("got a value of %d bytes, want at most 128 KiB", largest)
		}
	})
	t.Run("change of one deployment writes one shard", func(t *testing.T) {
		changed := c
		changed.Deployments = append([]cataloger.Deployment(nil), c.Deployments...)
		changed.Deployments[300].MaxReplicas++
		written := 0
		s.onWrite = func(e storer.Entry) {
			if strings.HasPrefix(e.Key, shardPrefix) {
				written++
			}
		}
		assertApplied(t, v, changed, 1, "second")
		assertEqual(t, written, 1)
		s.calls = 0
		after, err := v.Fetch(t.Context(), before.Shards)
		if err != nil {
			t.Fatal(err)
		}
		assertEqual(t, s.calls, 2)
		assertEqual(t, after.Configuration.Deployments, changed.Deployments)
	})
	t.Run("prune reads only unused shards", func(t *testing.T) {
		v.KeepVersions = 1
		s.calls = 0
		assertIs(t, v.Prune(t.Context()), nil)
		// Reads of the head, the history and the replaced shard, the swap of the head, and the deletes of the
		// history entry and the shard.
		assertEqual(t, s.calls, 6)
	})
}

func TestConflictNamesTheWinner(t *testing.T) {
	v := newVersioner(newFakeStore(), noFault)
	assertApplied(t, v, cataloger.Configuration{}, 0, "first")
	_, err := v.Apply(t.Context(), cataloger.Configuration{}, 0, "second", "deniz", "")
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("got %v, want a ConflictError", err)
	}
	assertEqual(t, conflict.Conflicting.ChangeID, "first")
	for _, want := range []string{"version 1", "first", `"ayse"`} {
		if got := err.Error(); !strings.Contains(got, want) {
			t.Errorf("got %q, want it to name %q", got, want)
		}
	}
}

// TestApplyFaultAtEachCall injects each fault into each call of a second change.
func TestApplyFaultAtEachCall(t *testing.T) {
	tests := []struct {
		fault fault
		// applied reports whether the change must succeed.
		applied bool
	}{
		{faultNotSent, false},
		{faultLostCall, true},
		{faultLostAnswer, true},
		{faultDelayed, true},
	}
	for _, test := range tests {
		for at := 1; at <= 4; at++ {
			t.Run(fmt.Sprintf("%s at call %d", test.fault, at), func(t *testing.T) {
				s := newFakeStore()
				assertApplied(t, newVersioner(s, noFault), mustGenerate(t, questioner.Template()), 0, "first")
				calls := 0
				v := newVersioner(s, func() fault {
					calls++
					if calls == at {
						return test.fault
					}
					return faultNone
				})
				_, err := v.Apply(t.Context(), cataloger.Configuration{}, 1, "second", "deniz", "")
				if test.applied != (err == nil) {
					t.Errorf("got error %v, want success: %t", err, test.applied)
				}
				if !test.applied {
					assertIs(t, err, ErrStoreUnavailable)
				}
				for len(s.delayed) > 0 {
					s.applyDelayed(0)
				}
				assertHistory(t, newVersioner(s, noFault), test.applied)
			})
		}
	}
}

// assertHistory checks the change IDs in the history, with or without the second change.
func assertHistory(t *testing.T, v *Versioner, second bool) {
	t.Helper()
	want := []string{"first"}
	if second {
		want = []string{"second", "first"}
	}
	changes, err := v.History(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, c := range changes {
		got = append(got, c.ChangeID)
	}
	assertEqual(t, got, want)
}

func TestOutcomeUnknownIsSettledLater(t *testing.T) {
	s := newFakeStore()
	faults := []fault{faultNone, faultNone, faultDelayed, faultNotSent}
	v := newVersioner(s, func() fault {
		f := faults[0]
		faults = append(faults[1:], faultNotSent)
		return f
	})
	_, err := v.Apply(t.Context(), cataloger.Configuration{}, 0, "first", "ayse", "")
	var unknown *OutcomeUnknownError
	if !errors.As(err, &unknown) || errors.Is(err, ErrStoreUnavailable) {
		t.Fatalf("got %v, want an OutcomeUnknownError", err)
	}
	_, err = v.Reapply(t.Context(), cataloger.Configuration{}, 0, "first", "ayse", "")
	if !errors.As(err, &unknown) {
		t.Errorf("got %v while the service is down, want an OutcomeUnknownError", err)
	}
	s.applyDelayed(0)
	change, err := newVersioner(s, noFault).Reapply(t.Context(), cataloger.Configuration{}, 0, "first", "ayse", "")
	assertIs(t, err, nil)
	assertEqual(t, change.ChangeID, "first")
	assertEqual(t, len(s.entries), 2)
}

func TestPrune(t *testing.T) {
	s := newFakeStore()
	v := newVersioner(s, noFault)
	c := mustGenerate(t, questioner.Template())
	for i := range int64(6) {
		c.Limits.RetryShare = float64(i)
		assertApplied(t, v, c, i, fmt.Sprint("change-", i))
	}
	if err := v.Prune(t.Context()); err != nil {
		t.Fatal(err)
	}
	changes, err := v.History(t.Context())
	assertIs(t, err, nil)
	assertEqual(t, len(changes), 3)
	_, err = v.FetchVersion(t.Context(), 3, nil)
	assertIs(t, err, ErrUnknownVersion)
	kept, err := v.FetchVersion(t.Context(), 4, nil)
	assertIs(t, err, nil)
	assertEqual(t, kept.Configuration.Limits.RetryShare, 3)
	deployments := len(kept.Change.Shards) - 1
	assertEqual(t, len(s.entriesWithPrefix(shardPrefix)), 3+deployments)
	s.store(noFault).Swap(t.Context(), shardPrefix+"orphan", nil, 0, 0)
	assertIs(t, v.Sweep(t.Context()), nil)
	assertEqual(t, len(s.entriesWithPrefix(shardPrefix)), 3+deployments)
}

// TestLateDelete checks that delayed deletes of two prunes don't delete a shard that a later change uses again.
func TestLateDelete(t *testing.T) {
	for _, between := range []int64{0, 1} {
		t.Run(fmt.Sprintf("%d changes between", between), func(t *testing.T) {
			s := newFakeStore()
			v := newVersioner(s, noFault)
			v.KeepVersions = 1
			delayed := newVersioner(s, noFault)
			delayed.KeepVersions = 1
			delayed.Store.Delete = s.store(func() fault { return faultDelayed }).Delete
			withRetryShare := func(f float64) cataloger.Configuration {
				return cataloger.Configuration{Limits: cataloger.Limits{RetryShare: f}}
			}
			assertApplied(t, v, withRetryShare(1), 0, "first")
			assertApplied(t, v, withRetryShare(2), 1, "second")
			assertIs(t, delayed.Prune(t.Context()), nil)
			assertIs(t, delayed.Prune(t.Context()), nil)
			for i := range between {
				assertApplied(t, v, withRetryShare(3), 2+i, "third")
			}
			assertApplied(t, v, withRetryShare(1), 2+between, "last")
			for len(s.delayed) > 0 {
				s.applyDelayed(0)
			}
			got, err := v.Fetch(t.Context(), nil)
			assertIs(t, err, nil)
			assertEqual(t, got.Configuration.Limits.RetryShare, 1)
			assertIs(t, v.Prune(t.Context()), nil)
			assertIs(t, v.Prune(t.Context()), nil)
			assertEqual(t, len(s.entries), 2)
		})
	}
}

func TestFetchDamaged(t *testing.T) {
	s := newFakeStore()
	v := newVersioner(s, noFault)
	assertApplied(t, v, mustGenerate(t, questioner.Template()), 0, "first")
	for _, e := range s.entriesWithPrefix(shardPrefix) {
		other, err := encodeShard(shardContent{})
		assertIs(t, err, nil)
		s.entries[e.Key] = storer.Entry{Key: e.Key, Value: other.value, Revision: e.Revision}
	}
	_, err := v.Fetch(t.Context(), nil)
	assertIs(t, err, ErrCorrupted)
	clear(s.entries)
	s.entries[HeadKey] = storer.Entry{Value: []byte(`{"Version": 1, "Shards": ["x"]}`), Revision: 1}
	_, err = v.Fetch(t.Context(), nil)
	assertIs(t, err, ErrCorrupted)
}

func TestDiff(t *testing.T) {
	a := mustGenerate(t, questioner.Template())
	b := a
	b.Version = 9
	b.Weighting = cataloger.WeightIdleHours
	b.Deployments = append([]cataloger.Deployment{{Name: "new"}}, a.Deployments[1:]...)
	b.Deployments[1].MaxReplicas = 7
	b.Services = append([]cataloger.Service(nil), a.Services...)
	b.Services[1].NonIdempotent = nil
	got, err := Diff(a, b)
	assertIs(t, err, nil)
	want := []string{
		"- Deployments.drafts",
		"~ Deployments.lookups-1.MaxReplicas: 2 -> 7",
		"+ Deployments.new",
		`- Services.bookings.NonIdempotent [{"Method":"POST","PathPrefix":"/bookings"}]`,
		`~ Weighting: "ColdStart" -> "IdleHours"`,
	}
	assertEqual(t, got, want)
	same, err := Diff(a, a)
	assertIs(t, err, nil)
	assertEqual(t, len(same), 0)
}

func FuzzDecode(f *testing.F) {
	shards, err := encodeShards(mustGenerate(f, questioner.Template()))
	if err != nil {
		f.Fatal(err)
	}
	for _, s := range shards {
		f.Add(s.hash, s.value)
	}
	f.Add("", []byte(`{"Version": 1, "Retired": [{}]}`))
	f.Fuzz(func(t *testing.T, hash string, value []byte) {
		c, err := decodeShard(hash, value)
		if err != nil {
			assertIs(t, err, ErrCorrupted)
		} else {
			mergeShards(Change{Shards: []string{hash}}, Shards{hash: c})
		}
		s := newFakeStore()
		s.entries[HeadKey] = storer.Entry{Key: HeadKey, Value: value, Revision: 1}
		s.entries[shardPrefix+hash] = storer.Entry{Value: value, Revision: 2}
		_, err = newVersioner(s, noFault).Fetch(t.Context(), nil)
		if err != nil && !errors.Is(err, ErrNoConfiguration) {
			assertIs(t, err, ErrCorrupted)
		}
	})
}
