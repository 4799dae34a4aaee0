package versioner

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"samphirewharf/internal/platform/storer"
)

// Prune deletes the history of versions that are no longer kept, and the shards that only they
// refer to. See the package's comment for why no concurrent change is harmed. A Prune that breaks
// off leaves work to the next. The error wraps ErrStoreUnavailable or ErrDamaged.
func (v *Versioner) Prune(ctx context.Context) error { return v.prune(ctx, v.candidates) }

// Sweep prunes and also deletes shards that no version refers to, such as those of changes that
// were broken off. It reads all shards.
func (v *Versioner) Sweep(ctx context.Context) error { return v.prune(ctx, v.allCandidates) }

// prune does what Prune and Sweep have in common. The function returns shards that may be retired.
func (v *Versioner) prune(
	ctx context.Context, candidates func(context.Context, []historyEntry) ([]retiredShard, error),
) error {
	h, err := v.readHead(ctx)
	if err != nil || h.Version == 0 {
		return err
	}
	history, err := v.listHistory(ctx)
	if err != nil {
		return err
	}
	old := 0
	for old < len(history) && history[old].change.Version <= h.Version-v.keepVersions() {
		old++
	}
	retire, err := candidates(ctx, history[:old])
	if err != nil {
		return err
	}
	waiting := v.deleteShards(ctx, h.Retired)
	next := head{Change: h.Change, Retired: append([]retiredShard(nil), waiting...)}
	next.Retired = append(next.Retired, unused(retire, h, history[old:])...)
	if swapped, err := v.swapRetired(ctx, h, next); err != nil || !swapped {
		return err
	}
	for _, e := range history[:old] {
		v.Store.Delete(ctx, e.key, e.revision)
	}
	v.deleteShards(ctx, next.Retired)
	return nil
}

// allCandidates returns all shards that exist.
func (v *Versioner) allCandidates(ctx context.Context, _ []historyEntry) ([]retiredShard, error) {
	entries, err := v.list(ctx, shardPrefix)
	if err != nil {
		return nil, err
	}
	shards := make([]retiredShard, 0, len(entries))
	for _, e := range entries {
		shards = append(shards, retiredShard{Hash: strings.TrimPrefix(e.Key, shardPrefix), Revision: e.Revision})
	}
	return shards, nil
}

// candidates returns the shards of old versions that exist.
func (v *Versioner) candidates(ctx context.Context, old []historyEntry) ([]retiredShard, error) {
	var shards []retiredShard
	seen := make(map[string]bool)
	for _, e := range old {
		for _, hash := range e.change.Shards {
			if seen[hash] {
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

// deleteShards deletes retired shards and returns those that may still be at their revision.
func (v *Versioner) deleteShards(ctx context.Context, retired []retiredShard) []retiredShard {
	var waiting []retiredShard
	for _, r := range retired {
		switch v.Store.Delete(ctx, shardPrefix+r.Hash, r.Revision) {
		case storer.ResultOK, storer.ResultNotFound, storer.ResultConflict:
		default:
			waiting = append(waiting, r)
		}
	}
	return waiting
}

// swapRetired writes the list of retired shards. It returns false if the head has changed meanwhile.
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
		return false, unavailable("swapping", HeadKey)
	}
}

// unused returns the shards that neither the head nor the kept history refers to and that are not retired yet.
func unused(shards []retiredShard, h head, kept []historyEntry) []retiredShard {
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
	var free []retiredShard
	for _, s := range shards {
		if !used[s.Hash] {
			free = append(free, s)
		}
	}
	return free
}
