// Package sequencer orders the changes of a key-value service that may be restored from a copy. The service then uses its
// numbers again, so they are ordered by its epoch first, which rises with each restoration.
package sequencer

// epochShift is the number of bits below the epoch. It allows for a million changes a second for 12 days, and keeps the
// revisions of the first 8192 epochs exact as floating-point numbers, since engines get them as JSON.
const epochShift = 40

// NewRevision returns the revision for a number of the service in an epoch. Revisions of a later epoch are higher than all
// of an earlier one.
func NewRevision(epoch, number int64) int64 { return epoch<<epochShift | number }

// Epoch returns the epoch of a revision.
func Epoch(revision int64) int64 { return revision >> epochShift }

// Number returns the number that the service has for a revision.
func Number(revision int64) int64 { return revision & (1<<epochShift - 1) }
