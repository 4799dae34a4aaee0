package claimer

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	"samphirewharf/internal/external/storer"
)

var completedResult = Result{Status: 201, ContentType: "application/json", Body: []byte(`{"Booked":true}`)}

// A scenario is the store and the clock that the daemons of one test share.
type scenario struct {
	t      *testing.T
	store  *fakeStore
	now    time.Duration
	nextID uint64
}

func newScenario(t *testing.T) *scenario {
	t.Helper()
	return &scenario{t: t, store: newFakeStore()}
}

func (s *scenario) moment() Moment { return Moment{Monotonic: s.now, Wall: historyStart.Add(s.now)} }

// newOwner returns a new daemon that owns the only partition.
func (s *scenario) newOwner(instance string) *Machine {
	s.t.Helper()
	m := New(Settings{Cell: "cell", Daemon: "daemon", Instance: instance, Partitions: 1, SegmentBytes: 400})
	s.answerCalls(m, m.AssignPartition(s.moment(), 0))
	return m
}

// request returns a new request for the key.
func (s *scenario) request(key string) Request {
	s.nextID++
	return Request{ID: s.nextID, Key: key, BodyHash: 1, Deadline: s.now + 10*time.Second}
}

// claim requests a claim for the key and answers the store calls.
func (s *scenario) claim(m *Machine, key string) []Action {
	s.t.Helper()
	return s.answerCalls(m, m.Claim(s.moment(), s.request(key)))
}

// complete lets a new request run to its end.
func (s *scenario) complete(m *Machine, key string) {
	s.t.Helper()
	assertActions(s.t, s.claim(m, key), "Granted")
	s.answerCalls(m, m.Complete(s.moment(), s.nextID, completedResult))
}

// answerCalls answers the store calls until there are none left and returns the other actions.
func (s *scenario) answerCalls(m *Machine, actions []Action) []Action {
	s.t.Helper()
	var decisions []Action
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		if _, ok := operationID(a); !ok {
			decisions = append(decisions, a)
			continue
		}
		actions = append(actions, m.HandleStoreAnswer(s.moment(), s.store.apply(a))...)
	}
	return decisions
}

// failCall answers a single store call with a result other than success.
func (s *scenario) failCall(m *Machine, actions []Action, result storer.Result) []Action {
	s.t.Helper()
	if len(actions) != 1 {
		s.t.Fatalf("got %v, want one store call", actions)
	}
	op, _ := operationID(actions[0])
	return m.HandleStoreAnswer(s.moment(), Answer{Op: op, Result: result})
}

// advance advances the clock and answers the store calls that become due.
func (s *scenario) advance(m *Machine, d time.Duration) []Action {
	s.t.Helper()
	s.now += d
	return s.answerCalls(m, m.Tick(s.moment()))
}

