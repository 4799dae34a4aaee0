package versioner

import (
	"errors"
	"fmt"
)

// Errors of this package.
var (
	// ErrStoreUnavailable means that the key-value service did not answer. No change was made.
	ErrStoreUnavailable = errors.New("key-value service is unavailable")
	// ErrNoConfiguration means that no configuration has been applied yet.
	ErrNoConfiguration = errors.New("no configuration has been applied yet")
	// ErrUnknownVersion means that a version does not exist or is no longer kept.
	ErrUnknownVersion = errors.New("version is not kept")
	// ErrCorrupted means that a stored value is missing or is not one that this package writes.
	ErrCorrupted = errors.New("stored configuration is corrupted")
	// ErrTooLarge means that a part of the configuration exceeds the size of one stored value.
	ErrTooLarge = errors.New("configuration has a deployment that is too large to store")
)

// A ConflictError means that a change was not made because another one was applied first.
type ConflictError struct {
	// Expected is the version that the change was based on.
	Expected int64
	// Conflicting is the change that followed the expected version, or the one in force if that version is no
	// longer kept.
	Conflicting Change
	// InForce is the version in force.
	InForce int64
}

// Error returns the expected version, and the version, ID and operator of the conflicting change.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("expected version %d, but version %d was made by change %s of operator %q (in force: version %d)",
		e.Expected, e.Conflicting.Version, e.Conflicting.ChangeID, e.Conflicting.Operator, e.InForce)
}

// An OutcomeUnknownError means that a change may or may not take effect, now or later.
// Reapply with the same change ID and expected version resolves the outcome.
type OutcomeUnknownError struct {
	ChangeID string
	Expected int64
}

// Error returns the change ID that the change must be repeated with.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("change %s for version %d may or may not take effect; repeat it with the same change ID",
		e.ChangeID, e.Expected)
}

// unavailableError wraps ErrStoreUnavailable.
func unavailableError(operation, key string) error {
	return fmt.Errorf("%s %s: %w", operation, key, ErrStoreUnavailable)
}

// corruptedError wraps ErrCorrupted and its cause.
func corruptedError(key string, cause error) error {
	return fmt.Errorf("decoding %s: %w: %w", key, ErrCorrupted, cause)
}
