package versioner

import (
	"errors"
	"fmt"
)

// Errors of this package.
var (
	// ErrStoreUnavailable means that the key-value service did not answer. A change was not made.
	ErrStoreUnavailable = errors.New("key-value service is unavailable")
	// ErrNoConfiguration means that no configuration was ever applied.
	ErrNoConfiguration = errors.New("no configuration was applied yet")
	// ErrUnknownVersion means that a version does not exist or is no longer kept.
	ErrUnknownVersion = errors.New("version is not kept")
	// ErrDamaged means that the key-value service holds values that this package did not write.
	ErrCorrupted = errors.New("stored configuration is damaged")
	// ErrTooLarge means that a part of the configuration does not fit into one value.
	ErrTooLarge = errors.New("configuration has a deployment that is too large to store")
)

// A ConflictError means that a change was not made because another came first.
type ConflictError struct {
	// Expected is the version that the change was made for.
	Expected int64
	// Winner is the change that followed the expected version, or the one in force if that is not kept.
	Conflicting Change
	// InForce is the version in force.
	InForce int64
}

// Error names the version, the change and the operator that came first.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("expected version %d, but version %d was made by change %s of operator %q (in force: version %d)",
		e.Expected, e.Conflicting.Version, e.Conflicting.ChangeID, e.Conflicting.Operator, e.InForce)
}

// An OutcomeUnknownError means that a change may or may not take effect, now or later.
// Applying it again with the same change ID and expected version settles it.
type OutcomeUnknownError struct {
	ChangeID string
	Expected int64
}

// Error names the change ID to repeat the change with.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("change %s for version %d may or may not take effect; repeat it with the same change ID",
		e.ChangeID, e.Expected)
}

func unavailableError(operation, key string) error {
	return fmt.Errorf("%s %s: %w", operation, key, ErrStoreUnavailable)
}

func corruptedError(key string, cause error) error {
	return fmt.Errorf("decoding %s: %w: %w", key, ErrCorrupted, cause)
}
