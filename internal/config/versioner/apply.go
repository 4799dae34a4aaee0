package versioner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/external/storer"
)

// An applyOperation is one call of Apply or Reapply.
type applyOperation struct {
	*Versioner
	// expected is the version that the change replaces.
	expected int64
	// change is the change to write to the head.
	change Change
	shards []shard
	// mayTakeEffect reports whether a swap of the head with this change had an unknown outcome, in this call or an
	// earlier one. Such a swap may still take effect later.
	mayTakeEffect bool
}

// Apply writes the configuration as the version after expectedVersion, which is 0 for the first one.
// The change ID must be unique to each change.
//
// The error wraps a *ConflictError if another change was applied first, or an *OutcomeUnknownError if it
// is unknown whether the change takes effect. If it wraps ErrStoreUnavailable, ErrTooLarge or
// ErrCorrupted, the change does not take effect.
func (v *Versioner) Apply(
	ctx context.Context, c cataloger.Configuration, expectedVersion int64, changeID, operator, comment string,
) (Change, error) {
	return v.apply(ctx, applyOperation{expected: expectedVersion, change: Change{
		ChangeID: changeID,
		Operator: operator,
		Comment:  comment,
	}}, c)
}

// Reapply repeats a change after an *OutcomeUnknownError, with the same change ID and expected
// version. It returns the change if the first attempt made it, or makes it if that is still possible.
// Its errors are those of Apply, except that they never wrap ErrStoreUnavailable: the first attempt
// may still take effect.
func (v *Versioner) Reapply(
	ctx context.Context, c cataloger.Configuration, expectedVersion int64, changeID, operator, comment string,
) (Change, error) {
	return v.apply(ctx, applyOperation{mayTakeEffect: true, expected: expectedVersion, change: Change{
		ChangeID: changeID,
		Operator: operator,
		Comment:  comment,
	}}, c)
}

// apply completes the fields of an operation and runs it.
func (v *Versioner) apply(ctx context.Context, a applyOperation, c cataloger.Configuration) (Change, error) {
	shards, err := encodeShards(c)
	if err != nil {
		return Change{}, err
	}
	a.Versioner = v
	a.shards = shards
	a.change.Version = a.expected + 1
	a.change.AppliedAt = v.now().UTC()
	for _, s := range shards {
		a.change.Shards = append(a.change.Shards, s.hash)
	}
	change, err := a.run(ctx)
	var conflict *ConflictError
	if err != nil && a.mayTakeEffect && !errors.As(err, &conflict) {
		err = &OutcomeUnknownError{ChangeID: a.change.ChangeID, Expected: a.expected}
	}
	if err != nil {
		return Change{}, fmt.Errorf("applying change %s: %w", a.change.ChangeID, err)
	}
	return change, nil
}

// run attempts the change until its outcome is known, at most maxAttempts times.
func (a *applyOperation) run(ctx context.Context) (Change, error) {
	for range maxAttempts {
		h, err := a.readHead(ctx)
		if err != nil {
			return Change{}, err
		}
		if h.Version != a.expected {
			return a.resolve(ctx, h)
		}
		result, err := a.write(ctx, h)
		switch {
		case err != nil:
			return Change{}, err
		case result == storer.ResultOK:
			return a.change, nil
		case result == storer.ResultNotSent:
			return Change{}, unavailableError("swapping", HeadKey)
		case result == storer.ResultUnknown:
			a.mayTakeEffect = true
		}
		a.backoff(ctx)
	}
	return Change{}, unavailableError("swapping", HeadKey)
}

// write writes everything that the new head refers to, and then swaps the head.
func (a *applyOperation) write(ctx context.Context, h head) (storer.Result, error) {
	next := head{Change: a.change, Retired: append([]retiredShard(nil), h.Retired...)}
	for _, s := range a.shards {
		if err := a.ensureShard(ctx, h, s); err != nil {
			return 0, err
		}
		next.Retired = withoutShard(next.Retired, s.hash)
	}
	if h.Version > 0 {
		value, err := json.Marshal(h.Change)
		if err != nil {
			return 0, fmt.Errorf("encoding history: %w", err)
		}
		if err := a.create(ctx, historyKey(h.Version), value); err != nil {
			return 0, err
		}
	}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, fmt.Errorf("encoding head: %w", err)
	}
	_, result := a.Store.Swap(ctx, HeadKey, value, h.revision, 0)
	return result, nil
}

// resolve determines the outcome of the change when the version in force is not the expected one.
func (a *applyOperation) resolve(ctx context.Context, h head) (Change, error) {
	if h.Version == 0 {
		return Change{}, ErrNoConfiguration
	}
	conflict := &ConflictError{Expected: a.expected, Conflicting: h.Change, InForce: h.Version}
	if h.Version < a.expected {
		return Change{}, conflict
	}
	successor, err := a.readChange(ctx, h, a.expected+1)
	switch {
	case errors.Is(err, ErrUnknownVersion) && !a.mayTakeEffect:
		return Change{}, conflict
	case err != nil:
		return Change{}, err
	case successor.ChangeID == a.change.ChangeID:
		return successor, nil
	}
	conflict.Conflicting = successor
	return Change{}, conflict
}

// ensureShard ensures that a shard exists and is not deleted while the head is unchanged.
func (a *applyOperation) ensureShard(ctx context.Context, h head, s shard) error {
	key := shardPrefix + s.hash
	for _, hash := range h.Shards {
		if hash == s.hash {
			return nil
		}
	}
	retired, ok := h.findRetired(s.hash)
	if !ok {
		return a.create(ctx, key, s.value)
	}
	for range maxAttempts {
		entry, found, err := a.get(ctx, key)
		if err != nil {
			return err
		}
		if found && entry.Revision != retired.Revision {
			return nil
		}
		// The revision is 0 if the shard was deleted.
		_, result := a.Store.Swap(ctx, key, s.value, entry.Revision, 0)
		if result == storer.ResultOK {
			return nil
		}
		if result == storer.ResultNotSent {
			return unavailableError("rewriting", key)
		}
		a.backoff(ctx)
	}
	return unavailableError("rewriting", key)
}

// withoutShard removes the shard with the hash from the list.
func withoutShard(retired []retiredShard, hash string) []retiredShard {
	kept := retired[:0]
	for _, r := range retired {
		if r.Hash != hash {
			kept = append(kept, r)
		}
	}
	return kept
}
