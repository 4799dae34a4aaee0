// Package planner decides which replicas are loaded on the backend servers of a cell.
//
// Everything decided stands in one record for each cell in the key-value service. A decision is a
// compare-and-swap of that record and is made before the order is sent, so that replica counts and
// memory are checked and changed in one write, whoever believes to be the placer.
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
	// StateDecided means that the replica may be ordered, loading or ready; its memory is reserved.
	StateDecided ReplicaState = "Decided"
	// StateUnloading means that the replica takes no new work; its memory stays reserved until the
	// engine is seen without it.
	StateUnloading ReplicaState = "Unloading"
)

// A Replica is one decided replica in the record.
type Replica struct {
	// ID is unique over all decisions of all placers.
	ID           string
	Deployment   string
	ModelVersion string `json:",omitempty"`
	Server       string
	// Bytes is the accelerator memory reserved, adapter slots included.
	Bytes        int64
	AdapterSlots int `json:",omitempty"`
	State        ReplicaState
	// Daemon decided it; Instance is its process, which alone may send the load order.
	Daemon   string `json:",omitempty"`
	Instance string
	// Fence is the fencing number that the order carries.
	Fence int64
}

// A Record is all that is decided for one cell. It is immutable; With methods return changed copies.
type Record struct {
	Cell string
	// Placer is the daemon that decides, Instance its process.
	Placer   string
	Instance string
	// Fence grows by 1 with each change of placer and whenever late orders must be shut out.
	Fence int64
	// Token is unique for each write, so that a lost answer can be settled by reading back.
	Token string
	// Next numbers the next replica of this fence.
	Next int64
	// Replicas are ordered by ID.
	Replicas []Replica
}

// DecodeRecord reads a record as written by Encode.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("decode placement record: %w", err)
	}
	return r, nil
}

// Encode returns the record's bytes in the key-value service.
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

// WithFence returns the record with a new fencing number; replica numbers start again below it.
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

// WithToken returns the record with the token of its next write.
func (r Record) WithToken(token string) Record {
	r.Token = token
	return r
}

// WithoutReplica returns the record with the replica's reservation freed.
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

// fenceFromID returns the fencing number in a replica's ID.
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
