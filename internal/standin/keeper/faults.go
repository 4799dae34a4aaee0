package keeper

import "samphirewharf/internal/config/cataloger"

// Faults are the injected faults. They are the body of POST /stand-in/faults, which replaces all of them.
type Faults struct {
	// Down closes each connection without an answer; nothing takes effect and watches end.
	Down bool
	// Delay is how long each call waits before it takes effect, even if its caller has given up.
	// Replacing the faults ends the delay.
	Delay cataloger.Duration
	// LoseAnswersShare is the share of calls, except watches, that take effect and are never answered.
	LoseAnswersShare float64
	// LoseAnswersNext is how many of the next writes take effect and are never answered.
	LoseAnswersNext int
	// RefuseWrites answers writes with an error, without effect.
	RefuseWrites bool
}

// Counts are the numbers of calls by kind and the current state. They are the answer to GET /stand-in/counts.
type Counts struct {
	Range       int64
	Put         int64
	DeleteRange int64
	Txn         int64
	Grant       int64
	KeepAlive   int64
	Revoke      int64
	Watch       int64
	// Reads and Writes are the totals of the calls; a watch counts as one read.
	Reads  int64
	Writes int64
	// Refused is the number of calls refused because of a rate limit or RefuseWrites.
	Refused int64
	// Lost is the number of calls that took effect without an answer.
	Lost int64
	// Watching is the current number of watches.
	Watching int64
	// Keys is the current number of keys, Bytes the total size of keys and values.
	Keys  int64
	Bytes int64
	// Revision is the current revision.
	Revision int64
}