// assertActions compares the types of actions, and the code and Ran of Denied actions.
func assertActions(t *testing.T, actions []Action, want ...string) {
	t.Helper()
	var got []string
	for _, a := range actions {
		kind := reflect.TypeOf(a).Name()
		if d, ok := a.(Denied); ok {
			kind = d.Code.String() + " " + d.Ran.String()
		}
		got = append(got, kind)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestRepeats(t *testing.T) {
	cases := []struct {
		name string
		// before is what happens to the key before the repeated request. It returns the daemon that gets the
		// repeated request.
		before func(*scenario, *Machine) *Machine
		want   string
	}{
		{"finished", func(s *scenario, m *Machine) *Machine {
			s.complete(m, "k")
			return m
		}, "Replayed"},
		{"finished at a former owner", func(s *scenario, m *Machine) *Machine {
			s.complete(m, "k")
			return s.newOwner("2")
		}, "Replayed"},
		{"finished at a former owner after the hand-over", func(s *scenario, m *Machine) *Machine {
			s.claim(m, "k")
			next := s.newOwner("2")
			s.answerCalls(m, m.RevokePartition(s.moment(), 0))
			s.answerCalls(m, m.Complete(s.moment(), s.nextID, completedResult))
			return next
		}, "Replayed"},
		{"finished with a large answer", func(s *scenario, m *Machine) *Machine {
			s.claim(m, "k")
			s.answerCalls(m, m.Complete(s.moment(), s.nextID, Result{Status: 200, Body: make([]byte, DefaultMaxAnswerBytes+1)}))
			return m
		}, "AlreadyRan ran"},
		{"running", func(s *scenario, m *Machine) *Machine {
			s.claim(m, "k")
			return m
		}, "AlreadyInProgress may have run"},
		{"failed", func(s *scenario, m *Machine) *Machine {
			s.claim(m, "k")
			s.answerCalls(m, m.Fail(s.moment(), s.nextID))
			return m
		}, "OutcomeUnknown may have run"},
		{"owner died before its claim was written", func(s *scenario, m *Machine) *Machine {
			m.Claim(s.moment(), s.request("k"))
			return s.newOwner("2")
		}, "Granted"},
		{"owner died between its claim and its dispatch", func(s *scenario, m *Machine) *Machine {
			s.store.apply(m.Claim(s.moment(), s.request("k"))[0])
			return s.newOwner("2")
		}, "OutcomeUnknown may have run"},
		{"owner died after its dispatch", func(s *scenario, m *Machine) *Machine {
			s.claim(m, "k")
			return s.newOwner("2")
		}, "OutcomeUnknown may have run"},
		{"released", func(s *scenario, m *Machine) *Machine {
			s.claim(m, "k")
			s.answerCalls(m, m.Release(s.moment(), s.nextID))
			return s.newOwner("2")
		}, "Granted"},
		{"expired after the retention", func(s *scenario, m *Machine) *Machine {
			s.complete(m, "k")
			s.complete(m, "other")
			s.advance(m, DefaultRetention+DefaultClockMargin+time.Second)
			return s.newOwner("2")
		}, "Granted"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScenario(t)
			m := c.before(s, s.newOwner("1"))
			got := s.claim(m, "k")
			assertActions(t, got, c.want)
			if replayed, ok := got[0].(Replayed); ok && string(replayed.Body) != string(completedResult.Body) {
				t.Errorf("got answer %q, want %q", replayed.Body, completedResult.Body)
			}
		})
	}
	t.Run("another body", func(t *testing.T) {
		s := newScenario(t)
		m := s.newOwner("1")
		s.complete(m, "k")
		r := s.request("k")
		r.BodyHash = 2
		assertActions(t, m.Claim(s.moment(), r), "IdempotencyKeyReused not run")
	})
	t.Run("a key older than the retention", func(t *testing.T) {
		s := newScenario(t)
		m := s.newOwner("1")
		at := historyStart.Add(-DefaultRetention - time.Second).UnixMilli()
		key := fmt.Sprintf("%08x-%04x-7000-8000-000000000000", at>>16, at&0xffff)
		assertActions(t, s.claim(m, key), "IdempotencyKeyExpired may have run")
	})
}

func TestLostAnswers(t *testing.T) {
	t.Run("a committed write is granted after it was read back", func(t *testing.T) {
		s := newScenario(t)
		m := s.newOwner("1")
		write := m.Claim(s.moment(), s.request("k"))
		s.store.apply(write[0])
		assertActions(t, s.answerCalls(m, s.failCall(m, write, storer.ResultUnknown)), "Granted")
	})
	t.Run("an uncommitted write is replaced and can't be committed later", func(t *testing.T) {
		s := newScenario(t)
		m := s.newOwner("1")
		write := m.Claim(s.moment(), s.request("k"))
		assertActions(t, s.answerCalls(m, s.failCall(m, write, storer.ResultUnknown)), "Granted")
		if got, want := s.store.apply(write[0]).Result, storer.ResultConflict; got != want {
			t.Errorf("got result %d of the late write, want %d", got, want)
		}
	})
	t.Run("a paused former owner is not granted what the new owner claimed", func(t *testing.T) {
		s := newScenario(t)
		former := s.newOwner("1")
		write := former.Claim(s.moment(), s.request("k"))
		next := s.newOwner("2")
		assertActions(t, s.claim(next, "k"), "Granted")
		assertActions(t, s.answerCalls(former, write), "OutcomeUnknown may have run")
	})
	t.Run("a claim that is committed after its deadline is released", func(t *testing.T) {
		s := newScenario(t)
		m := s.newOwner("1")
		write := m.Claim(s.moment(), s.request("k"))
		s.now += time.Minute
		assertActions(t, m.Tick(s.moment()), "DeadlineExpired not run")
		assertActions(t, s.answerCalls(m, write))
		assertActions(t, s.claim(s.newOwner("2"), "k"), "Granted")
	})
}

func TestStoreDown(t *testing.T) {
	for _, result := range []storer.Result{storer.ResultNotSent, storer.ResultUnknown} {
		t.Run(fmt.Sprintf("result %d", result), func(t *testing.T) {
			s := newScenario(t)
			m := s.newOwner("1")
			write := m.Claim(s.moment(), s.request("a"))
			actions := s.failCall(m, write, result)
			if result == storer.ResultUnknown {
				s.store.apply(write[0])
				actions = s.failCall(m, actions, result)
			}
			assertActions(t, actions, "ClaimUnavailable not run")
			assertActions(t, m.Claim(s.moment(), s.request("b")), "ClaimUnavailable not run")
			if wake, ok := m.NextWake(); !ok || wake != s.now+DefaultRetryInterval {
				t.Errorf("got wake at %v, want after %v", wake, DefaultRetryInterval)
			}
			assertActions(t, s.advance(m, DefaultRetryInterval))
			assertActions(t, s.claim(m, "c"), "Granted")
			assertActions(t, s.claim(s.newOwner("2"), "a"), "Granted")
		})
	}
}

func TestStoreDownForLong(t *testing.T) {
	s := newScenario(t)
	m := s.newOwner("1")
	actions := s.failCall(m, m.Claim(s.moment(), s.request("a")), storer.ResultNotSent)
	assertActions(t, actions, "ClaimUnavailable not run")
	for _, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, MaxRetryInterval, MaxRetryInterval} {
		wake, ok := m.NextWake()
		if got := wake - s.now; !ok || got != want {
			t.Errorf("got %v until the next attempt, want %v", got, want)
		}
		s.now = wake
		s.failCall(m, m.Tick(s.moment()), storer.ResultNotSent)
	}
	assertActions(t, s.advance(m, MaxRetryInterval))
	assertActions(t, s.claim(m, "b"), "Granted")
}

