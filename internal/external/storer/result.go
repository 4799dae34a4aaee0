// Package storer is a client of the platform's key-value service, which implements the JSON form of the etcd v3 API.
package storer

import "errors"

// A Result is the outcome of a call to the key-value service, as far as it is known.
type Result uint8

// The results.
const (
	// ResultUnknown means that the call may have taken effect, or may still take effect.
	ResultUnknown Result = iota
	// ResultOK means that the call took effect.
	ResultOK
	// ResultConflict means that the key's revision didn't match; nothing changed.
	ResultConflict
	// ResultNotSent means that the call was not sent; nothing changed.
	ResultNotSent
	// ResultNotFound means that the key or lease doesn't exist.
	ResultNotFound
)

// An Entry is a key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the revision of the key's last change. It is never reused, even after the key is deleted.
	Revision int64
}

// ErrRefused is wrapped by the errors of calls that the service has refused, as it is unavailable or overloaded.
var ErrRefused = errors.New("refused")

// A Change is a key that was written, or deleted if Deleted is set. Its Revision is that of the change.
type Change struct {
	Entry
	Deleted bool
}
