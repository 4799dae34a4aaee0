package versioner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/external/storer"
)

// An applyOperation is one call of Apply.
type applyOperation struct {
	*Versioner
	expected int64
	// change is what the head is to say.
	change Change
	shards []shard
	// sent tells that a swap of the head with this change had an unknown outcome, so that it may take effect late.
	mayTakeEffect bool
}

// Apply makes the configuration the version after expectedVersion, which is 0 before the first.
// The change ID must be unique for each change.
//
// The error is a *ConflictError if another change came first, an *OutcomeUnknownError if it can't
// be told whether the change takes effect, or wraps ErrStoreUnavailable, ErrTooLarge or ErrDamaged;
// then the change does not take effect.
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
// version. It returns what the first attempt made, or makes the change if that is still possible.
// Its errors are those of Apply, but it never wraps ErrStoreUnavailable: the first attempt may
// still take effect.
func (v *Versioner) Reapply(
	ctx context.Context, c cataloger.Configuration, expectedVersion int64, changeID, operator, comment string,
) (Change, error) {
	return v.apply(ctx, applyOperation{mayTakeEffect: true, expected: expectedVersion, change: Change{
		ChangeID: changeID,
		Operator: operator,
		Comment:  comment,
	}}, c)
}

// apply completes an application and runs it.
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

// run attempts the change until its outcome is known.
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

// write writes all that the new head refers to, and then the head.
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

// resolve tells what became of the change when another version than the expected one is in force.
func (a *applyOperation) resolve(ctx context.Context, h head) (Change, error) {
	if h.Version == 0 {
		return Change{}, ErrNoConfiguration
	}
	conflict := &ConflictError{Expected: a.expected, Conflicting: h.Change, InForce: h.Version}
	if h.Version < a.expected {
		return Change{}, conflict
	}
	winner, err := a.readChange(ctx, h, a.expected+1)
	switch {
	case errors.Is(err, ErrUnknownVersion) && !a.mayTakeEffect:
		return Change{}, conflict
	case err != nil:
		return Change{}, err
	case winner.ChangeID == a.change.ChangeID:
		return winner, nil
	}
	conflict.Conflicting = winner
	return Change{}, conflict
}

// ensureShard makes sure that a shard exists and is not deleted as long as the head is the given one.
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
		// The revision is 0 if the shard is gone.
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

func withoutShard(retired []retiredShard, hash string) []retiredShard {
	kept := retired[:0]
	for _, r := range retired {
		if r.Hash != hash {
			kept = append(kept, r)
		}
	}
	return kept
}
