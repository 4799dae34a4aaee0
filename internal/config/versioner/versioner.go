// Package versioner stores the versioned configuration in the key-value service.
//
// A configuration is split into shards, immutable values that are named by the hash of their content.
// The key configuration/head names the version in force and its shards; the keys below
// configuration/history/ hold the same data for earlier versions.
//
// # Applying
//
// Every write is a compare-and-swap of one key. Apply creates the missing shards, then copies the
// current head into the history, and then swaps the head. The swap is the only step that changes the
// version. Nothing refers to the new shards before it, so a crash before the swap leaves the old
// version in force, and at most unused shards and a history entry that is already correct. A crash
// after the swap leaves no work unfinished.
//
// # Pruning
//
// A shard is deleted in two steps, so that a concurrent Apply can't refer to a shard that has been
// deleted. Prune first swaps the head for one that lists the shard, with its revision, as retired.
// The swap of every Apply that read the earlier head then fails, and that Apply starts again. An Apply
// that needs a retired shard rewrites it, which changes its revision. Prune then deletes the shard
// only at the retired revision, which is never reused. A shard is removed from the list only when it is
// known to no longer have that revision, so a delayed delete is harmless.
package versioner

import (
	"context"
	"time"

	"samphirewharf/internal/external/storer"
)

const (
	defaultKeepVersions = 20
	// maxAttempts bounds the attempts of a call that was not answered, and of a change that met a conflict.
	maxAttempts    = 8
	defaultBackoff = 100 * time.Millisecond
)

// A Store gives access to the key-value service. Its functions have the semantics of those of storer.Client.
type Store struct {
	Get    func(ctx context.Context, key string) (storer.Entry, storer.Result)
	Swap   func(ctx context.Context, key string, value []byte, revision, leaseID int64) (int64, storer.Result)
	Delete func(ctx context.Context, key string, revision int64) storer.Result
	List   func(ctx context.Context, prefix string) ([]storer.Entry, storer.Result)
}

// A Versioner reads and changes the versioned configuration.
type Versioner struct {
	Store Store
	// KeepVersions is the number of versions that Prune keeps, including the one in force; 0 means 20.
	KeepVersions int
	// Now returns the time that is recorded with a change; nil means time.Now.
	Now func() time.Time
	// Backoff waits before a call is retried; nil means a wait of 100 ms.
	Backoff func(ctx context.Context)
}

// NewStore returns a Store that uses the client.
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

// backoff waits before a retry, at most until the context is done.
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

// create creates a key if it does not exist. The error is nil if the key is known to exist afterwards.
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

// get reads a key. It retries a read that was not answered.
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
