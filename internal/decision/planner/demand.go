package planner

import (
	"cmp"
	"slices"
	"time"
)

// demandLife is how long a daemon's needs count without being repeated.
const demandLife = 3 * time.Second

// A Need is the requests of one daemon that wait for one deployment.
type Need struct {
	Deployment string
	Adapter    string
	Urgent     int
	CanWait    int
	// Slack is the time until the earliest deadline among them.
	Slack time.Duration
	// Used tells that requests ran since the last report, so that the replica is not idle.
	Used bool
	// Running is how many requests of the daemon are running at the deployment's replicas.
	Running int
}

// demand is what all daemons of the cell wait for.
type demand struct {
	byDaemon map[string]daemonDemand
}

type daemonDemand struct {
	sequence int64
	instance string
	at       time.Duration
	needs    []Need
}

// A want is one deployment's need summed over the daemons.
type want struct {
	deployment string
	urgent     int
	canWait    int
	running    int
	deadline   time.Duration
	adapters   []adapterWant
}

type adapterWant struct {
	name     string
	waiting  int
	deadline time.Duration
}

func (w want) waiting() int { return w.urgent + w.canWait }

// set replaces a daemon's needs and reports whether they were newer than the known ones.
func (d *demand) set(now time.Duration, daemon, instance string, sequence int64, needs []Need) bool {
	if d.byDaemon == nil {
		d.byDaemon = make(map[string]daemonDemand)
	}
	old, ok := d.byDaemon[daemon]
	if ok && old.instance == instance && old.sequence >= sequence {
		return false
	}
	d.byDaemon[daemon] = daemonDemand{sequence: sequence, instance: instance, at: now, needs: needs}
	return true
}

// wants returns the summed needs, urgent ones and near deadlines first.
func (d *demand) wants(now time.Duration) []want {
	sums := make(map[string]*want)
	for daemon, dd := range d.byDaemon {
		if now-dd.at > demandLife {
			delete(d.byDaemon, daemon)
			continue
		}
		for _, need := range dd.needs {
			addNeed(sums, need, dd.at)
		}
	}
	list := make([]want, 0, len(sums))
	for _, w := range sums {
		slices.SortFunc(w.adapters, compareAdapterWant)
		list = append(list, *w)
	}
	slices.SortFunc(list, compareWant)
	return list
}

// waiting reports whether any request waits.
func (d *demand) waiting() bool {
	for _, dd := range d.byDaemon {
		for _, need := range dd.needs {
			if need.Urgent+need.CanWait > 0 {
				return true
			}
		}
	}
	return false
}

func addNeed(sums map[string]*want, need Need, at time.Duration) {
	w, ok := sums[need.Deployment]
	if !ok {
		w = &want{deployment: need.Deployment}
		sums[need.Deployment] = w
	}
	waiting := need.Urgent + need.CanWait
	w.urgent += need.Urgent
	w.canWait += need.CanWait
	w.running += need.Running
	if waiting == 0 {
		return
	}
	deadline := at + need.Slack
	if w.deadline == 0 || deadline < w.deadline {
		w.deadline = deadline
	}
	if need.Adapter != "" {
		w.addAdapter(need.Adapter, waiting, deadline)
	}
}

func (w *want) addAdapter(name string, waiting int, deadline time.Duration) {
	for i := range w.adapters {
		if w.adapters[i].name == name {
			w.adapters[i].waiting += waiting
			w.adapters[i].deadline = min(w.adapters[i].deadline, deadline)
			return
		}
	}
	w.adapters = append(w.adapters, adapterWant{name: name, waiting: waiting, deadline: deadline})
}

func compareAdapterWant(a, b adapterWant) int {
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.name, b.name))
}

func compareWant(a, b want) int {
	aUrgent, bUrgent := a.urgent > 0, b.urgent > 0
	if aUrgent != bUrgent {
		if aUrgent {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.deployment, b.deployment))
}