func TestSealing(t *testing.T) {
	t.Run("two owners keep every claim", func(t *testing.T) {
		s := newScenario(t)
		owners := []*Machine{s.newOwner("1"), s.newOwner("2")}
		for n := range 20 {
			s.complete(owners[n/2%2], fmt.Sprint("k", n))
		}
		reader := s.newOwner("3")
		for n := range 20 {
			assertActions(t, s.claim(reader, fmt.Sprint("k", n)), "Replayed")
		}
	})
	t.Run("expired segments are deleted", func(t *testing.T) {
		s := newScenario(t)
		m := s.newOwner("1")
		for n := range 20 {
			s.complete(m, fmt.Sprint("k", n))
		}
		s.advance(m, DefaultRetention+DefaultClockMargin+time.Second)
		if got, want := len(s.store.entries), 1; got != want {
			t.Errorf("got %d keys, want %d", got, want)
		}
	})
	t.Run("a full partition denies claims", func(t *testing.T) {
		s := newScenario(t)
		m := s.newOwner("1")
		m.settings.MaxSegments = 2
		for n := 0; len(m.partitions[0].sealed) < 2; n++ {
			s.complete(m, fmt.Sprint("k", n))
		}
		assertActions(t, s.claim(m, "one more"), "ClaimUnavailable not run")
	})
	t.Run("the active segment stays near its bound", func(t *testing.T) {
		s := newScenario(t)
		m := s.newOwner("1")
		for n := range 50 {
			s.complete(m, fmt.Sprint("k", n))
		}
		h, body, err := decodeActive(s.store.entries["claims/cell/0"].Value)
		if err != nil || len(body) > 800 || len(h.Sealed) < 10 {
			t.Errorf("got %d bytes and %d sealed segments (%v), want at most 800 and at least 10", len(body), len(h.Sealed), err)
		}
	})
}

func TestEntrySize(t *testing.T) {
	e := entry{
		Kind:     entryClaim,
		Key:      "0198c0de-0000-7000-8000-000000000000",
		BodyHash: 1<<64 - 1,
		Claim:    "127.0.0.1:10000/0198c0de-0000-7000-8000-000000000000/123456",
		At:       historyStart.UnixMilli(),
	}
	claimLine, err := e.encode()
	if err != nil {
		t.Fatal(err)
	}
	e.Kind, e.Status, e.ContentType, e.Body = entryResult, 201, "application/json", make([]byte, 200)
	resultLine, err := e.encode()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("claim %d bytes, result with an answer of 200 bytes %d bytes", len(claimLine), len(resultLine))
	var back entry
	if err := json.Unmarshal(resultLine, &back); err != nil || !reflect.DeepEqual(back, e) {
		t.Errorf("got %+v (%v), want %+v", back, err, e)
	}
}
