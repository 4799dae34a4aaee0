package claimer

import (
	"time"

	"samphirewharf/internal/caller/refuser"
)

// An Action is an output of a Machine that its caller carries out.
type Action interface{ action() }

// A Read action reads a key. Its answer goes to Machine.HandleStoreAnswer.
type Read struct {
	Op  uint64
	Key string
}

// A Swap action writes a key if its revision is the given one; revision 0 means that the key must not
// exist. Its answer goes to Machine.HandleStoreAnswer.
type Swap struct {
	Op       uint64
	Key      string
	Value    []byte
	Revision int64
}

// A Delete action deletes a key if its revision is the given one. Its answer goes to
// Machine.HandleStoreAnswer.
type Delete struct {
	Op       uint64
	Key      string
	Revision int64
}

// A Granted action allows the request to be dispatched once, now. It must be followed by one of
// Machine.Complete, Machine.Fail or, if the request was never dispatched, Machine.Release.
type Granted struct{ Request uint64 }

// A Denied action refuses a request for good.
type Denied struct {
	Request    uint64
	Code       refuser.Code
	Ran        refuser.RunState
	RetryAfter time.Duration
	// Moved reports whether the only reason is that the process no longer owns the partition. There is no claim of the request in the
	// key-value service, so it may be claimed at the new owner.
	Moved bool
}

// A Replayed action answers a repeated request with the recorded answer of the first one.
type Replayed struct {
	Request     uint64
	Status      int
	ContentType string
	Body        []byte
}

func (Read) action()     {}
func (Swap) action()     {}
func (Delete) action()   {}
func (Granted) action()  {}
func (Denied) action()   {}
func (Replayed) action() {}
