package inferrer_test

import (
	"slices"
	"testing"
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/standin/inferrer"
)

// A testEngine is an engine with a client of its control interface.
type testEngine struct {
	*inferrer.Engine
	client orderer.Client
}

func start(t *testing.T, e *inferrer.Engine) *testEngine {
	t.Helper()
	if err := e.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	r := &testEngine{Engine: e, client: orderer.Client{Timeout: time.Hour}}
	t.Cleanup(e.Stop)
	t.Cleanup(r.client.Close)
	return r
}

func load(replica string, bytes int64) orderer.Order {
	return orderer.Order{
		OrderID: "load-" + replica, Kind: orderer.KindLoad, Replica: replica, Deployment: "d", ModelVersion: "1",
		Bytes: bytes, AdapterSlots: 1, MaxInFlight: 1,
	}
}

func (r *testEngine) sendOrder(t *testing.T, order orderer.Order, want orderer.Outcome) {
	t.Helper()
	if got, _ := r.client.Send(t.Context(), r.Address(), order); got != want {
		t.Fatalf("got outcome %d of %s, want %d", got, order.Kind, want)
	}
}

// awaitReport waits until the engine's report meets the condition and returns it.
func (r *testEngine) awaitReport(t *testing.T, condition func(orderer.Report) bool) orderer.Report {
	t.Helper()
	for {
		report, err := r.client.Poll(t.Context(), r.Address(), 0)
		if err == nil && condition(report) {
			return report
		}
		if t.Context().Err() != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
}

func (r *testEngine) loadUntilReady(t *testing.T, order orderer.Order) {
	t.Helper()
	r.sendOrder(t, order, orderer.OutcomeAccepted)
	r.awaitReport(t, func(report orderer.Report) bool {
		return slices.ContainsFunc(report.Replicas, func(r orderer.ReplicaReport) bool {
			return r.Replica == order.Replica && r.State == orderer.StateReady
		})
	})
}

func hasNoReplicas(report orderer.Report) bool { return len(report.Replicas) == 0 }

func assertViolations(t *testing.T, r *testEngine, want ...string) {
	t.Helper()
	var got []string
	for _, v := range r.Counts().Violations {
		got = append(got, v.Kind)
	}
	if !slices.Equal(got, want) {
		t.Errorf("got violations %v, want %v", got, want)
	}
}

func TestEngineOrders(t *testing.T) {
	t.Run("a load over the memory limit is refused and recorded", func(t *testing.T) {
		r := start(t, &inferrer.Engine{MemoryBytes: 100})
		r.loadUntilReady(t, load("a", 60))
		r.sendOrder(t, load("b", 41), orderer.OutcomeRefused)
		r.loadUntilReady(t, load("c", 40))
		assertViolations(t, r, inferrer.ViolationMemory)
		if got, want := r.Counts().PeakBytes, int64(100); got != want {
			t.Errorf("got peak %d, want %d", got, want)
		}
	})
	t.Run("a repeated load adds a second replica", func(t *testing.T) {
		r := start(t, &inferrer.Engine{MemoryBytes: 100})
		r.loadUntilReady(t, load("a", 40))
		r.sendOrder(t, load("a", 40), orderer.OutcomeAccepted)
		report := r.awaitReport(t, func(orderer.Report) bool { return true })
		if got, want := len(report.Replicas), 2; got != want {
			t.Errorf("got %d replicas, want %d", got, want)
		}
		assertViolations(t, r, inferrer.ViolationDuplicate)
	})
	t.Run("an unload frees the memory", func(t *testing.T) {
		r := start(t, &inferrer.Engine{MemoryBytes: 100, UnloadTime: time.Millisecond})
		unload := orderer.Order{Kind: orderer.KindUnload, Replica: "a"}
		r.sendOrder(t, unload, orderer.OutcomeAccepted)
		r.loadUntilReady(t, load("a", 60))
		r.sendOrder(t, unload, orderer.OutcomeAccepted)
		report := r.awaitReport(t, hasNoReplicas)
		if got := report.UsedBytes; got != 0 {
			t.Errorf("got %d bytes used, want 0", got)
		}
	})
	t.Run("an unload cancels a load", func(t *testing.T) {
		r := start(t, &inferrer.Engine{MemoryBytes: 100})
		endless := load("a", 60)
		endless.LoadMilliseconds = [3]int64{1e9, 1e9, 1e9}
		r.sendOrder(t, endless, orderer.OutcomeAccepted)
		r.sendOrder(t, orderer.Order{Kind: orderer.KindUnload, Replica: "a"}, orderer.OutcomeAccepted)
		r.awaitReport(t, hasNoReplicas)
	})
	t.Run("adapters occupy slots", func(t *testing.T) {
		r := start(t, &inferrer.Engine{MemoryBytes: 100})
		first := orderer.Order{Kind: orderer.KindLoadAdapter, Replica: "a", Adapter: "x"}
		r.sendOrder(t, first, orderer.OutcomeRefused)
		r.loadUntilReady(t, load("a", 60))
		r.sendOrder(t, first, orderer.OutcomeAccepted)
		r.sendOrder(t, first, orderer.OutcomeAccepted)
		r.awaitReport(t, func(report orderer.Report) bool { return slices.Equal(report.Replicas[0].Adapters, []string{"x"}) })
		second := orderer.Order{Kind: orderer.KindLoadAdapter, Replica: "a", Adapter: "y"}
		r.sendOrder(t, second, orderer.OutcomeRefused)
		r.sendOrder(t, orderer.Order{Kind: orderer.KindUnloadAdapter, Replica: "a", Adapter: "x"}, orderer.OutcomeAccepted)
		r.sendOrder(t, second, orderer.OutcomeAccepted)
		assertViolations(t, r, inferrer.ViolationSlots)
	})
	t.Run("an order changes the role", func(t *testing.T) {
		r := start(t, &inferrer.Engine{MemoryBytes: 100})
		r.loadUntilReady(t, load("a", 60))
		r.sendOrder(t, orderer.Order{Kind: orderer.KindChangeRole, Replica: "a", Role: "Prefill"}, orderer.OutcomeAccepted)
		r.awaitReport(t, func(report orderer.Report) bool { return report.Replicas[0].Role == "Prefill" })
	})
}

func TestEngineFencing(t *testing.T) {
	raiseFence := func(fence int64) orderer.Order { return orderer.Order{Kind: orderer.KindRaiseFence, Fence: fence} }
	for _, test := range []struct {
		name      string
		checks    bool
		want      orderer.Outcome
		wantFence int64
	}{
		{"checks fencing", true, orderer.OutcomeStaleFence, 7},
		{"ignores fencing", false, orderer.OutcomeAccepted, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := start(t, &inferrer.Engine{MemoryBytes: 100, ChecksFencing: test.checks})
			r.sendOrder(t, raiseFence(7), orderer.OutcomeAccepted)
			r.sendOrder(t, load("a", 60), test.want)
			report := r.awaitReport(t, func(orderer.Report) bool { return true })
			if got, want := report.Fence, test.wantFence; got != want {
				t.Errorf("got fence %d, want %d", got, want)
			}
		})
	}
}

