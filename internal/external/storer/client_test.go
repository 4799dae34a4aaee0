package storer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/network/bounder"
	"samphirewharf/internal/standin/keeper"
)

func start(t *testing.T, k *keeper.KeyValueService) (*keeper.KeyValueService, *storer.Client) {
	t.Helper()
	if err := k.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Stop)
	client := &storer.Client{Address: k.Address(), Timeout: time.Hour}
	t.Cleanup(client.Close)
	return k, client
}

func assertResult(t *testing.T, got, want storer.Result) {
	t.Helper()
	if got != want {
		t.Fatalf("got result %d, want %d", got, want)
	}
}

func assertValue(t *testing.T, client *storer.Client, key, want string) {
	t.Helper()
	entry, result := client.Get(t.Context(), key)
	assertResult(t, result, storer.ResultOK)
	if got := string(entry.Value); got != want {
		t.Errorf("got value %q, want %q", got, want)
	}
}

func swap(t *testing.T, client *storer.Client, key, value string, revision, lease int64) int64 {
	t.Helper()
	got, result := client.Swap(t.Context(), key, []byte(value), revision, lease)
	assertResult(t, result, storer.ResultOK)
	return got
}

func TestClientSwap(t *testing.T) {
	_, client := start(t, &keeper.KeyValueService{})
	first := swap(t, client, "a", "1", 0, 0)
	t.Run("an existing key is not created again", func(t *testing.T) {
		_, got := client.Swap(t.Context(), "a", []byte("x"), 0, 0)
		assertResult(t, got, storer.ResultConflict)
		assertValue(t, client, "a", "1")
	})
	second := swap(t, client, "a", "2", first, 0)
	t.Run("a stale revision conflicts", func(t *testing.T) {
		_, got := client.Swap(t.Context(), "a", []byte("x"), first, 0)
		assertResult(t, got, storer.ResultConflict)
		assertValue(t, client, "a", "2")
	})
	t.Run("an unknown lease changes nothing", func(t *testing.T) {
		_, got := client.Swap(t.Context(), "a", []byte("x"), second, 12345)
		assertResult(t, got, storer.ResultNotFound)
		assertValue(t, client, "a", "2")
	})
	t.Run("the revision is that of the key", func(t *testing.T) {
		entry, _ := client.Get(t.Context(), "a")
		if got, want := entry.Revision, second; got != want {
			t.Errorf("got revision %d, want %d", got, want)
		}
	})
	t.Run("a value larger than a megabyte is refused", func(t *testing.T) {
		_, got := client.Swap(t.Context(), "big", make([]byte, 1<<20+1), 0, 0)
		assertResult(t, got, storer.ResultUnknown)
		_, got = client.Get(t.Context(), "big")
		assertResult(t, got, storer.ResultNotFound)
	})
	t.Run("a value of a megabyte is accepted", func(t *testing.T) {
		swap(t, client, "big", string(make([]byte, 1<<20)), 0, 0)
	})
}

func TestClientDelete(t *testing.T) {
	_, client := start(t, &keeper.KeyValueService{})
	first := swap(t, client, "a", "1", 0, 0)
	assertResult(t, client.Delete(t.Context(), "a", first+1), storer.ResultConflict)
	assertResult(t, client.Delete(t.Context(), "a", first), storer.ResultOK)
	assertResult(t, client.Delete(t.Context(), "a", first), storer.ResultNotFound)
	if got := swap(t, client, "a", "2", 0, 0); got <= first+1 {
		t.Errorf("got revision %d, want more than %d", got, first+1)
	}
}

func TestClientList(t *testing.T) {
	_, client := start(t, &keeper.KeyValueService{})
	for _, key := range []string{"b/2", "a/1", "b/1", "c", "b0", "b/\xff"} {
		swap(t, client, key, key, 0, 0)
	}
	for _, test := range []struct {
		prefix string
		want   []string
	}{
		{"b/", []string{"b/1", "b/2", "b/\xff"}},
		{"c", []string{"c"}},
		{"d", nil},
		{"", []string{"a/1", "b/1", "b/2", "b/\xff", "b0", "c"}},
	} {
		t.Run("prefix "+test.prefix, func(t *testing.T) {
			entries, result := client.List(t.Context(), test.prefix)
			assertResult(t, result, storer.ResultOK)
			if got, want := len(entries), len(test.want); got != want {
				t.Fatalf("got %d entries, want %d", got, want)
			}
			for i, want := range test.want {
				if got := entries[i].Key; got != want {
					t.Errorf("got key %q, want %q", got, want)
				}
			}
		})
	}
}

