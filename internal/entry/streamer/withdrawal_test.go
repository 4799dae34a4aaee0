package streamer

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"samphirewharf/internal/decision/reducer"
)

func TestWithdrawal(t *testing.T) {
	assertWithdrawn := func(t *testing.T, err error) {
		t.Helper()
		var failure *Failure
		if !errors.As(err, &failure) || failure.Outcome != reducer.AttemptNotSent || failure.TimedOut || !errors.Is(err, ErrWithdrawn) {
			t.Errorf("got %+v (%v), want a request that was withdrawn before it was sent", failure, err)
		}
	}
	t.Run("a request that waits for a connection is not sent", func(t *testing.T) {
		client := &Client{}
		t.Cleanup(client.Close)
		var w Withdrawal
		time.AfterFunc(50*time.Millisecond, w.Withdraw)
		start := time.Now()
		_, err := client.Send(t.Context(), Call{Address: newFullListener(t), Method: http.MethodPost, Path: "/", Withdrawal: &w})
		assertWithdrawn(t, err)
		if elapsed := time.Since(start); elapsed > DefaultDialTimeout*3/4 {
			t.Errorf("got the failure after %v, want it with the withdrawal", elapsed)
		}
	})
	t.Run("a request on its way to a connection is not sent", func(t *testing.T) {
		var received atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
		t.Cleanup(server.Close)
		client := &Client{}
		t.Cleanup(client.Close)
		call := Call{Address: server.Listener.Addr().String(), Method: http.MethodPost, Path: "/", Body: []byte("x")}
		reply, err := client.Send(t.Context(), call)
		if err != nil {
			t.Fatal(err)
		}
		reply.Finish()
		call.Withdrawal = &Withdrawal{}
		call.Withdrawal.Withdraw()
		_, err = client.Send(t.Context(), call)
		assertWithdrawn(t, err)
		if got := received.Load(); got != 1 {
			t.Errorf("got %d requests at the server, want 1", got)
		}
	})
	t.Run("a request that was sent goes on", func(t *testing.T) {
		var w Withdrawal
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { w.Withdraw() }))
		t.Cleanup(server.Close)
		client := &Client{}
		t.Cleanup(client.Close)
		reply, err := client.Send(t.Context(), Call{Address: server.Listener.Addr().String(), Method: http.MethodPost, Path: "/", Withdrawal: &w})
		if err != nil {
			t.Fatal(err)
		}
		reply.Finish()
	})
}
