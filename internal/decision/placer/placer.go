// Package placer decides which model engine loads or drops which model or adapter. It answers a load in which most
// models are asked for rarely, a few often, and which these are changes during the day: memory doesn't hold all
// models, loads from the weight store are few, and weights that a host has near load in a fraction of the time.
package placer

import (
	"cmp"
	"slices"
	"time"

	"samphirewharf/internal/fleet/matcher"
	"samphirewharf/internal/fleet/registrar"
)

// The planner's weights.
const (
	// fullShare is the share of the slots of a model's replicas that may be taken before it gets another one.
	fullShare = 0.6
	// nearRatio is how many times as much a model must be asked for as those that make way for it, if its weights are
	// near. storeRatio is the same for weights from the store, since memory lies idle for the whole load.
	nearRatio  = 2.5
	storeRatio = 8.0
	// refusedWeight is what a request refused lately counts against one that waits.
	refusedWeight = 0.5
	// rateSeconds is how many seconds' arrivals count as much as the same number of waiting requests.
	rateSeconds = 2.0
	// runningPause is how long an unload is expected to wait for running requests.
	runningPause = time.Second
	// minResidence is how long a model stays at least, so that models don't drive each other out in turn.
	minResidence = 3 * time.Second
	// evictCost is the load time that one request a second of a dropped model is worth.
	evictCost = 4 * time.Second
	// goalLife is how long a server is kept for a model that makes no progress there.
	goalLife = 15 * time.Second
)

// A Tier is where weights come from.
type Tier uint8

// The tiers, nearest first.
const (
	TierMemory Tier = iota
	TierDisk
	TierStore
)

// String returns the tier's name in logs and metrics.
func (t Tier) String() string { return [...]string{"Memory", "Disk", "Store"}[t] }

// A Server is a model engine as the holder of the role believes it to be.
type Server struct {
	ID   string
	Zone string
	// Free tells that the server can be given an order for a model now, FreeForAdapter one for an adapter.
	Free           bool
	FreeForAdapter bool
	// FreeIn is how long until a server that isn't free can be given an order, as far as is known.
	FreeIn time.Duration
	Slots  int
	Models []Model
	// Loading is a model that is being loaded; its memory is taken.
	Loading  string
	InMemory []string
	OnDisk   []string
	// Goal is the model that the server makes room for, since GoalAt.
	Goal   string
	GoalAt time.Duration
	// Coming are adapters on their way, as MODEL/ADAPTER. Their places are taken.
	PendingAdapters []string
}

// A Model is a model that a server holds.
type Model struct {
	Name string
	// Running is how many requests of the model the server has.
	Running  int
	LoadedAt time.Duration
	Adapters []Adapter
}

// An Adapter is an adapter that a server holds.
type Adapter struct {
	Name   string
	UsedAt time.Duration
	Busy   bool
}

// A Demand is what callers of all daemons ask of a model, or of an adapter.
type Demand struct {
	Model   string
	Adapter string
	Waiting int
	Refused int
	Running int
	// Rate is arrivals a second.
	Rate float64
}

// An Input is all that a plan depends on.
type Input struct {
	Now    time.Duration
	Engine matcher.Engine
	// Servers take orders; those that leave are not among them.
	Servers []Server
	// Demands hold one entry for each model, adapters included, and one for each adapter.
	Demands []Demand
	// StoreLoads is how many loads from the weight store run, StoreLanes how many may run at once, and StoreBudget how
	// many may begin now.
	StoreLoads            int
	StoreConcurrencyLimit int
	StoreBudget           int
	// Foretold are the models, and adapters as MODEL/ADAPTER, whose forecasts are fresh enough. The others get one.
	HasForecast map[string]bool
}

// A Result is a plan.
type Result struct {
	// Steps hold at most one order for models and one for adapters at each server.
	Steps []Step
	// Forecasts are of the models without replica, and of adapters, that get no order, those foretold left out.
	Forecasts []Forecast
}

// A Step is one order to give, or a goal to keep for a server.
type Step struct {
	Server    string
	Operation registrar.Operation
	Model     string
	Adapter   string
	// Goal is the model that the server makes room for.
	Goal   string
	Tier   Tier
	Reason string
	// Score and Other tell what the choice cost, and which server would have been next.
	Score float64
	Other string
}

// A planner holds the intermediate results of one plan.
type planner struct {
	in      Input
	demands map[string]Demand
	// copies counts the servers that hold a model, load it or make room for it.
	copies map[string]int
	// holders are the servers that hold a model.
	holders map[string][]*Server
	// adapters are those that a server has or gets, as MODEL/ADAPTER.
	adapters map[string]bool
	// largestAdapter is the memory of the largest adapter in megabytes.
	largestAdapter float64
	taken          map[string]bool
	stores         int
	steps          []Step
	// foretold are the forecasts of adapters.
	foretold []Forecast
}

