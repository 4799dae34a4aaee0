// Package storer is the client of the platform's key-value service, which speaks the JSON form of the etcd v3 API.
package storer

// A Result tells what is known about a call to the key-value service that has ended.
type Result uint8

// The results.
const (
	// ResultUnknown means that the call may have taken effect, or may still take effect.
	ResultUnknown Result = iota
	// ResultOK means that the call took effect.
	ResultOK
	// ResultConflict means that the key's revision was not the expected one; nothing changed.
	ResultConflict
	// ResultNotSent means that the call did not leave the daemon; nothing changed.
	ResultNotSent
	// ResultNotFound means that the key does not exist.
	ResultNotFound
)

// An Entry is a key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the revision of the key's last change. It is never reused, not even after the key is deleted.
	Revision int64
}
