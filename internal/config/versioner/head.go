package versioner

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// Keys in the key-value service.
const (
	// HeadKey is the key of the change in force. It changes with each version, so it can be watched.
	HeadKey       = "configuration/head"
	shardPrefix   = "configuration/shards/"
	historyPrefix = "configuration/history/"
)

// A Change is one accepted version of the configuration.
type Change struct {
	// Version is 1 for the first change and increases by 1 with each.
	Version int64
	// ChangeID identifies the attempt to apply the change.
	ChangeID  string
	Operator  string
	Comment   string
	AppliedAt time.Time
	// Shards are the hashes of the configuration's shards, in order.
	Shards []string
}

// A head is the value of HeadKey. The zero value represents a missing key.
type head struct {
	Change
	// Retired are the shards that no kept version refers to and that are being deleted.
	Retired []retiredShard `json:",omitempty"`

	// revision is the key's revision, 0 if it is missing.
	revision int64
}

// A retiredShard is a shard that is to be deleted if its key still has the revision.
type retiredShard struct {
	Hash     string
	Revision int64
}

func historyKey(version int64) string { return fmt.Sprintf("%s%019d", historyPrefix, version) }

// readHead reads the head. It returns the zero value if the key is missing.
func (v *Versioner) readHead(ctx context.Context) (head, error) {
	entry, found, err := v.get(ctx, HeadKey)
	if err != nil || !found {
		return head{}, err
	}
	var h head
	if err := json.Unmarshal(entry.Value, &h); err != nil {
		return head{}, corruptedError(HeadKey, err)
	}
	h.revision = entry.Revision
	return h, nil
}

// readChange returns the change that created the version, from the head or the history.
func (v *Versioner) readChange(ctx context.Context, h head, version int64) (Change, error) {
	if version == h.Version && version > 0 {
		return h.Change, nil
	}
	entry, found, err := v.get(ctx, historyKey(version))
	if err != nil {
		return Change{}, err
	}
	if !found {
		return Change{}, fmt.Errorf("reading version %d: %w", version, ErrUnknownVersion)
	}
	var c Change
	if err := json.Unmarshal(entry.Value, &c); err != nil {
		return Change{}, corruptedError(entry.Key, err)
	}
	return c, nil
}

// findRetired returns the retired shard with the hash and reports whether there is one.
func (h head) findRetired(hash string) (retiredShard, bool) {
	for _, r := range h.Retired {
		if r.Hash == hash {
			return r, true
		}
	}
	return retiredShard{}, false
}
