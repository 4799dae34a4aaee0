package versioner

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/external/storer"
)

// A Snapshot is a configuration that was read.
type Snapshot struct {
	Configuration cataloger.Configuration
	// Change is the change that made it.
	Change Change
	// Revision is the revision that the head key was read at.
	Revision int64
	// Shards are the shards that it was put together from. Give them to the next Fetch.
	Shards Shards
}

// Fetch reads the configuration in force. It reads only the shards that are not in have, which may be nil.
// The error wraps ErrNoConfiguration, ErrStoreUnavailable or ErrDamaged.
func (v *Versioner) Fetch(ctx context.Context, cached Shards) (Snapshot, error) {
	return v.fetch(ctx, 0, cached)
}

// FetchVersion reads a version that is kept. The error wraps ErrUnknownVersion if it isn't.
func (v *Versioner) FetchVersion(ctx context.Context, version int64, cached Shards) (Snapshot, error) {
	if version < 1 {
		return Snapshot{}, fmt.Errorf("reading version %d: %w", version, ErrUnknownVersion)
	}
	return v.fetch(ctx, version, cached)
}

// History returns the changes that are kept, newest first. The first is the one in force.
func (v *Versioner) History(ctx context.Context) ([]Change, error) {
	h, err := v.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if h.Version == 0 {
		return nil, ErrNoConfiguration
	}
	entries, err := v.listHistory(ctx)
	if err != nil {
		return nil, err
	}
	changes := []Change{h.Change}
	for i := len(entries) - 1; i >= 0; i-- {
		if entries[i].change.Version == changes[len(changes)-1].Version-1 {
			changes = append(changes, entries[i].change)
		}
	}
	return changes, nil
}

// fetch reads a version, or the one in force if version is 0. A shard that is missing means that
// the version was pruned while it was read; then the head has changed.
func (v *Versioner) fetch(ctx context.Context, version int64, cached Shards) (Snapshot, error) {
	missing := ""
	revision := int64(-1)
	for range maxAttempts {
		h, err := v.readHead(ctx)
		if err != nil {
			return Snapshot{}, err
		}
		if h.Version == 0 {
			return Snapshot{}, ErrNoConfiguration
		}
		if h.revision == revision && version != 0 && version != h.Version {
			return Snapshot{}, fmt.Errorf("reading version %d: %w", version, ErrUnknownVersion)
		}
		if h.revision == revision {
			return Snapshot{}, fmt.Errorf("reading %s: %w: missing", missing, ErrCorrupted)
		}
		revision = h.revision
		change := h.Change
		if version != 0 {
			if change, err = v.readChange(ctx, h, version); err != nil {
				return Snapshot{}, err
			}
		}
		var shards Shards
		shards, missing, err = v.readShards(ctx, change.Shards, cached)
		if err != nil {
			return Snapshot{}, err
		}
		if missing == "" {
			return Snapshot{Configuration: mergeShards(change, shards), Change: change, Revision: h.revision, Shards: shards}, nil
		}
	}
	return Snapshot{}, unavailableError("reading", missing)
}

// readShards returns the shards with the hashes, or the key of one that is missing.
func (v *Versioner) readShards(ctx context.Context, hashes []string, cached Shards) (shards Shards, missing string, err error) {
	shards = make(Shards, len(hashes))
	for _, hash := range hashes {
		if known, ok := cached[hash]; ok {
			shards[hash] = known
			continue
		}
		entry, found, err := v.get(ctx, shardPrefix+hash)
		if err != nil {
			return nil, "", err
		}
		if !found {
			return nil, shardPrefix + hash, nil
		}
		if shards[hash], err = decodeShard(hash, entry.Value); err != nil {
			return nil, "", err
		}
	}
	return shards, "", nil
}

// A historyEntry is a change below historyPrefix.
type historyEntry struct {
	key      string
	revision int64
	change   Change
}

// listHistory returns the history, oldest first.
func (v *Versioner) listHistory(ctx context.Context) ([]historyEntry, error) {
	entries, err := v.list(ctx, historyPrefix)
	if err != nil {
		return nil, err
	}
	history := make([]historyEntry, 0, len(entries))
	for _, e := range entries {
		var c Change
		if err := json.Unmarshal(e.Value, &c); err != nil {
			return nil, corruptedError(e.Key, err)
		}
		history = append(history, historyEntry{key: e.Key, revision: e.Revision, change: c})
	}
	sort.Slice(history, func(i, j int) bool { return history[i].change.Version < history[j].change.Version })
	return history, nil
}

// list reads the keys with a prefix. It repeats a read that was not answered.
func (v *Versioner) list(ctx context.Context, prefix string) ([]storer.Entry, error) {
	for range maxAttempts {
		entries, result := v.Store.List(ctx, prefix)
		switch result {
		case storer.ResultOK, storer.ResultNotFound:
			return entries, nil
		case storer.ResultNotSent:
			return nil, unavailableError("listing", prefix)
		}
		v.backoff(ctx)
	}
	return nil, unavailableError("listing", prefix)
}
