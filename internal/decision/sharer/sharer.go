// Package sharer divides the capacity of a service among the workspaces whose requests wait for it, by start-time fair queueing
// over tokens: a waiting request with a lower start tag goes first.
package sharer

import (
	"time"

	"samphirewharf/internal/fleet/matcher"
)

const (
	// defaultTokens is what a request of unknown size counts where its workspace sets nothing else. It is about the mean size of a
	// generation.
	defaultTokens = 900
	// demandFloor is the share of its part of the demand that a workspace gets at least, as a part of all capacity, however low its
	// quota. A quarter is required of the share of requests that are served; the rest is margin for requests that expire while they
	// wait, and for the error of the estimate of the demand.
	demandFloor = 0.35
	// demandHalfLife is how long it takes until what a workspace has asked for counts half. It is a few times the usual wait, so
	// that a burst counts while its requests wait.
	demandHalfLife = 5 * time.Second
	// minDemand is the demand below which a workspace is forgotten, in tokens.
	minDemand = 1
)

// A Sharer hands out the tickets of one service's requests. The zero value is ready for use.
type Sharer struct {
	// lines holds a line for each class in which tickets are open.
	lines map[class]*line

	configuration *matcher.Configuration
	// defaultWeight is the weight of workspaces without a limit in the configuration, and of all requests without a workspace
	// together.
	defaultWeight float64

	// demands holds what the workspaces have lately asked for, in tokens, demand is their sum, and weight the sum of the weights
	// of these workspaces. They were last halved at halvedAt.
	demands  map[string]float64
	demand   float64
	weight   float64
	halvedAt time.Duration
}

// A class holds the requests that are served in the order of their tags.
type class struct {
	priority  int
	objective time.Duration
}

// A line is the state of one class from its first open ticket until none is open.
type line struct {
	class class
	// virtual is the highest start tag of a request that has waited and was served.
	virtual float64
	// finishes holds the finish tags of the workspaces' last tickets.
	finishes map[string]float64
	// open is the number of tickets that are neither served nor returned.
	open int
}

// A Ticket is the place of one request among those that wait. The zero value is the place of each request in a deployment without
// workspaces.
type Ticket struct {
	// Start is the start tag. It doesn't change.
	Start float64

	workspace string
	cost      float64
	joinedAt  time.Duration
	// line is nil if the ticket is not open.
	line *line
}

// Join opens a ticket for a request that arrives. Without workspaces in the configuration it returns the zero value. The tokens
// are 0 if unknown.
func (s *Sharer) Join(now time.Duration, c *matcher.Configuration, workspace string, route matcher.Route, tokens int) Ticket {
	if c == nil || len(c.Workspaces) == 0 {
		return Ticket{}
	}
	s.configure(c)
	w := c.Workspaces[workspace]
	if tokens <= 0 {
		tokens = w.Quota.PlainTokens
	}
	if tokens <= 0 {
		tokens = defaultTokens
	}
	s.decay(now)
	s.count(workspace, float64(tokens))
	l := s.line(class{priority: route.Priority, objective: route.LatencyObjective})
	l.open++
	t := Ticket{workspace: workspace, cost: float64(tokens) / s.effectiveWeight(workspace), joinedAt: now, line: l}
	t.Start = max(l.virtual, l.finishes[workspace])
	l.finishes[workspace] = t.Start + t.cost
	return t
}

// Serve closes the ticket of a request that is sent to a server. A request that hasn't waited is not charged, since it took
// nothing from those that wait.
func (s *Sharer) Serve(now time.Duration, t *Ticket) {
	if t.line == nil {
		return
	}
	if now <= t.joinedAt {
		s.Leave(t)
		return
	}
	t.line.virtual = max(t.line.virtual, t.Start)
	s.close(t)
}

// Leave closes the ticket of a request that ends without a server, and returns its cost to the workspace. It does nothing if the
// ticket is not open.
func (s *Sharer) Leave(t *Ticket) {
	if t.line == nil {
		return
	}
	t.line.finishes[t.workspace] -= t.cost
	s.close(t)
}

// close closes a ticket. When none is open, nobody has an advantage over others any more, so all tags are forgotten.
func (s *Sharer) close(t *Ticket) {
	t.line.open--
	if t.line.open == 0 {
		delete(s.lines, t.line.class)
	}
	t.line = nil
}

func (s *Sharer) line(c class) *line {
	l, ok := s.lines[c]
	if !ok {
		l = &line{class: c, finishes: make(map[string]float64)}
		if s.lines == nil {
			s.lines = make(map[class]*line)
		}
		s.lines[c] = l
	}
	return l
}

// configure sets the default weight from a configuration: the mean of the weights of the workspaces with a limit, 1 if there is none.
func (s *Sharer) configure(c *matcher.Configuration) {
	if s.configuration == c {
		return
	}
	s.configuration = c
	sum, limited := 0.0, 0
	for _, name := range c.WorkspaceNames() {
		if q := c.Workspaces[name].Quota; q.Limited() {
			sum += tokensPerSecond(q)
			limited++
		}
	}
	s.defaultWeight = 1
	if limited > 0 {
		s.defaultWeight = sum / float64(limited)
	}
	s.sumUp()
}

// effectiveWeight returns a workspace's weight among those that compete: its quota, or demandFloor of its part of the demand.
func (s *Sharer) effectiveWeight(workspace string) float64 {
	return max(s.quotaWeight(workspace), demandFloor*s.weight*s.demands[workspace]/s.demand)
}

func (s *Sharer) quotaWeight(workspace string) float64 {
	if q := s.configuration.Workspaces[workspace].Quota; q.Limited() {
		return tokensPerSecond(q)
	}
	return s.defaultWeight
}

func tokensPerSecond(q matcher.Quota) float64 {
	if q.Tokens {
		return q.PerSecond
	}
	return q.PerSecond * defaultTokens
}
