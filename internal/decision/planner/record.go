// Package planner decides which replicas are loaded on the backend servers of a cell.
//
// All decisions for a cell are in one record in the key-value service. A decision is a compare-and-swap of
// that record that precedes the order. Replica counts and memory are thus checked and changed in one write,
// even if several daemons act as the placer.
package planner

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// A ReplicaState is the state of a decided replica in the record.
type ReplicaState string

// The states of a decided replica.
const (
	// StateDecided means that the replica's memory is reserved and that it may be ordered, loading or ready.
	StateDecided ReplicaState = "Decided"
	// StateUnloading means that the replica gets no new requests. Its memory stays reserved until a poll
	// shows that the engine no longer has it.
	StateUnloading ReplicaState = "Unloading"
)

// A Replica is one decided replica in the record.
type Replica struct {
	// ID is unique among all decisions of all placers.
	ID           string
	Deployment   string
	ModelVersion string `json:",omitempty"`
	Server       string
	// Bytes is the reserved accelerator memory, including adapter slots.
	Bytes        int64
	AdapterSlots int `json:",omitempty"`
	State        ReplicaState
	// Daemon decided the replica. Instance is its process, the only one that may send the load order.
	Daemon   string `json:",omitempty"`
	Instance string
	// Fence is the fencing token of the load order.
	Fence int64
}

// A Record holds all decisions for one cell. It is immutable; the With methods return changed copies.
type Record struct {
	Cell string
	// Placer is the cell's placer. Instance is its process.
	Placer   string
	Instance string
	// Fence is the fencing token. It grows by 1 with each change of placer, and whenever engines must refuse
	// late orders.
	Fence int64
	// Token is the write token. It is unique for each write, so that reading the record back shows whether a
	// write whose answer was lost took effect.
	Token string
	// Next is the number of the next replica under this fencing token.
	Next int64
	// Replicas are ordered by ID.
	Replicas []Replica
}

// DecodeRecord decodes a record that was encoded by Encode.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("decode placement record: %w", err)
	}
	return r, nil
}

// Encode returns the record's encoding in the key-value service.
func (r Record) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		return nil
	}
	return value
}

// Replica returns the replica with the ID.
func (r Record) Replica(id string) (Replica, bool) {
	at, found := r.find(id)
	if !found {
		return Replica{}, false
	}
	return r.Replicas[at], true
}

// WithFence returns the record with a new fencing token, under which replica numbers start again at 0.
func (r Record) WithFence(fence int64) Record {
	r.Fence = fence
	r.Next = 0
	return r
}

// WithPlacer returns the record with another placer.
func (r Record) WithPlacer(daemon, instance string) Record {
	r.Placer = daemon
	r.Instance = instance
	return r
}

// WithReplica returns the record with a replica added or replaced.
func (r Record) WithReplica(replica Replica) Record {
	at, found := r.find(replica.ID)
	replicas := slices.Clone(r.Replicas)
	if found {
		replicas[at] = replica
	} else {
		replicas = slices.Insert(replicas, at, replica)
	}
	r.Replicas = replicas
	return r
}

// WithToken returns the record with another write token.
func (r Record) WithToken(token string) Record {
	r.Token = token
	return r
}

// WithoutReplica returns the record without the replica and its reservation.
func (r Record) WithoutReplica(id string) Record {
	at, found := r.find(id)
	if !found {
		return r
	}
	r.Replicas = slices.Delete(slices.Clone(r.Replicas), at, at+1)
	return r
}

func (r Record) find(id string) (int, bool) {
	return slices.BinarySearchFunc(r.Replicas, id, func(replica Replica, id string) int {
		return strings.Compare(replica.ID, id)
	})
}

func (r Record) nextReplicaID() string {
	return fmt.Sprintf("%s.%d.%d", r.Cell, r.Fence, r.Next)
}

// fenceFromID returns the fencing token in a replica's ID.
func fenceFromID(cell, id string) (int64, bool) {
	rest, ok := strings.CutPrefix(id, cell+".")
	if !ok {
		return 0, false
	}
	number, _, ok := strings.Cut(rest, ".")
	if !ok {
		return 0, false
	}
	fence, err := strconv.ParseInt(number, 10, 64)
	return fence, err == nil
}