// A need is a model that wants one more replica.
type need struct {
	model  matcher.Model
	value  float64
	first  bool
	reason string
}

// Plan returns the orders to give now.
func Plan(in Input) Result {
	p := planner{in: in, demands: make(map[string]Demand), taken: make(map[string]bool)}
	p.count()
	p.stores = min(in.StoreConcurrencyLimit-in.StoreLoads, in.StoreBudget)
	for _, d := range in.Demands {
		if d.Adapter == "" {
			p.demands[d.Model] = d
		}
	}
	p.pursueGoals()
	var unmet []need
	for _, n := range p.needs() {
		if !p.place(n) && n.first && !in.HasForecast[n.model.Name] {
			unmet = append(unmet, n)
		}
	}
	p.placeAdapters()
	return Result{Steps: p.steps, Forecasts: append(p.forecasts(unmet), p.foretold...)}
}

// value returns what a model is worth keeping: the requests that wait for it and that come soon.
func (p *planner) value(model string) float64 {
	d := p.demands[model]
	return float64(d.Waiting) + refusedWeight*float64(d.Refused) + rateSeconds*d.Rate
}

// count takes stock of what the servers have and get.
func (p *planner) count() {
	p.copies = make(map[string]int)
	p.adapters = make(map[string]bool)
	p.holders = make(map[string][]*Server)
	for i := range p.in.Servers {
		s := &p.in.Servers[i]
		for _, m := range s.Models {
			p.copies[m.Name]++
			p.holders[m.Name] = append(p.holders[m.Name], s)
			for _, a := range m.Adapters {
				p.adapters[m.Name+"/"+a.Name] = true
			}
		}
		for _, name := range s.PendingAdapters {
			p.adapters[name] = true
		}
		if s.Loading != "" && !s.holds(s.Loading) {
			p.copies[s.Loading]++
		}
		if s.Goal != "" && s.Goal != s.Loading && !s.holds(s.Goal) {
			p.copies[s.Goal]++
		}
	}
	for _, m := range p.in.Engine.Models {
		p.largestAdapter = max(p.largestAdapter, m.AdapterMegabytes)
	}
}

// replicas returns how many servers hold the model, load it or make room for it.
func (p *planner) replicas(model string) int { return p.copies[model] }

// needs returns the models that want a replica, the most wanted first.
func (p *planner) needs() []need {
	var list []need
	slots := p.slots()
	for _, d := range p.in.Demands {
		model, ok := p.in.Engine.Models[d.Model]
		if !ok || d.Adapter != "" {
			continue
		}
		replicas := p.replicas(d.Model)
		switch {
		case replicas == 0 && p.value(d.Model) > 0:
			list = append(list, need{model: model, value: p.value(d.Model), first: true, reason: "NoReplica"})
		case replicas > 0 && float64(d.Running+d.Waiting) > fullShare*float64(slots*replicas):
			list = append(list, need{model: model, value: p.value(d.Model) / float64(replicas+1), reason: "Full"})
		}
	}
	slices.SortFunc(list, func(a, b need) int {
		if a.first != b.first {
			if a.first {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.model.Name, b.model.Name))
	})
	return list
}

func (p *planner) slots() int {
	for _, s := range p.in.Servers {
		if s.Slots > 0 {
			return s.Slots
		}
	}
	return 1
}

// pursueGoals goes on at servers that make room for a model.
func (p *planner) pursueGoals() {
	for _, s := range p.in.Servers {
		if s.Goal == "" {
			continue
		}
		p.taken[s.ID] = true
		model, known := p.in.Engine.Models[s.Goal]
		stale := p.in.Now > s.GoalAt+goalLife || p.value(s.Goal) == 0
		if !known || s.holds(s.Goal) || stale {
			p.steps = append(p.steps, Step{Server: s.ID, Reason: "GoalDropped"})
			continue
		}
		if !s.Free {
			p.reserve(s.tier(s.Goal))
			continue
		}
		p.advance(s, need{model: model, value: p.value(s.Goal), reason: "Goal"}, 0, "")
	}
}

// place chooses the server for one more replica: the one where it is there soonest at the least loss. It tells whether
// there is one.
func (p *planner) place(n need) bool {
	var best, second Server
	bestCost, secondCost := -1.0, -1.0
	for _, s := range p.in.Servers {
		if !s.Free || p.taken[s.ID] || s.holds(n.model.Name) || s.Loading != "" {
			continue
		}
		cost, ok := p.cost(s, n)
		switch {
		case !ok:
		case bestCost < 0 || cost < bestCost:
			second, secondCost = best, bestCost
			best, bestCost = s, cost
		case secondCost < 0 || cost < secondCost:
			second, secondCost = s, cost
		}
	}
	if bestCost < 0 {
		return false
	}
	p.taken[best.ID] = true
	p.advance(best, n, bestCost, second.ID)
	return true
}

