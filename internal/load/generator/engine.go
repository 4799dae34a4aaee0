package generator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/network/bounder"
)

// ErrNotReady is returned if an engine has no ready replica of any requested deployment.
var ErrNotReady = errors.New("no ready replica")

// fetchReadyReplicas returns the ready replicas of an engine by deployment.
func fetchReadyReplicas(ctx context.Context, client *http.Client, engine string) (map[string]orderer.ReplicaReport, error) {
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
	if err := bounder.DecodeJSON(response.Body, maxControlBytes, &report); err != nil {
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

// withReady returns the mix without the deployments and adapters that the replicas can't serve.
func (m *mix) withReady(ready map[string]orderer.ReplicaReport) (*mix, error) {
	filtered := &mix{settings: m.settings}
	for _, t := range m.models {
		if _, ok := ready[t.deployment]; ok {
			filtered.models = append(filtered.models, t)
		}
	}
	for _, t := range m.adapters {
		if slices.Contains(ready[t.deployment].Adapters, t.adapter) {
			filtered.adapters = append(filtered.adapters, t)
		}
	}
	if len(filtered.models)+len(filtered.adapters) == 0 {
		return nil, ErrNotReady
	}
	return filtered, nil
}
