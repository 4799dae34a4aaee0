package claimer

import (
	"time"

	"samphirewharf/internal/caller/refuser"
)

// An Action is one output of a Machine, carried out by its caller.
type Action interface{ action() }

// A Read action reads a key and ends in Machine.StoreAnswer.
type Read struct {
	Op  uint64
	Key string
}

// A Swap action writes a key if its revision is the given one; revision 0 means that it must not
// exist. It ends in Machine.StoreAnswer.
type Swap struct {
	Op       uint64
	Key      string
	Value    []byte
	Revision int64
}

// A Delete action deletes a key if its revision is the given one and ends in Machine.StoreAnswer.
type Delete struct {
	Op       uint64
	Key      string
	Revision int64
}

// A Granted action tells that the request may be dispatched now, once. It must be followed by one
// of Machine.Complete, Machine.Fail or, if it was never dispatched, Machine.Release.
type Granted struct{ Request uint64 }

// A Denied action is the final refusal of a request.
type Denied struct {
	Request    uint64
	Code       refuser.Code
	Ran        refuser.Ran
	RetryAfter time.Duration
}

// A Replayed action answers a repeated request with the answer of the first.
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
