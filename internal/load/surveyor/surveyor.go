package surveyor

import (
	"context"
	"fmt"
	"time"
)

// The system size expected in two years. The surveys vary one quantity at a time around it.
const (
	fullServices = 60
	fullServers  = 50
	fullDaemons  = 420
	fullModels   = 560
	fullAdapters = 18_000
	// cellModels and cellAdapters are the numbers of models and adapters in one cell of model engines.
	cellModels   = 12
	cellAdapters = 400
	// cellDaemons is the number of daemons that serve one cell.
	cellDaemons = 7
	// fullReplicas is the number of ready replicas on a backend server.
	fullReplicas = 3
	// claimRetention is how long claims are kept in the store.
	claimRetention = 24 * time.Hour
)

// A plan describes one survey: its fixed size, the values of the variable x, and how to measure at each.
type plan struct {
	name     string
	variable string
	fixed    Size
	xs       []float64
	resize   func(size Size, x float64) Size
	measure  func(size Size, x float64) (sample, error)
}

// Run makes all surveys. It returns an error if the context ends first.
func Run(ctx context.Context) ([]Survey, error) {
	var surveys []Survey
	for _, p := range plans() {
		var samples []sample
		for _, x := range p.xs {
			if err := ctx.Err(); err != nil {
				return nil, fmt.Errorf("survey %s: %w", p.name, err)
			}
			s, err := p.measure(p.resize(p.fixed, x), x)
			if err != nil {
				return nil, fmt.Errorf("survey %s at %g: %w", p.name, x, err)
			}
			samples = append(samples, s)
		}
		surveys = append(surveys, newSurvey(p.name, p.variable, p.fixed, samples))
	}
	return surveys, nil
}

func plans() []plan {
	full := Size{
		Services: fullServices, Servers: fullServers, Daemons: fullDaemons, Models: fullModels, Adapters: fullAdapters, Replicas: fullReplicas,
	}
	cell := Size{Services: 1, Servers: fullServers, Daemons: cellDaemons, Models: cellModels, Adapters: cellAdapters, Replicas: fullReplicas}
	placer := cell
	placer.Placer = true
	claims := Size{Services: 1, Servers: fullServers, Daemons: 1, Plain: true, Retention: claimRetention}
	// A name in the catalogue is that of a model or an adapter.
	nameCounts := []float64{1160, 2320, 4640, 9280, 18_560, 37_120}
	withNames := func(s Size, x float64) Size {
		s.Adapters = int(x) - s.Models
		return s
	}
	return []plan{
		{"Request", "names in the catalogue", full, nameCounts, withNames, measureRouting},
		{"Request", "servers in the cell", cell, []float64{12, 25, 50, 100}, withServers, measureRouting},
		{"Lookup", "names in the catalogue", full, nameCounts, withNames, measureLookup},
		{"Lookup", "daemons in the cell", cell, []float64{2, 3, 4, 5, 6, 7}, withDaemons, measureLookup},
		{"Control", "names in the catalogue", full, nameCounts, withNames, measureControl},
		{"Control", "servers in the cell", cell, []float64{12, 25, 50, 75, 100}, withServers, measureControl},
		{"Control", "daemons in the cell", cell, []float64{2, 3, 4, 5, 6, 7}, withDaemons, measureControl},
		{"Control", "daemons in all", full, []float64{60, 120, 240, 420, 840}, withAllDaemons, measureControl},
		{"Control", "replicas of a server", cell, []float64{0, 1, 2, 4, 8, 12}, withReplicas, measureControl},
		{"Placer", "servers in the cell", placer, []float64{12, 25, 50, 75, 100}, withServers, measureControl},
		{"Placer", "replicas of a server", placer, []float64{0, 1, 2, 4, 8, 12}, withReplicas, measureControl},
		{"Claims", "claims in a second", claims, []float64{1, 2, 5, 10, 20, 40}, withRequests, measureClaims},
		{"Change", "names in the catalogue", full, nameCounts, withNames, measureChange},
		{"Membership", "daemons in all", full, []float64{60, 120, 240, 420, 840}, withAllDaemons, measureMembership},
	}
}

func withAllDaemons(s Size, x float64) Size {
	s.Daemons = int(x)
	s.Services = max(1, int(x)/cellDaemons)
	return s
}

func withDaemons(s Size, x float64) Size {
	s.Daemons = int(x)
	return s
}

func withReplicas(s Size, x float64) Size {
	s.Replicas = int(x)
	return s
}

func withRequests(s Size, x float64) Size {
	s.RequestsPerSecond = x
	return s
}

func withServers(s Size, x float64) Size {
	s.Servers = int(x)
	return s
}