func TestClientLease(t *testing.T) {
	var offset atomic.Int64
	k, client := start(t, &keeper.KeyValueService{Now: func() time.Time {
		return time.Now().Add(time.Duration(offset.Load()))
	}})
	grant := func(t *testing.T) int64 {
		t.Helper()
		id, result := client.Grant(t.Context(), 100*time.Second)
		assertResult(t, result, storer.ResultOK)
		return id
	}
	assertAlive := func(t *testing.T, id int64, want bool) {
		t.Helper()
		got, result := client.KeepAlive(t.Context(), id)
		assertResult(t, result, storer.ResultOK)
		if got != want {
			t.Errorf("got alive %v, want %v", got, want)
		}
	}
	t.Run("expires with its keys", func(t *testing.T) {
		id := grant(t)
		swap(t, client, "leased", "1", 0, id)
		offset.Add(int64(60 * time.Second))
		assertAlive(t, id, true)
		offset.Add(int64(60 * time.Second))
		assertAlive(t, id, true)
		offset.Add(int64(101 * time.Second))
		assertAlive(t, id, false)
		_, got := client.Get(t.Context(), "leased")
		assertResult(t, got, storer.ResultNotFound)
	})
	t.Run("is revoked with its keys", func(t *testing.T) {
		id := grant(t)
		swap(t, client, "leased", "1", 0, id)
		assertResult(t, client.Revoke(t.Context(), id), storer.ResultOK)
		assertResult(t, client.Revoke(t.Context(), id), storer.ResultNotFound)
		_, got := client.Get(t.Context(), "leased")
		assertResult(t, got, storer.ResultNotFound)
	})
	if got, want := k.Counts().Grant, int64(2); got != want {
		t.Errorf("got %d grants, want %d", got, want)
	}
}

func TestClientResultHonesty(t *testing.T) {
	t.Run("a write whose response is lost is unknown, takes effect and is sent once", func(t *testing.T) {
		k, client := start(t, &keeper.KeyValueService{})
		swap(t, client, "warm", "1", 0, 0)
		k.SetFaults(keeper.Faults{LoseAnswersNext: 1})
		_, got := client.Swap(t.Context(), "a", []byte("1"), 0, 0)
		assertResult(t, got, storer.ResultUnknown)
		assertValue(t, client, "a", "1")
		if got, want := k.Counts().Txn, int64(2); got != want {
			t.Errorf("got %d transactions, want %d", got, want)
		}
	})
	t.Run("a write to a stopped service is not sent", func(t *testing.T) {
		k, client := start(t, &keeper.KeyValueService{})
		k.Stop()
		_, got := client.Swap(t.Context(), "a", []byte("1"), 0, 0)
		assertResult(t, got, storer.ResultNotSent)
	})
	t.Run("a write to a service that is down is unknown and changes nothing", func(t *testing.T) {
		k, client := start(t, &keeper.KeyValueService{})
		k.SetFaults(keeper.Faults{Down: true})
		_, got := client.Swap(t.Context(), "a", []byte("1"), 0, 0)
		assertResult(t, got, storer.ResultUnknown)
		k.SetFaults(keeper.Faults{})
		_, got = client.Get(t.Context(), "a")
		assertResult(t, got, storer.ResultNotFound)
	})
	t.Run("a refused write is unknown and changes nothing", func(t *testing.T) {
		k, client := start(t, &keeper.KeyValueService{})
		k.SetFaults(keeper.Faults{RefuseWrites: true})
		_, got := client.Swap(t.Context(), "a", []byte("1"), 0, 0)
		assertResult(t, got, storer.ResultUnknown)
		_, got = client.Get(t.Context(), "a")
		assertResult(t, got, storer.ResultNotFound)
	})
	t.Run("a write that timed out takes effect later", func(t *testing.T) {
		k, client := start(t, &keeper.KeyValueService{})
		k.SetFaults(keeper.Faults{Delay: cataloger.Duration(time.Hour)})
		ctx, cancel := context.WithCancel(t.Context())
		waiting := &cancelOnTxn{keeper: k, cancel: cancel}
		go waiting.run()
		_, got := client.Swap(ctx, "a", []byte("1"), 0, 0)
		assertResult(t, got, storer.ResultUnknown)
		k.SetFaults(keeper.Faults{})
		for _, got = client.Get(t.Context(), "a"); got == storer.ResultNotFound; {
			_, got = client.Get(t.Context(), "a")
		}
		assertValue(t, client, "a", "1")
	})
}

// A cancelOnTxn cancels a context when a transaction has reached the service.
type cancelOnTxn struct {
	keeper *keeper.KeyValueService
	cancel context.CancelFunc
}

func (c *cancelOnTxn) run() {
	for c.keeper.Counts().Txn == 0 {
		time.Sleep(time.Millisecond)
	}
	c.cancel()
}

