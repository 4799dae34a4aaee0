package keeper

import "samphirewharf/internal/config/cataloger"

// Faults are what goes wrong in the service. They are the body of POST /stand-in/faults, which replaces all.
type Faults struct {
	// Down closes each connection without an answer; nothing takes effect and watches end.
	Down bool
	// Delay is how long each call waits before it takes effect, also when its caller has given up.
	// Replacing the faults ends the wait.
	Delay cataloger.Duration
	// LoseAnswersShare is the share of calls, watches excepted, that take effect and are never answered.
	LoseAnswersShare float64
	// LoseAnswersNext is how many of the next writes take effect and are never answered.
	LoseAnswersNext int
	// RefuseWrites answers writes with an error; they don't take effect.
	RefuseWrites bool
}

// Counts are how many calls of each kind came. They are the answer of GET /stand-in/counts.
type Counts struct {
	Range       int64
	Put         int64
	DeleteRange int64
	Txn         int64
	Grant       int64
	KeepAlive   int64
	Revoke      int64
	Watch       int64
	// Reads and Writes sum the calls up; a waiting watch is one read.
	Reads  int64
	Writes int64
	// Refused are the calls that were over a rate limit or met RefuseWrites.
	Refused int64
	// Lost are the calls that took effect without an answer.
	Lost int64
	// Watching is how many watches wait now.
	Watching int64
	// Keys is how many keys exist now, Bytes the size of their keys and values.
	Keys  int64
	Bytes int64
	// Revision is the revision now.
	Revision int64
}
