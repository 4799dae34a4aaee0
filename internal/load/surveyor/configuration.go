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

// A countedStore is a key-value service in memory that counts what a versioner does with it.
type countedStore struct {
	store   store
	traffic tally
}

// functions returns the store as a versioner takes it.
func (s *countedStore) functions() versioner.Store {
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

func (s *countedStore) call(effect reducer.Effect) reducer.Event {
	s.traffic.sent(effect, messenger.Message{})
	event := s.store.answer(effect)
	s.traffic.answered(event)
	return event
}

// change measures one change of a configuration: what the operator's command writes, and what each daemon
// reads and spends until the change is in force.
func change(size Size, x float64) (sample, error) {
	ctx := context.Background()
	counted := &countedStore{traffic: make(tally)}
	v := versioner.Versioner{Store: counted.functions()}
	c := size.configuration()
	if _, err := v.Apply(ctx, c, 0, "change-0", "survey", ""); err != nil {
		return sample{}, fmt.Errorf("apply configuration: %w", err)
	}
	first, err := v.Fetch(ctx, nil)
	if err != nil {
		return sample{}, fmt.Errorf("fetch configuration: %w", err)
	}
	all, largest := counted.store.bytes("configuration/shards/")
	counted.traffic = make(tally)
	c.Deployments = append([]cataloger.Deployment(nil), c.Deployments...)
	c.Deployments[len(c.Deployments)/2].MaxReplicas++
	if _, err := v.Apply(ctx, c, 1, "change-1", "survey", ""); err != nil {
		return sample{}, fmt.Errorf("apply change: %w", err)
	}
	operator := counted.traffic
	counted.traffic = make(tally)
	spent := time.Duration(0)
	for range 5 {
		counted.traffic = make(tally)
		before := time.Now()
		fetched, err := v.Fetch(ctx, first.Shards)
		if err != nil {
			return sample{}, fmt.Errorf("fetch change: %w", err)
		}
		cataloger.NewCatalog(fetched.Configuration)
		if took := time.Since(before); spent == 0 || took < spent {
			spent = took
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
		{"DaemonProcessorTime", "µs", float64(spent.Microseconds())},
	}}, nil
}