func TestEngineCheckpoints(t *testing.T) {
	order := load("a", 60)
	order.LoadMilliseconds = [3]int64{1, 1, 1}
	r := start(t, &inferrer.Engine{MemoryBytes: 100, RestartAfter: time.Millisecond})
	r.loadUntilReady(t, order)
	report := r.awaitReport(t, func(report orderer.Report) bool { return slices.Equal(report.Checkpoints.Memory, []string{"d"}) })
	r.Crash()
	after := r.awaitReport(t, hasNoReplicas)
	if after.Instance == report.Instance {
		t.Errorf("got instance %s twice, want another", after.Instance)
	}
	if got, want := after.Checkpoints.Disk, []string{"d"}; !slices.Equal(got, want) || after.Checkpoints.Memory != nil {
		t.Errorf("got on disk %v, in memory %v, want %v, none", got, after.Checkpoints.Memory, want)
	}
	r.loadUntilReady(t, order)
	if got, want := r.Store.Counts().Loads, int64(1); got != want {
		t.Errorf("got %d loads from the weight store, want %d", got, want)
	}
}

func TestEngineFaults(t *testing.T) {
	t.Run("refuses orders", func(t *testing.T) {
		r := start(t, &inferrer.Engine{MemoryBytes: 100})
		r.SetFaults(inferrer.Faults{RefuseOrders: true})
		r.sendOrder(t, load("a", 60), orderer.OutcomeRefused)
		r.awaitReport(t, hasNoReplicas)
	})
	t.Run("a frozen engine executes orders after it resumes", func(t *testing.T) {
		r := start(t, &inferrer.Engine{MemoryBytes: 100})
		r.SetFaults(inferrer.Faults{Freeze: true})
		shortTimeout := orderer.Client{Timeout: 20 * time.Millisecond}
		if _, err := shortTimeout.Poll(t.Context(), r.Address(), 0); err == nil {
			t.Error("got a report, want an error")
		}
		unfreeze := time.AfterFunc(20*time.Millisecond, func() { r.SetFaults(inferrer.Faults{}) })
		defer unfreeze.Stop()
		r.loadUntilReady(t, load("a", 60))
	})
	t.Run("a crash loses delayed orders", func(t *testing.T) {
		r := start(t, &inferrer.Engine{MemoryBytes: 100, RestartAfter: time.Millisecond})
		r.SetFaults(inferrer.Faults{DelayOrders: cataloger.Duration(time.Hour)})
		crash := &crashOnOrder{r}
		go crash.run()
		r.sendOrder(t, load("a", 60), orderer.OutcomeUnknown)
		r.awaitReport(t, hasNoReplicas)
		if got := r.Counts().Loads; got != 0 {
			t.Errorf("got %d loads, want 0", got)
		}
	})
}

// A crashOnOrder crashes an engine once an order is delayed.
type crashOnOrder struct {
	engine *testEngine
}

func (c *crashOnOrder) run() {
	for c.engine.Counts().OrdersWaiting == 0 {
		time.Sleep(time.Millisecond)
	}
	c.engine.Crash()
}
