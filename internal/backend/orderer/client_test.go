package orderer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/standin/inferrer"
)

func start(t *testing.T, e *inferrer.Engine) *inferrer.Engine {
	t.Helper()
	if err := e.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	return e
}

func assertOutcome(t *testing.T, address string, order orderer.Order, want orderer.Outcome, wantFence int64) {
	t.Helper()
	client := &orderer.Client{Timeout: time.Hour}
	t.Cleanup(client.Close)
	got, gotFence := client.Send(t.Context(), address, order)
	if got != want || gotFence != wantFence {
		t.Errorf("got outcome %d, fence %d, want %d, %d", got, gotFence, want, wantFence)
	}
}

func TestClientSend(t *testing.T) {
	load := orderer.Order{OrderID: "o", Kind: orderer.KindLoad, Replica: "r", Bytes: 60, Fence: 5}
	t.Run("the engine responds", func(t *testing.T) {
		e := start(t, &inferrer.Engine{MemoryBytes: 100, ChecksFencing: true})
		assertOutcome(t, e.Address(), load, orderer.OutcomeAccepted, 0)
		assertOutcome(t, e.Address(), load, orderer.OutcomeRefused, 0)
		assertOutcome(t, e.Address(), orderer.Order{Kind: orderer.KindRaiseFence, Fence: 4}, orderer.OutcomeStaleFence, 5)
	})
	t.Run("an order to a stopped engine is not sent", func(t *testing.T) {
		e := start(t, &inferrer.Engine{})
		e.Stop()
		assertOutcome(t, e.Address(), load, orderer.OutcomeNotSent, 0)
	})
	t.Run("a response that is no refusal is unknown", func(t *testing.T) {
		server := httptest.NewServer(http.NotFoundHandler())
		t.Cleanup(server.Close)
		assertOutcome(t, server.Listener.Addr().String(), load, orderer.OutcomeUnknown, 0)
	})
	t.Run("an order that timed out takes effect late and once", func(t *testing.T) {
		e := start(t, &inferrer.Engine{MemoryBytes: 100})
		e.SetFaults(inferrer.Faults{DelayOrders: cataloger.Duration(time.Hour)})
		ctx, cancel := context.WithCancel(t.Context())
		waiting := &cancelOnOrder{engine: e, cancel: cancel}
		go waiting.run()
		client := &orderer.Client{Timeout: time.Hour}
		if got, _ := client.Send(ctx, e.Address(), load); got != orderer.OutcomeUnknown {
			t.Errorf("got outcome %d, want %d", got, orderer.OutcomeUnknown)
		}
		e.SetFaults(inferrer.Faults{})
		for e.Counts().Loads == 0 {
			time.Sleep(time.Millisecond)
		}
		if got, want := e.Counts().Orders[orderer.KindLoad], int64(1); got != want {
			t.Errorf("got %d orders, want %d", got, want)
		}
	})
}

// A cancelOnOrder cancels a context when an order has reached the engine.
type cancelOnOrder struct {
	engine *inferrer.Engine
	cancel context.CancelFunc
}

func (c *cancelOnOrder) run() {
	for c.engine.Counts().OrdersWaiting == 0 {
		time.Sleep(time.Millisecond)
	}
	c.cancel()
}

func TestClientPoll(t *testing.T) {
	e := start(t, &inferrer.Engine{MemoryBytes: 100})
	client := &orderer.Client{Timeout: time.Hour}
	t.Cleanup(client.Close)
	e.CacheCheckpoint("d", "1", true)
	report, err := client.Poll(t.Context(), e.Address(), 0)
	if err != nil || report.Checkpoints == nil {
		t.Fatalf("got %v, %v, want checkpoints", report, err)
	}
	if got, want := report.Checkpoints.Memory[0], "d"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	report, err = client.Poll(t.Context(), e.Address(), report.CheckpointsVersion)
	if err != nil || report.Checkpoints != nil {
		t.Errorf("got %v, %v, want no checkpoints", report.Checkpoints, err)
	}
	e.Stop()
	if _, err := client.Poll(t.Context(), e.Address(), 0); err == nil {
		t.Error("got no error, want one")
	}
}
