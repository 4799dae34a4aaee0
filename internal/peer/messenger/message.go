// Package messenger defines the messages between daemons and sends them by twirp.
package messenger

import (
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/decision/planner"
)

// A Message is a message from one daemon to another. Only the parts that are set apply.
type Message struct {
	// From is the sender's daemon ID, Instance identifies its process, and Address is where it receives messages.
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
	Evidence  *Evidence
	Origins   *Origins
	// QuotaAsk, QuotaGrant and Standing are about the quotas of workspaces.
	QuotaAsk   *QuotaAsk
	QuotaGrant *QuotaGrant
	Standing   *Standing
	// FleetRequested reports whether the sender asks for the receiver's whole view of the servers.
	FleetRequested bool
}

// A Heartbeat signals that the sender is alive.
type Heartbeat struct {
	// ConfigurationVersion is the configuration version in force at the sender.
	ConfigurationVersion int64
	// Placements are the revisions of the placement records that the sender has received, by cell.
	Placements map[string]int64
	// Leaving reports whether the sender is in a planned stop.
	Leaving bool
	// InFlight is the number of requests in flight at the sender.
	InFlight int
}

// A ServerReport is one server's report that the sender has polled.
type ServerReport struct {
	Server string
	// Age is the age of the report when it is sent.
	Age    time.Duration
	Report orderer.Report
	// LoadOnly reports whether only Sequence, CacheEvents, and each replica's ID and load are set in the report;
	// all else is unchanged since the sender's previous message.
	LoadOnly bool
	// Unreachable reports whether the server left the last polls unanswered.
	Unreachable bool
}

// Needs is the complete list of the deployments with requests waiting at the sender, for a cell's placer.
type Needs struct {
	Cell string
	// Sequence increases with every message of the instance.
	Sequence int64
	Waiting  []planner.Need
	// Renounced are the replicas whose load order the sender decided on, has not sent and will never send.
	Renounced []string
}

// A Forecast is the placer's estimate of when a deployment that requests wait for becomes ready.
type Forecast struct {
	Deployment string
	ReadyIn    time.Duration
	// Impossible reports whether no backend server has enough memory for it; ReadyIn is then the time after which to
	// ask again.
	Impossible bool
}

// A Placement is a cell's placement record as written to the key-value service.
type Placement struct {
	Cell     string
	Revision int64
	Record   []byte
}

// A Verdict lists poisonous requests, which crash the servers that run them.
type Verdict struct {
	Cell   string
	Hashes []uint64
	// Expires is the remaining time to live of the verdict.
	Expires time.Duration
	// Suspects are the hashes of requests that were running when a server crashed.
	Suspects []uint64
}
