// Package versioner keeps the versioned configuration in the key-value service.
//
// A configuration is cut into shards, immutable values that are named by the hash of their content.
// The key configuration/head names the version in force and its shards; the keys below
// configuration/history/ hold what the head said of earlier versions.
//
// # Applying
//
// Every write is a compare-and-swap of one key. Apply creates the shards that are missing, then
// copies what the head says now into the history, and then swaps the head. Nothing refers to the
// new shards before the swap, so that a crash before it leaves the old version in force, and at
// most unused shards and a history entry that is true already. The swap is the only moment at
// which the version changes. A crash after it leaves nothing to do.
//
// # Pruning
//
// A shard is deleted in two steps, so that a concurrent Apply can't come to refer to a shard that
// is gone. Prune first swaps the head for one that lists the shard, with its revision, as retired.
// That makes every Apply fail that read the head before, and these start again. An Apply that
// needs a retired shard writes it anew, which changes its revision. Prune then deletes the shard
// only at the retired revision, which is never reused. A shard leaves the list only once it is
// known not to be at that revision any more, so a delete that takes effect late harms nothing.
package versioner

import (
	"context"
	"time"

	"samphirewharf/internal/external/storer"
)

const (
	defaultKeepVersions = 20
	// maxAttempts bounds how often a write is repeated whose outcome is unknown or that met a conflict.
	maxAttempts    = 8
	defaultBackoff = 100 * time.Millisecond
)

// A Store is the key-value service, as functions of storer.Client.
type Store struct {
	Get    func(ctx context.Context, key string) (storer.Entry, storer.Result)
	Swap   func(ctx context.Context, key string, value []byte, revision, leaseID int64) (int64, storer.Result)
	Delete func(ctx context.Context, key string, revision int64) storer.Result
	List   func(ctx context.Context, prefix string) ([]storer.Entry, storer.Result)
}

// A Versioner reads and changes the versioned configuration.
type Versioner struct {
	Store Store
	// KeepVersions is how many versions Prune keeps, the one in force included; 0 means 20.
	KeepVersions int
	// Now returns the time that changes are stamped with; nil means time.Now.
	Now func() time.Time
	// Pause waits before a call is repeated; nil means a tenth of a second.
	Backoff func(ctx context.Context)
}

// NewStore returns the functions of a client.
func NewStore(client *storer.Client) Store {
	return Store{Get: client.Get, Swap: client.Swap, Delete: client.Delete, List: client.List}
}

func (v *Versioner) keepVersions() int64 {
	if v.KeepVersions <= 0 {
		return defaultKeepVersions
	}
	return int64(v.KeepVersions)
}

func (v *Versioner) now() time.Time {
	if v.Now == nil {
		return time.Now()
	}
	return v.Now()
}

func (v *Versioner) backoff(ctx context.Context) {
	if v.Backoff != nil {
		v.Backoff(ctx)
		return
	}
	timer := time.NewTimer(defaultBackoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// create makes a key if it does not exist. It is nil once the key is known to exist.
func (v *Versioner) create(ctx context.Context, key string, value []byte) error {
	for range maxAttempts {
		_, result := v.Store.Swap(ctx, key, value, 0, 0)
		switch result {
		case storer.ResultOK, storer.ResultConflict:
			return nil
		case storer.ResultNotSent:
			return unavailableError("creating", key)
		}
		v.backoff(ctx)
	}
	return unavailableError("creating", key)
}

// get reads a key. It repeats a read that was not answered.
func (v *Versioner) get(ctx context.Context, key string) (entry storer.Entry, found bool, err error) {
	for range maxAttempts {
		entry, result := v.Store.Get(ctx, key)
		switch result {
		case storer.ResultOK:
			return entry, true, nil
		case storer.ResultNotFound:
			return storer.Entry{}, false, nil
		case storer.ResultNotSent:
			return storer.Entry{}, false, unavailableError("reading", key)
		}
		v.backoff(ctx)
	}
	return storer.Entry{}, false, unavailableError("reading", key)
}
