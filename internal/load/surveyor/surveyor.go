package surveyor

import (
	"context"
	"fmt"
	"time"
)

// The size expected in two years, and what is varied around it.
const (
	fullServices = 60
	fullServers  = 50
	fullDaemons  = 420
	fullModels   = 560
	fullAdapters = 18_000
	// cellModels and cellAdapters are what falls to one cell of model engines.
	cellModels   = 12
	cellAdapters = 400
	// cellDaemons serve one cell.
	cellDaemons = 7
	// fullReplicas is how many ready replicas a backend server holds.
	fullReplicas = 3
	// retention is how long claims are kept.
	retention = 24 * time.Hour
)

// A plan is one survey to make.
type plan struct {
	name    string
	against string
	fixed   Size
	xs      []float64
	with    func(size Size, x float64) Size
	measure func(size Size, x float64) (sample, error)
}

// Run makes all surveys. It stops early with the context.
func Run(ctx context.Context) ([]Survey, error) {
	var surveys []Survey
	for _, p := range plans() {
		var samples []sample
		for _, x := range p.xs {
			if err := ctx.Err(); err != nil {
				return nil, fmt.Errorf("survey %s: %w", p.name, err)
			}
			s, err := p.measure(p.with(p.fixed, x), x)
			if err != nil {
				return nil, fmt.Errorf("survey %s at %g: %w", p.name, x, err)
			}
			samples = append(samples, s)
		}
		surveys = append(surveys, newSurvey(p.name, p.against, p.fixed, samples))
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
	claims := Size{Services: 1, Servers: fullServers, Daemons: 1, Plain: true, Retention: retention}
	names := []float64{1160, 2320, 4640, 9280, 18_560, 37_120}
	withNames := func(s Size, x float64) Size {
		s.Adapters = int(x) - s.Models
		return s
	}
	return []plan{
		{"Request", "names in the catalogue", full, names, withNames, routing},
		{"Request", "servers in the cell", cell, []float64{12, 25, 50, 100}, withServers, routing},
		{"Control", "names in the catalogue", full, names, withNames, control},
		{"Control", "servers in the cell", cell, []float64{12, 25, 50, 75, 100}, withServers, control},
		{"Control", "daemons in the cell", cell, []float64{2, 3, 4, 5, 6, 7}, withDaemons, control},
		{"Control", "daemons in all", full, []float64{60, 120, 240, 420, 840}, withAllDaemons, control},
		{"Control", "replicas of a server", cell, []float64{0, 1, 2, 4, 8, 12}, withReplicas, control},
		{"Placer", "servers in the cell", placer, []float64{12, 25, 50, 75, 100}, withServers, control},
		{"Placer", "replicas of a server", placer, []float64{0, 1, 2, 4, 8, 12}, withReplicas, control},
		{"Claims", "claims in a second", claims, []float64{1, 2, 5, 10, 20, 40}, withRequests, claiming},
		{"Change", "names in the catalogue", full, names, withNames, change},
		{"Membership", "daemons in all", full, []float64{60, 120, 240, 420, 840}, withAllDaemons, joining},
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
