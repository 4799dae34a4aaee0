package planner

import (
	"cmp"
	"slices"
	"time"
)

// demandTTL is how long a daemon's needs are valid unless they are repeated.
const demandTTL = 3 * time.Second

// A Need summarizes the requests of one daemon for one deployment and adapter.
type Need struct {
	Deployment string
	Adapter    string
	// Urgent and CanWait are the numbers of waiting requests that are urgent and that can wait.
	Urgent  int
	CanWait int
	// Slack is the time until the earliest deadline of the waiting requests.
	Slack time.Duration
	// Used reports whether requests have run since the last report, so that the replica is not idle.
	Used bool
	// Running is the number of the daemon's requests that are running at the deployment's replicas.
	Running int
}

// demand holds the needs of all daemons of the cell.
type demand struct {
	byDaemon map[string]daemonDemand
}

type daemonDemand struct {
	sequence   int64
	instance   string
	receivedAt time.Duration
	needs      []Need
}

// A deploymentDemand is the sum of all daemons' needs of one deployment.
type deploymentDemand struct {
	deployment string
	urgent     int
	canWait    int
	running    int
	deadline   time.Duration
	adapters   []adapterDemand
}

type adapterDemand struct {
	name     string
	waiting  int
	deadline time.Duration
}

func (d deploymentDemand) waiting() int { return d.urgent + d.canWait }

// set replaces a daemon's needs if they are newer than the known ones, and reports whether they are.
func (d *demand) set(now time.Duration, daemon, instance string, sequence int64, needs []Need) bool {
	if d.byDaemon == nil {
		d.byDaemon = make(map[string]daemonDemand)
	}
	old, ok := d.byDaemon[daemon]
	if ok && old.instance == instance && old.sequence >= sequence {
		return false
	}
	d.byDaemon[daemon] = daemonDemand{sequence: sequence, instance: instance, receivedAt: now, needs: needs}
	return true
}

// totals returns the demand by deployment, urgent demand and early deadlines first.
func (d *demand) totals(now time.Duration) []deploymentDemand {
	totals := make(map[string]*deploymentDemand)
	for daemon, daemonNeeds := range d.byDaemon {
		if now-daemonNeeds.receivedAt > demandTTL {
			delete(d.byDaemon, daemon)
			continue
		}
		for _, need := range daemonNeeds.needs {
			addNeed(totals, need, daemonNeeds.receivedAt)
		}
	}
	list := make([]deploymentDemand, 0, len(totals))
	for _, total := range totals {
		slices.SortFunc(total.adapters, compareAdapterDemand)
		list = append(list, *total)
	}
	slices.SortFunc(list, compareDemand)
	return list
}

// hasWaiting reports whether any request is waiting.
func (d *demand) hasWaiting() bool {
	for _, daemonNeeds := range d.byDaemon {
		for _, need := range daemonNeeds.needs {
			if need.Urgent+need.CanWait > 0 {
				return true
			}
		}
	}
	return false
}

func addNeed(totals map[string]*deploymentDemand, need Need, receivedAt time.Duration) {
	total, ok := totals[need.Deployment]
	if !ok {
		total = &deploymentDemand{deployment: need.Deployment}
		totals[need.Deployment] = total
	}
	waiting := need.Urgent + need.CanWait
	total.urgent += need.Urgent
	total.canWait += need.CanWait
	total.running += need.Running
	if waiting == 0 {
		return
	}
	deadline := receivedAt + need.Slack
	if total.deadline == 0 || deadline < total.deadline {
		total.deadline = deadline
	}
	if need.Adapter != "" {
		total.addAdapter(need.Adapter, waiting, deadline)
	}
}

func (d *deploymentDemand) addAdapter(name string, waiting int, deadline time.Duration) {
	for i := range d.adapters {
		if d.adapters[i].name == name {
			d.adapters[i].waiting += waiting
			d.adapters[i].deadline = min(d.adapters[i].deadline, deadline)
			return
		}
	}
	d.adapters = append(d.adapters, adapterDemand{name: name, waiting: waiting, deadline: deadline})
}

func compareAdapterDemand(a, b adapterDemand) int {
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.name, b.name))
}

func compareDemand(a, b deploymentDemand) int {
	aUrgent, bUrgent := a.urgent > 0, b.urgent > 0
	if aUrgent != bUrgent {
		if aUrgent {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.deployment, b.deployment))
}
