package versioner

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"samphirewharf/internal/external/storer"
)

// Prune deletes the history entries of expired versions and the shards that only they refer to. The
// package comment explains why this is safe with concurrent changes. The next Prune completes one
// that was interrupted. The error wraps ErrStoreUnavailable or ErrCorrupted.
func (v *Versioner) Prune(ctx context.Context) error { return v.prune(ctx, v.findExpired) }

// Sweep does the same as Prune and also deletes shards that no version refers to, such as those of
// interrupted changes. It reads all shards.
func (v *Versioner) Sweep(ctx context.Context) error { return v.prune(ctx, v.findUnused) }

// A findShardsFunc returns the existing shards to retire: all that are not in used, or only those of the
// expired history.
type findShardsFunc func(ctx context.Context, expired []historyEntry, used map[string]bool) ([]retiredShard, error)

// prune is the common part of Prune and Sweep.
func (v *Versioner) prune(ctx context.Context, find findShardsFunc) error {
	h, err := v.readHead(ctx)
	if err != nil || h.Version == 0 {
		return err
	}
	history, err := v.listHistory(ctx)
	if err != nil {
		return err
	}
	expired := 0
	for expired < len(history) && history[expired].change.Version <= h.Version-v.keepVersions() {
		expired++
	}
	retire, err := find(ctx, history[:expired], referencedShards(h, history[expired:]))
	if err != nil {
		return err
	}
	pending := v.deleteShards(ctx, h.Retired)
	next := head{Change: h.Change, Retired: append([]retiredShard(nil), pending...)}
	next.Retired = append(next.Retired, retire...)
	if swapped, err := v.swapRetired(ctx, h, next); err != nil || !swapped {
		return err
	}
	for _, e := range history[:expired] {
		v.Store.Delete(ctx, e.key, e.revision)
	}
	v.deleteShards(ctx, next.Retired)
	return nil
}

// findUnused returns all shards that are not in used.
func (v *Versioner) findUnused(ctx context.Context, _ []historyEntry, used map[string]bool) ([]retiredShard, error) {
	entries, err := v.list(ctx, shardPrefix)
	if err != nil {
		return nil, err
	}
	var shards []retiredShard
	for _, e := range entries {
		if hash := strings.TrimPrefix(e.Key, shardPrefix); !used[hash] {
			shards = append(shards, retiredShard{Hash: hash, Revision: e.Revision})
		}
	}
	return shards, nil
}

// findExpired returns the shards that only the expired history refers to.
func (v *Versioner) findExpired(ctx context.Context, expired []historyEntry, used map[string]bool) ([]retiredShard, error) {
	var shards []retiredShard
	seen := make(map[string]bool)
	for _, e := range expired {
		for _, hash := range e.change.Shards {
			if used[hash] || seen[hash] {
				continue
			}
			seen[hash] = true
			entry, found, err := v.get(ctx, shardPrefix+hash)
			if err != nil {
				return nil, err
			}
			if found {
				shards = append(shards, retiredShard{Hash: hash, Revision: entry.Revision})
			}
		}
	}
	return shards, nil
}

// deleteShards deletes retired shards and returns those whose keys may still have the retired revision.
func (v *Versioner) deleteShards(ctx context.Context, retired []retiredShard) []retiredShard {
	var pending []retiredShard
	for _, r := range retired {
		switch v.Store.Delete(ctx, shardPrefix+r.Hash, r.Revision) {
		case storer.ResultOK, storer.ResultNotFound, storer.ResultConflict:
		default:
			pending = append(pending, r)
		}
	}
	return pending
}

// swapRetired writes the list of retired shards to the head. It reports whether the head was still unchanged.
func (v *Versioner) swapRetired(ctx context.Context, h, next head) (bool, error) {
	if len(next.Retired) == 0 && len(h.Retired) == 0 {
		return true, nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return false, fmt.Errorf("encoding head: %w", err)
	}
	_, result := v.Store.Swap(ctx, HeadKey, value, h.revision, 0)
	switch result {
	case storer.ResultOK:
		return true, nil
	case storer.ResultConflict:
		return false, nil
	default:
		return false, unavailableError("swapping", HeadKey)
	}
}

// referencedShards returns the hashes of the shards that the head or the kept history refers to, and of those that
// are already retired.
func referencedShards(h head, kept []historyEntry) map[string]bool {
	used := make(map[string]bool)
	for _, hash := range h.Shards {
		used[hash] = true
	}
	for _, e := range kept {
		for _, hash := range e.change.Shards {
			used[hash] = true
		}
	}
	for _, r := range h.Retired {
		used[r.Hash] = true
	}
	return used
}
