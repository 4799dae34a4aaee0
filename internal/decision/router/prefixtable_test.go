package router

import (
	"fmt"
	"testing"

	"samphirewharf/internal/backend/orderer"
)

func TestPrefixTableEvents(t *testing.T) {
	tests := []struct {
		name   string
		events []orderer.CacheEvent
		want   float64
	}{
		{"stored", []orderer.CacheEvent{stored(1, 7)}, 1},
		{"evicted", []orderer.CacheEvent{stored(1, 7), evicted(2, 7)}, 0},
		{"another one evicted", []orderer.CacheEvent{stored(1, 7), evicted(2, 8)}, 1},
		{"gap", []orderer.CacheEvent{stored(1, 7), stored(3, 8)}, 0.5},
		{"two gaps", []orderer.CacheEvent{stored(1, 7), stored(3, 8), stored(9, 9)}, 0.25},
		{"stored again after a gap", []orderer.CacheEvent{stored(1, 7), stored(3, 8), stored(4, 7)}, 1},
		{"late eviction", []orderer.CacheEvent{stored(1, 8), stored(3, 7), evicted(2, 7)}, 1},
		{"repeated", []orderer.CacheEvent{stored(1, 7), stored(1, 7)}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var table PrefixTable
			for _, event := range tt.events {
				table.ApplyEvent(event)
			}
			assertWeight(t, &table, 7, "r", tt.want)
		})
	}
}

func TestPrefixTableIsBounded(t *testing.T) {
	table := PrefixTable{Max: 10}
	for i := range uint64(1000) {
		table.RecordSent(fmt.Sprint(i%3), []uint64{0, i})
	}
	if got, want := table.Len(), 10; got != want {
		t.Errorf("prefixes: got %d, want %d", got, want)
	}
	assertWeight(t, &table, 0, "2", 1)
	assertWeight(t, &table, 5, "2", 0)
	records := 0
	for _, cache := range table.replicas {
		records += len(cache.entries)
	}
	if want := 9 + 3; records != want {
		t.Errorf("records: got %d, want %d", records, want)
	}
}

func TestPrefixTableBoundsHolders(t *testing.T) {
	var table PrefixTable
	for i := range 6 {
		table.RecordSent(fmt.Sprint(i), []uint64{7})
	}
	assertWeight(t, &table, 7, "1", 0)
	assertWeight(t, &table, 7, "2", 1)
	assertWeight(t, &table, 7, "5", 1)
	if got := len(table.replicas["1"].entries); got != 0 {
		t.Errorf("prefixes of a dropped replica: got %d, want 0", got)
	}
	table.RecordSent("5", []uint64{8})
	table.RemoveReplica("5")
	table.RemoveReplica("unknown")
	assertWeight(t, &table, 7, "5", 0)
	assertWeight(t, &table, 7, "4", 1)
	if got, want := table.Len(), 1; got != want {
		t.Errorf("prefixes after the removal of a replica: got %d, want %d", got, want)
	}
}

func assertWeight(t *testing.T, table *PrefixTable, prefix uint64, replica string, want float64) {
	t.Helper()
	got := 0.0
	if e, ok := table.entries[prefix]; ok {
		got = e.weight(replica)
	}
	if got != want {
		t.Errorf("weight of prefix %d at %s: got %g, want %g", prefix, replica, got, want)
	}
}

func evicted(sequence int64, prefix uint64) orderer.CacheEvent {
	return orderer.CacheEvent{Sequence: sequence, Replica: "r", Prefix: prefix}
}

func stored(sequence int64, prefix uint64) orderer.CacheEvent {
	return orderer.CacheEvent{Sequence: sequence, Replica: "r", Prefix: prefix, Stored: true}
}
