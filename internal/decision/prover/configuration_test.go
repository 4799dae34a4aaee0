package prover_test

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/external/storer"
)

const (
	modelService    = "ai"
	plainService    = "desk"
	headKey         = "configuration/head"
	keepAlive       = 8 * time.Second
	claimRetention  = 2 * time.Minute
	deploymentCount = 4
)

// An acceptedVersion is a version of the configuration whose acceptance was confirmed to its operator.
type acceptedVersion struct {
	version int64
	at      time.Duration
}

func duration(d time.Duration) cataloger.Duration { return cataloger.Duration(d) }

// configuration returns a small configuration: each engine has room for two replicas.
func (w *World) configuration(version int64, change string) *cataloger.Catalog {
	c := cataloger.Configuration{
		Version: version, ChangeID: change, Weighting: cataloger.WeightColdStart,
		Zones: []cataloger.Zone{{Name: "z1", Region: "r", OneWay: duration(time.Millisecond)}, {Name: "z2", Region: "r", OneWay: duration(time.Millisecond)}},
		Services: []cataloger.Service{
			{
				Name: modelService, Kind: cataloger.KindModel, ChecksFencing: w.fencing,
				Store: cataloger.WeightStore{LoadsPerSecond: 4, FullSpeedLoads: 4, FullSpeedAdapters: 32, AdapterLoad: duration(10 * time.Millisecond)},
			},
			{
				Name: plainService, Kind: cataloger.KindPlain, MaxInFlight: 4, Deadline: duration(5 * time.Second),
				NonIdempotent: []cataloger.Rule{{Method: "POST", PathPrefix: "/bookings"}}, ClaimRetention: duration(claimRetention),
			},
		},
		Limits: cataloger.Limits{
			RetryShare: 0.1, MinKeepAlive: duration(keepAlive), MaxKeepAlive: duration(keepAlive),
			KeepAliveQuantile: 0.9, AddressTimeToLive: duration(3 * time.Second),
		},
	}
	for i := range deploymentCount {
		d := cataloger.Deployment{
			Name: fmt.Sprintf("m%d", i+1), Service: modelService, ModelVersion: "1", Bytes: 4 * gib,
			Load: duration(2 * time.Second), LoadFromDisk: duration(time.Second), LoadFromMemory: duration(300 * time.Millisecond),
			MaxInFlight: 4, MaxReplicas: 2, AdapterSlots: 2, AdapterBytes: gib / 4,
			UrgentDeadline: duration(5 * time.Second), CanWaitDeadline: duration(20 * time.Second), MaxQueue: 50,
		}
		for _, suffix := range []string{"a", "b", "c"} {
			d.Adapters = append(d.Adapters, cataloger.Adapter{Name: d.Name + suffix, Bytes: gib / 8})
		}
		c.Deployments = append(c.Deployments, d)
	}
	return cataloger.NewCatalog(c)
}

// storeFirstConfiguration writes the first version of the configuration to the store.
func (w *World) storeFirstConfiguration() {
	w.configs["first"] = w.configuration(1, "first")
	w.store.apply(storeCall{kind: callSwap, key: headKey, value: headValue(1, "first")})
	w.accepted = append(w.accepted, acceptedVersion{1, 0})
}

func headValue(version int64, change string) []byte {
	return []byte(strconv.FormatInt(version, 10) + " " + change)
}

// catalog returns the configuration that a head value refers to.
func (w *World) catalog(head []byte) *cataloger.Catalog {
	_, change, _ := strings.Cut(string(head), " ")
	return w.configs[change]
}

// configure applies a change for an operator: it reads the head, swaps it, and reads it back if the outcome is unknown.
func (w *World) configure(operator string) {
	w.store.call(operator, storeCall{kind: callGet, key: headKey}, func(a storeAnswer) {
		if a.result != storer.ResultOK {
			w.logf("%s: change failed: the store does not answer", operator)
			return
		}
		version := w.catalog(a.entry.Value).Version() + 1
		change := fmt.Sprintf("%s-%d-%v", operator, version, w.now)
		w.configs[change] = w.configuration(version, change)
		swap := storeCall{kind: callSwap, key: headKey, value: headValue(version, change), revision: a.entry.Revision}
		w.store.call(operator, swap, func(a storeAnswer) { w.finishConfigure(operator, version, change, a.result) })
	})
}

// finishConfigure handles the result of an operator's swap.
func (w *World) finishConfigure(operator string, version int64, change string, result storer.Result) {
	switch result {
	case storer.ResultOK:
		w.accept(operator, version)
	case storer.ResultConflict:
		w.logf("%s: version %d conflicts", operator, version)
	case storer.ResultUnknown:
		w.store.call(operator, storeCall{kind: callGet, key: headKey}, func(a storeAnswer) {
			if a.result == storer.ResultOK && string(a.entry.Value) == string(headValue(version, change)) {
				w.accept(operator, version)
				return
			}
			w.logf("%s: version %d has an unknown outcome", operator, version)
		})
	default:
		w.logf("%s: version %d was not sent", operator, version)
	}
}

func (w *World) accept(operator string, version int64) {
	w.logf("%s: version %d accepted", operator, version)
	w.accepted = append(w.accepted, acceptedVersion{version, w.now})
}
