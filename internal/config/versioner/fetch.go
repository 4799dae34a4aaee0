package versioner

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/external/storer"
)

// A Snapshot is one version of the configuration, read from the key-value service.
type Snapshot struct {
	Configuration cataloger.Configuration
	// Change is the change that created the configuration.
	Change Change
	// Revision is the revision at which the head key was read.
	Revision int64
	// Shards are the shards of the configuration. Pass them to the next Fetch as a cache.
	Shards Shards
}

// Fetch reads the configuration in force. It reads only the shards that are not in cached, which may be nil.
// The error wraps ErrNoConfiguration, ErrStoreUnavailable or ErrCorrupted.
func (v *Versioner) Fetch(ctx context.Context, cached Shards) (Snapshot, error) {
	return v.fetch(ctx, 0, cached)
}

// FetchVersion reads a version. The error wraps ErrUnknownVersion if the version is not kept.
func (v *Versioner) FetchVersion(ctx context.Context, version int64, cached Shards) (Snapshot, error) {
	if version < 1 {
		return Snapshot{}, fmt.Errorf("reading version %d: %w", version, ErrUnknownVersion)
	}
	return v.fetch(ctx, version, cached)
}

// History returns the kept changes, newest first. The first is the one in force.
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

// fetch reads a version, or the one in force if version is 0. If a shard is missing, the version was pruned
// while it was read, and the head has changed: fetch then starts again. If the head has not changed, the
// stored configuration is corrupted or the version is not kept.
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

// readShards returns the shards with the hashes, or the key of the first one that is missing.
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

// A historyEntry is a change stored under historyPrefix.
type historyEntry struct {
	key      string
	revision int64
	change   Change
}

// listHistory returns the stored history, oldest first.
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

// list reads the keys with a prefix. It retries a read that was not answered.
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
