package feeder

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirewharf/internal/peer/messenger"
)

var start = time.Unix(1000, 0)

func always(string) bool { return true }

func change(key string, revision int64) Change {
	return Change{Prefix: "p/", Entry: messenger.ViewEntry{Key: key, Revision: revision}}
}

// format returns updates as "address: snapshot" or "address: key@revision ...".
func format(updates []Update) string {
	var list []string
	for _, u := range updates {
		content := "snapshot"
		if !u.Snapshot {
			var changes []string
			for _, c := range u.Changes {
				changes = append(changes, fmt.Sprintf("%s@%d", c.Entry.Key, c.Entry.Revision))
			}
			content = strings.Join(changes, " ")
		}
		list = append(list, u.Address+": "+content)
	}
	return strings.Join(list, "; ")
}

func assertUpdates(t *testing.T, got []Update, want string) {
	t.Helper()
	if format(got) != want {
		t.Errorf("got %q, want %q", format(got), want)
	}
}

func deliver(f *Feeder, updates []Update) {
	for _, u := range updates {
		f.Delivered(start, u.Address, u.Sequence, true)
	}
}

func TestFeeder(t *testing.T) {
	subscribed := func(addresses ...string) *Feeder {
		f := &Feeder{}
		for i, address := range addresses {
			f.Subscribe(start.Add(time.Duration(i)), address, Subscription{HasView: true})
		}
		return f
	}
	t.Run("changes wait while an update is on its way, and are sent together", func(t *testing.T) {
		f := subscribed("a")
		first := f.Next(start, true, always)
		assertUpdates(t, first, "a: snapshot")
		f.Append(change("x", 1))
		f.Append(change("y", 2))
		f.Append(change("x", 3))
		assertUpdates(t, f.Next(start, true, always), "")
		f.Subscribe(start, "a", Subscription{HasView: true})
		deliver(f, first)
		assertUpdates(t, f.Next(start, true, always), "a: y@2 x@3")
	})
	t.Run("some snapshots are sent at a time, to those that have waited longest", func(t *testing.T) {
		f := subscribed("f", "e", "d", "c", "b", "a")
		first := f.Next(start, true, always)
		assertUpdates(t, first, "f: snapshot; e: snapshot; d: snapshot; c: snapshot")
		if !f.Congested() {
			t.Error("got no congestion, want some")
		}
		deliver(f, first[:1])
		assertUpdates(t, f.Next(start, true, always), "b: snapshot")
	})
	t.Run("a subscriber that an update may not have reached is sent nothing until it renews, and then a snapshot", func(t *testing.T) {
		f := subscribed("a")
		deliver(f, f.Next(start, true, always))
		f.Append(change("x", 1))
		f.Delivered(start, "a", f.Next(start, true, always)[0].Sequence, false)
		assertUpdates(t, f.Next(start.Add(HeartbeatInterval), true, always), "")
		f.Subscribe(start, "a", Subscription{HasView: true, InOrder: true})
		assertUpdates(t, f.Next(start, true, always), "a: snapshot")
	})
	t.Run("a subscriber that lacks more changes than are kept is sent a snapshot", func(t *testing.T) {
		f := subscribed("a")
		first := f.Next(start, true, always)
		for i := range maxChanges + 1 {
			f.Append(change("x", int64(i)))
		}
		deliver(f, first)
		assertUpdates(t, f.Next(start, true, always), "a: snapshot")
	})
}

// A replica is what a subscriber has received, by key.
type replica map[string]int64

func (r replica) apply(u Update, entries replica) {
	if u.Snapshot {
		clear(r)
		maps.Copy(r, entries)
	}
	for _, c := range u.Changes {
		r[c.Entry.Key] = c.Entry.Revision
	}
}

// TestSubscribersReceiveAllChanges guards against changes that a subscriber is never sent, whichever updates are slow or lost.
func TestSubscribersReceiveAllChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f Feeder
		entries := replica{}
		received := map[string]replica{}
		inOrder := map[string]bool{}
		pending := map[string]Update{}
		atNext := map[string]replica{}
		now := start
		end := func(address string, lost bool) {
			u := pending[address]
			delete(pending, address)
			if inOrder[address] = !lost; !lost {
				received[address].apply(u, atNext[address])
			}
			f.Delivered(now, address, u.Sequence, !lost)
		}
		send := func() {
			for _, u := range f.Next(now, true, always) {
				pending[u.Address], atNext[u.Address] = u, maps.Clone(entries)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(10 * time.Millisecond)
			address := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "address")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				key := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "key")
				entries[key]++
				f.Append(change(key, entries[key]))
			case 1:
				if received[address] == nil {
					received[address] = replica{}
				}
				f.Subscribe(now, address, Subscription{InOrder: inOrder[address], HasView: inOrder[address]})
			case 2:
				send()
			case 3:
				if _, ok := pending[address]; ok {
					end(address, rapid.Bool().Draw(t, "lost"))
				}
			}
		}
		for range 10 {
			for address := range received {
				f.Subscribe(now, address, Subscription{InOrder: inOrder[address], HasView: inOrder[address]})
			}
			send()
			for _, address := range slices.Sorted(maps.Keys(pending)) {
				end(address, false)
			}
		}
		for address, r := range received {
			if !maps.Equal(r, entries) {
				t.Fatalf("got %v at %s, want %v", r, address, entries)
			}
		}
	})
}