// A change is one change reported by a watch.
type change struct {
	entry   storer.Entry
	deleted bool
}

func assertChange(t *testing.T, changes <-chan change, key, value string, deleted bool) {
	t.Helper()
	select {
	case got := <-changes:
		if got.entry.Key != key || string(got.entry.Value) != value || got.deleted != deleted {
			t.Errorf("got %s=%s deleted %v, want %s=%s deleted %v",
				got.entry.Key, got.entry.Value, got.deleted, key, value, deleted)
		}
	case <-t.Context().Done():
		t.Fatal("watch ended")
	}
}

// A watch runs Client.Watch and forwards the reported changes.
type watch struct {
	changes chan change
	ended   chan error
}

func startWatch(t *testing.T, client *storer.Client, prefix string, from int64) *watch {
	t.Helper()
	w := &watch{changes: make(chan change, 100), ended: make(chan error, 1)}
	go w.run(t.Context(), client, prefix, from)
	return w
}

func (w *watch) run(ctx context.Context, client *storer.Client, prefix string, from int64) {
	w.ended <- client.Watch(ctx, prefix, from, func(e storer.Entry, deleted bool) {
		w.changes <- change{e, deleted}
	})
}

func TestClientWatch(t *testing.T) {
	t.Run("reports past and new changes below the prefix in order", func(t *testing.T) {
		_, client := start(t, &keeper.KeyValueService{})
		first := swap(t, client, "w/a", "1", 0, 0)
		swap(t, client, "x", "1", 0, 0)
		w := startWatch(t, client, "w/", first)
		assertChange(t, w.changes, "w/a", "1", false)
		second := swap(t, client, "w/a", "2", first, 0)
		assertChange(t, w.changes, "w/a", "2", false)
		client.Delete(t.Context(), "w/a", second)
		assertChange(t, w.changes, "w/a", "", true)
	})
	t.Run("continues without a gap after a list, even of old keys", func(t *testing.T) {
		k, client := start(t, &keeper.KeyValueService{})
		swap(t, client, "w/a", "1", 0, 0)
		newest := swap(t, client, "x", "1", 0, 0)
		k.Compact(newest)
		entries, revision, result := client.ListWithRevision(t.Context(), "w/")
		assertResult(t, result, storer.ResultOK)
		if got, want := revision, newest; got != want || len(entries) != 1 {
			t.Errorf("got revision %d and %d entries, want %d and 1", got, len(entries), want)
		}
		swap(t, client, "w/b", "2", 0, 0)
		w := startWatch(t, client, "w/", revision+1)
		assertChange(t, w.changes, "w/b", "2", false)
	})
	t.Run("ends when the service goes down", func(t *testing.T) {
		k, client := start(t, &keeper.KeyValueService{})
		first := swap(t, client, "w/a", "1", 0, 0)
		w := startWatch(t, client, "w/", first)
		assertChange(t, w.changes, "w/a", "1", false)
		if got, want := k.Counts().Watching, int64(1); got != want {
			t.Errorf("got %d watches, want %d", got, want)
		}
		k.SetFaults(keeper.Faults{Down: true})
		if got := <-w.ended; got == nil {
			t.Error("got no error, want one")
		}
	})
	t.Run("fails if old changes are compacted", func(t *testing.T) {
		k, client := start(t, &keeper.KeyValueService{})
		k.Compact(5)
		err := client.Watch(t.Context(), "w/", 2, func(storer.Entry, bool) {})
		if !errors.Is(err, storer.ErrCompacted) {
			t.Errorf("got %v, want %v", err, storer.ErrCompacted)
		}
	})
}

func BenchmarkClientSwap(b *testing.B) {
	k := &keeper.KeyValueService{}
	if err := k.Start("127.0.0.1:0"); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(k.Stop)
	client := &storer.Client{Address: k.Address()}
	var revision int64
	for b.Loop() {
		next, result := client.Swap(b.Context(), "a", []byte("value"), revision, 0)
		if result != storer.ResultOK {
			b.Fatalf("got result %d, want %d", result, storer.ResultOK)
		}
		revision = next
	}
}

func TestEndlessWatchMessage(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"result":{"header":{"revision":"`)
		part := bytes.Repeat([]byte("1"), 64<<10)
		for {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	client := &storer.Client{Address: strings.TrimPrefix(server.URL, "http://")}
	t.Cleanup(client.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	err := client.Watch(ctx, "p/", 1, func(storer.Entry, bool) {})
	if !errors.Is(err, bounder.ErrTooLarge) {
		t.Errorf("got %v, want %v", err, bounder.ErrTooLarge)
	}
}
