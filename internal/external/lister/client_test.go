package lister_test

import (
	"sync/atomic"
	"testing"
	"time"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/external/lister"
	"samphirewharf/internal/standin/announcer"
)

func start(t *testing.T, a *announcer.HostList) (*announcer.HostList, *lister.Client) {
	t.Helper()
	if err := a.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Stop)
	client := &lister.Client{Address: a.Address(), Timeout: time.Hour}
	t.Cleanup(client.Close)
	return a, client
}

func assertHosts(t *testing.T, client *lister.Client, service string, want ...lister.Host) (etag string) {
	t.Helper()
	got, etag, unchanged, err := client.List(t.Context(), service, "")
	if err != nil || unchanged {
		t.Fatalf("got unchanged %v, error %v", unchanged, err)
	}
	if len(got) != len(want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("got %v, want %v", got[i], want[i])
		}
	}
	return etag
}

func assertUnchanged(t *testing.T, client *lister.Client, etag string, want bool) {
	t.Helper()
	_, _, got, err := client.List(t.Context(), "s", etag)
	if err != nil {
		t.Fatal(err)
	}
	if got != want {
		t.Errorf("got unchanged %v, want %v", got, want)
	}
}

func TestClientList(t *testing.T) {
	var offset atomic.Int64
	epoch := time.Now()
	a, client := start(t, &announcer.HostList{Now: func() time.Time { return epoch.Add(time.Duration(offset.Load())) }})
	first := lister.Host{Server: "s1", Service: "s", Address: "127.0.0.1:1", Zone: "a", MemoryBytes: 5, State: lister.HostLive}
	second := lister.Host{Server: "s2", Service: "s", Address: "127.0.0.1:2", Zone: "b", State: lister.HostLive}
	other := lister.Host{Server: "o1", Service: "o", State: lister.HostLive}
	a.Apply(announcer.Change{Add: []lister.Host{second, other, first}})
	etag := assertHosts(t, client, "s", first, second)
	assertUnchanged(t, client, etag, true)

	a.SetFaults(announcer.Faults{Lag: cataloger.Duration(time.Second)})
	a.Apply(announcer.Change{Leave: []string{"s2"}, Remove: []string{"s1"}})
	assertUnchanged(t, client, etag, true)
	offset.Store(int64(time.Second))
	assertUnchanged(t, client, etag, false)
	second.State = lister.HostLeaving
	assertHosts(t, client, "s", second)

	a.SetFaults(announcer.Faults{Down: true})
	if _, _, _, err := client.List(t.Context(), "s", etag); err == nil {
		t.Error("got no error, want one")
	}
}
