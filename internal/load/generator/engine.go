package generator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"samphirewharf/internal/backend/orderer"
)

// ErrNotReady tells that an engine holds no ready replica of a deployment.
var ErrNotReady = errors.New("no ready replica")

// replicas returns the ready replicas of an engine, by deployment.
func replicas(ctx context.Context, client *http.Client, engine string) (map[string]orderer.ReplicaReport, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+engine+"/control/state", http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("read state of %s: %w", engine, err)
	}
	response, err := client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("read state of %s: %w", engine, err)
	}
	defer func() { _ = response.Body.Close() }()
	var report orderer.Report
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		return nil, fmt.Errorf("read state of %s: %w", engine, err)
	}
	ready := make(map[string]orderer.ReplicaReport)
	for _, replica := range report.Replicas {
		if replica.State == orderer.StateReady {
			ready[replica.Deployment] = replica
		}
	}
	return ready, nil
}

// withReady returns the mix without what the replicas can't answer.
func (m *mix) withReady(ready map[string]orderer.ReplicaReport) (*mix, error) {
	kept := &mix{settings: m.settings}
	for _, t := range m.models {
		if _, ok := ready[t.deployment]; ok {
			kept.models = append(kept.models, t)
		}
	}
	for _, t := range m.adapters {
		if slices.Contains(ready[t.deployment].Adapters, t.adapter) {
			kept.adapters = append(kept.adapters, t)
		}
	}
	if len(kept.models)+len(kept.adapters) == 0 {
		return nil, ErrNotReady
	}
	return kept, nil
}
