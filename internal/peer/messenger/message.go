// Package messenger defines the messages between daemons and carries them by twirp.
package messenger

import (
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/decision/planner"
)

// A Message is what one daemon sends another. Exactly the parts that are set are meant.
type Message struct {
	// From is the sender's daemon ID, Instance its process, Address where it takes messages.
	From     string
	Instance string
	Address  string
	Zone     string
	Region   string

	Heartbeat *Heartbeat
	Reports   []ServerReport
	Needs     *Needs
	Placement *Placement
	Verdict   *Verdict
	Forecasts []Forecast
	Demand    *Demand
	Fleet     *Fleet
	Subscribe *Subscribe
	Feed      *Feed
}

// A Heartbeat tells that the sender is alive.
type Heartbeat struct {
	// ConfigurationVersion is the version in force at the sender.
	ConfigurationVersion int64
	// Placements are the revisions of the placement records that the sender knows, by cell.
	Placements map[string]int64
	// Leaving tells that the sender is in a planned stop.
	Leaving bool
	// InFlight is how many requests the sender holds.
	InFlight int
}

// A ServerReport is the digest of one server's report that the sender has polled.
type ServerReport struct {
	Server string
	// Age is how old the report is at sending.
	Age    time.Duration
	Report orderer.Report
	// LoadOnly tells that of the report only Sequence, CacheEvents, and each replica's ID and load are set;
	// all else is as the sender told before.
	LoadOnly bool
	// Unreachable tells that the server did not answer the last polls.
	Unreachable bool
}

// Needs tell a cell's placer which deployments have requests waiting at the sender, in full.
type Needs struct {
	Cell string
	// Sequence grows with every message of the instance.
	Sequence int64
	Waiting  []planner.Need
	// Renounced are replicas whose load order the sender decided, did not send and will never send.
	Renounced []string
}

// A Forecast tells when the placer expects a deployment that requests wait for to be ready.
type Forecast struct {
	Deployment string
	ReadyIn    time.Duration
	// Impossible tells that no backend server has memory for it; ReadyIn is then when to ask again.
	Impossible bool
}

// A Placement is a cell's placement record as written to the key-value service.
type Placement struct {
	Cell     string
	Revision int64
	Record   []byte
}

// A Verdict convicts requests that crash the servers that run them.
type Verdict struct {
	Cell   string
	Hashes []uint64
	// Expires is how long the verdict holds from now on.
	Expires time.Duration
	// Suspects are hashes of requests that were running when a server died.
	Suspects []uint64
}
