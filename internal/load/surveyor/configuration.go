package surveyor

import (
	"context"
	"fmt"
	"time"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/config/versioner"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/peer/messenger"
)

// A countingStore is an in-memory key-value service that counts a versioner's calls.
type countingStore struct {
	store   store
	traffic trafficCounts
}

// versionerStore returns the store in the form that a versioner uses.
func (s *countingStore) versionerStore() versioner.Store {
	return versioner.Store{
		Get: func(_ context.Context, key string) (storer.Entry, storer.Result) {
			got, _ := s.call(reducer.StoreGet{Key: key}).(reducer.StoreGot)
			return got.Entry, got.Result
		},
		Swap: func(_ context.Context, key string, value []byte, revision, _ int64) (int64, storer.Result) {
			swapped, _ := s.call(reducer.StoreSwap{Key: key, Value: value, Revision: revision}).(reducer.StoreSwapped)
			return swapped.Revision, swapped.Result
		},
		Delete: func(_ context.Context, key string, revision int64) storer.Result {
			swapped, _ := s.call(reducer.StoreDelete{Key: key, Revision: revision}).(reducer.StoreSwapped)
			return swapped.Result
		},
		List: func(_ context.Context, prefix string) ([]storer.Entry, storer.Result) {
			listed, _ := s.call(reducer.StoreList{Prefix: prefix}).(reducer.StoreListed)
			return listed.Entries, listed.Result
		},
	}
}

func (s *countingStore) call(effect reducer.Effect) reducer.Event {
	s.traffic.countEffect(effect, messenger.Message{})
	event := s.store.execute(effect)
	s.traffic.countEvent(event)
	return event
}

// measureChange measures one change of a configuration: the writes of the operator's command, and the reads and
// the processor time of each daemon until the change is in force.
func measureChange(size Size, x float64) (sample, error) {
	ctx := context.Background()
	counted := &countingStore{traffic: make(trafficCounts)}
	v := versioner.Versioner{Store: counted.versionerStore()}
	c := size.configuration()
	if _, err := v.Apply(ctx, c, 0, "change-0", "survey", ""); err != nil {
		return sample{}, fmt.Errorf("apply configuration: %w", err)
	}
	first, err := v.Fetch(ctx, nil)
	if err != nil {
		return sample{}, fmt.Errorf("fetch configuration: %w", err)
	}
	all, largest := counted.store.prefixBytes("configuration/shards/")
	counted.traffic = make(trafficCounts)
	c.Deployments = append([]cataloger.Deployment(nil), c.Deployments...)
	c.Deployments[len(c.Deployments)/2].MaxReplicas++
	if _, err := v.Apply(ctx, c, 1, "change-1", "survey", ""); err != nil {
		return sample{}, fmt.Errorf("apply change: %w", err)
	}
	operator := counted.traffic
	counted.traffic = make(trafficCounts)
	processorTime := time.Duration(0)
	for range 5 {
		counted.traffic = make(trafficCounts)
		before := time.Now()
		fetched, err := v.Fetch(ctx, first.Shards)
		if err != nil {
			return sample{}, fmt.Errorf("fetch change: %w", err)
		}
		cataloger.NewCatalog(fetched.Configuration)
		if took := time.Since(before); processorTime == 0 || took < processorTime {
			processorTime = took
		}
	}
	operator.allRates(time.Second)
	return sample{x: x, values: []value{
		{"StoredBytes", "B", float64(all)},
		{"LargestShard", "B", float64(largest)},
		{"OperatorWrites", "", float64(operator[TrafficStoreWrites].Calls)},
		{"OperatorReads", "", float64(operator[TrafficStoreReads].Calls)},
		{"DaemonReads", "", float64(counted.traffic[TrafficStoreReads].Calls)},
		{"DaemonReadBytes", "B", float64(counted.traffic[TrafficStoreReads].Bytes)},
		{"DaemonProcessorTime", "µs", float64(processorTime.Microseconds())},
	}}, nil
}