// advance gives the next order at a server for a model: dropping another one, or the load.
func (p *planner) advance(s Server, n need, cost float64, other string) {
	tier := s.tier(n.model.Name)
	victims, ok := p.victims(s, n)
	if !ok || !p.reserve(tier) {
		return
	}
	step := Step{Server: s.ID, Goal: n.model.Name, Tier: tier, Reason: n.reason, Score: cost, Other: other}
	if len(victims) > 0 {
		step.Operation = registrar.OperationUnload
		step.Model = victims[0].Name
		p.steps = append(p.steps, step)
		return
	}
	step.Operation = registrar.OperationLoad
	step.Model = n.model.Name
	p.steps = append(p.steps, step)
}

// reserve takes one of the loads from the weight store, if the weights have to come from there, and tells whether there
// is one. It is taken before the first model makes way, so that no memory lies empty until a load may begin.
func (p *planner) reserve(t Tier) bool {
	if t != TierStore {
		return true
	}
	p.stores--
	return p.stores >= 0
}

// cost returns the seconds until the model is there, and what the models that make way are worth.
func (p *planner) cost(s Server, n need) (float64, bool) {
	tier := s.tier(n.model.Name)
	if tier == TierStore && p.stores <= 0 {
		return 0, false
	}
	victims, ok := p.victims(s, n)
	if !ok {
		return 0, false
	}
	cost := LoadTime(n.model, tier)
	for _, v := range victims {
		cost += time.Duration(p.loss(v) * float64(evictCost))
		if v.Running > 0 {
			cost += runningPause
		}
	}
	return cost.Seconds(), true
}

// loss returns what dropping one replica of a model costs, in requests a second.
func (p *planner) loss(m Model) float64 {
	return p.value(m.Name) / rateSeconds / float64(max(p.replicas(m.Name), 1))
}

// victims returns the models that must make way for one more, the least wanted first, and whether they may.
func (p *planner) victims(s Server, n need) ([]Model, bool) {
	missing := n.model.Megabytes - p.room(s)
	if missing <= 0 {
		return nil, true
	}
	list := slices.Clone(s.Models)
	slices.SortFunc(list, p.compareLoss)
	var chosen []Model
	lost := 0.0
	for _, v := range list {
		if missing <= 0 {
			break
		}
		if p.in.Now < v.LoadedAt+minResidence && p.value(v.Name) > 0 {
			continue
		}
		chosen = append(chosen, v)
		lost += p.loss(v) * rateSeconds
		missing -= p.megabytes(v)
	}
	if missing > 0 || lost*evictRatio(s.tier(n.model.Name)) > n.value {
		return nil, false
	}
	return p.spare(chosen, n, s), true
}

// evictRatio returns how many times as much a model must be asked for as those that make way for it.
func evictRatio(t Tier) float64 {
	if t == TierStore {
		return storeRatio
	}
	return nearRatio
}

// compareLoss orders models by how little is lost with them.
func (p *planner) compareLoss(a, b Model) int {
	return cmp.Or(cmp.Compare(p.loss(a), p.loss(b)), cmp.Compare(a.Running, b.Running), cmp.Compare(a.Name, b.Name))
}

// spare leaves out victims that are not needed once the larger ones have gone.
func (p *planner) spare(chosen []Model, n need, s Server) []Model {
	surplus := p.room(s) - n.model.Megabytes
	for _, v := range chosen {
		surplus += p.megabytes(v)
	}
	var kept []Model
	for i := len(chosen) - 1; i >= 0; i-- {
		if mb := p.megabytes(chosen[i]); mb <= surplus {
			surplus -= mb
			continue
		}
		kept = append(kept, chosen[i])
	}
	slices.Reverse(kept)
	return kept
}

// room returns the free memory for weights in megabytes.
func (p *planner) room(s Server) float64 {
	room := p.in.Engine.WeightMegabytes
	for _, m := range s.Models {
		room -= p.megabytes(m)
	}
	if s.Loading != "" && !s.holds(s.Loading) {
		room -= p.in.Engine.Models[s.Loading].Megabytes
	}
	return room - p.largestAdapter*float64(len(s.PendingAdapters))
}

// megabytes returns the memory of a model with its adapters.
func (p *planner) megabytes(m Model) float64 {
	model := p.in.Engine.Models[m.Name]
	return model.Megabytes + float64(len(m.Adapters))*model.AdapterMegabytes
}

// LoadTime returns how long a load takes.
func LoadTime(m matcher.Model, t Tier) time.Duration {
	switch t {
	case TierMemory:
		return m.MemoryLoadTime
	case TierDisk:
		return m.DiskLoadTime
	default:
		return m.StoreLoadTime
	}
}

func (s Server) holds(model string) bool {
	return slices.ContainsFunc(s.Models, func(m Model) bool { return m.Name == model })
}

func (s Server) tier(model string) Tier {
	switch {
	case slices.Contains(s.InMemory, model):
		return TierMemory
	case slices.Contains(s.OnDisk, model):
		return TierDisk
	default:
		return TierStore
	}
}
