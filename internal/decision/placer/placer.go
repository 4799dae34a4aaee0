// Package placer decides which model engine loads or unloads which model or adapter.
//
// It is designed for a workload in which most models are rarely used and a few are used often, and which ones these are
// changes during the day. Not all models fit into memory, the weight store serves few loads at once, and weights that
// are in a host's memory or on its disk load in a fraction of the time.
package placer

import (
	"cmp"
	"slices"
	"time"

	"samphirewharf/internal/fleet/matcher"
	"samphirewharf/internal/fleet/registrar"
)

// The weights and limits of the planner.
const (
	// scaleUpUtilization is the utilization of the slots of a model's replicas above which the model gets another
	// replica.
	scaleUpUtilization = 0.6
	// localEvictRatio is how many times higher the demand for a model must be than that for the models evicted for it,
	// if its weights are in memory or on disk. storeEvictRatio is the same for weights from the store; it is higher
	// because memory stays unused during the whole load.
	localEvictRatio = 2.5
	storeEvictRatio = 8.0
	// refusedWeight is the weight of a recently refused request relative to a waiting one.
	refusedWeight = 0.5
	// arrivalHorizonSeconds is the number of seconds for which expected arrivals count like waiting requests.
	arrivalHorizonSeconds = 2.0
	// drainDelay is how long an unload is expected to wait for running requests.
	drainDelay = time.Second
	// minResidence is how long a model stays loaded at least, so that models don't evict each other in turn.
	minResidence = 3 * time.Second
	// evictCost is the cost, in load time, of evicting a model for each request a second that it gets.
	evictCost = 4 * time.Second
	// goalTimeout is how long a server is reserved for a model that makes no progress there.
	goalTimeout = 15 * time.Second
	// maxLoadSlowdown is how many times longer than alone a load takes at most. A leader has no more loads run at once.
	maxLoadSlowdown = 4
)

// A Tier is the location that weights are loaded from.
type Tier uint8

// The tiers, fastest first.
const (
	TierMemory Tier = iota
	TierDisk
	TierStore
)

// String returns the tier's name in logs and metrics.
func (t Tier) String() string { return [...]string{"Memory", "Disk", "Store"}[t] }

// A Server is a model engine in the placer's view.
type Server struct {
	ID   string
	Zone string
	// Free reports whether the server can take an order for a model now, FreeForAdapter whether it can take one for an
	// adapter.
	Free           bool
	FreeForAdapter bool
	// FreeIn is the known time until a server that isn't free can take an order.
	FreeIn time.Duration
	Slots  int
	Models []Model
	// Loading is a model that is being loaded. Its memory is in use already.
	Loading  string
	InMemory []string
	OnDisk   []string
	// Goal is the model that the server is making room for, and GoalAt is when that began.
	Goal   string
	GoalAt time.Duration
	// PendingAdapters are adapters that are being loaded, as MODEL/ADAPTER. Their slots are in use already.
	PendingAdapters []string
	// UnloadingAdapters are adapters whose unload waits for their requests, as MODEL/ADAPTER. Their slots are still in use.
	UnloadingAdapters []string
}

// A Model is a model that is loaded at a server.
type Model struct {
	Name string
	// Running is the number of the model's requests that run at the server.
	Running int
	// OrderedAt is when the server accepted the order to load it, LoadedAt when it was loaded, 0 if unknown.
	OrderedAt time.Duration
	LoadedAt  time.Duration
	Adapters  []Adapter
}

// An Adapter is an adapter that is loaded at a server.
type Adapter struct {
	Name   string
	UsedAt time.Duration
	Busy   bool
	// Unconfirmed reports whether the adapter may still be loading. An order to unload it might not free its slot.
	Unconfirmed bool
}

// A Demand is the demand for a model, or for an adapter, at all daemons.
type Demand struct {
	Model   string
	Adapter string
	Waiting int
	Refused int
	Running int
	// Rate is the number of arrivals a second.
	Rate float64
}

// An Input is everything that a plan depends on.
type Input struct {
	Now    time.Duration
	Engine matcher.Engine
	// Earlier are models that the configuration no longer has, or had with a larger size. Servers may still have them so.
	Earlier map[string]EarlierModel
	// Servers can take orders. Servers that are leaving are not included.
	Servers []Server
	// Demands has one element for each model, which includes its adapters, and one for each adapter.
	Demands []Demand
	// StoreLoads is the number of running loads from the weight store, StoreConcurrencyLimit bounds it, and StoreBudget
	// is how many such loads may start now.
	StoreLoads            int
	StoreConcurrencyLimit int
	StoreBudget           int
	// HasForecast has the models, and the adapters as MODEL/ADAPTER, that have a recent forecast and need no new one.
	HasForecast map[string]bool
}

// MarkOrdered records that a step is carried out, so that a later plan with the same input gives its server no other order.
func (in *Input) MarkOrdered(step Step) {
	for i := range in.Servers {
		if in.Servers[i].ID == step.Server {
			in.Servers[i].Free, in.Servers[i].FreeForAdapter = false, false
		}
	}
	if step.Operation == registrar.OperationLoad && step.Adapter == "" && step.Tier == TierStore {
		in.StoreLoads++
		in.StoreBudget--
	}
}

// A Result is a plan.
type Result struct {
	// Steps has at most one order for a model and one for an adapter at each server.
	Steps []Step
	// Forecasts are for adapters and for models without a replica that get no order, except for those in
	// Input.HasForecast.
	Forecasts []Forecast
}

// A Step is one order to give, or the removal of a server's goal.
type Step struct {
	Server    string
	Operation registrar.Operation
	Model     string
	Adapter   string
	// Goal is the model that the server is making room for.
	Goal   string
	Tier   Tier
	Reason string
	// Score is the cost of the choice, and Other is the server with the next lowest cost.
	Score float64
	Other string
}

// A planner holds the intermediate results of one plan.
type planner struct {
	in      Input
	demands map[string]Demand
	// replicaCounts has the number of servers that have each model, load it or make room for it.
	replicaCounts map[string]int
	// serversByModel are the servers that have each model.
	serversByModel map[string][]*Server
	// placedAdapters has the adapters that a server has or loads, as MODEL/ADAPTER.
	placedAdapters map[string]bool
	// largestAdapter is the memory of the largest adapter in megabytes.
	largestAdapter float64
	usedServers    map[string]bool
	storeLoadsLeft int
	steps          []Step
	// adapterForecasts are the forecasts for adapters.
	adapterForecasts []Forecast
}

// A replicaNeed is a model that needs one more replica.
type replicaNeed struct {
	model        matcher.Model
	value        float64
	firstReplica bool
	reason       string
}

// Plan returns the orders to give now, and the forecasts for models and adapters that get none.
func Plan(in Input) Result {
	p := planner{in: in, demands: make(map[string]Demand), usedServers: make(map[string]bool)}
	p.indexServers()
	p.storeLoadsLeft = min(in.StoreConcurrencyLimit-in.StoreLoads, in.StoreBudget)
	for _, d := range in.Demands {
		if d.Adapter == "" {
			p.demands[d.Model] = d
		}
	}
	p.advanceGoals()
	var unmet []replicaNeed
	for _, n := range p.needs() {
		if !p.place(n) && n.firstReplica && !in.HasForecast[n.model.Name] {
			unmet = append(unmet, n)
		}
	}
	p.placeAdapters()
	return Result{Steps: p.steps, Forecasts: append(p.forecasts(unmet), p.adapterForecasts...)}
}

// demandValue returns the demand for a model as a number of requests: those that wait, those refused recently, and the
// expected arrivals.
func (p *planner) demandValue(model string) float64 {
	d := p.demands[model]
	return float64(d.Waiting) + refusedWeight*float64(d.Refused) + arrivalHorizonSeconds*d.Rate
}

// indexServers indexes the models and adapters that the servers have or load.
func (p *planner) indexServers() {
	p.replicaCounts = make(map[string]int)
	p.placedAdapters = make(map[string]bool)
	p.serversByModel = make(map[string][]*Server)
	for i := range p.in.Servers {
		s := &p.in.Servers[i]
		for _, m := range s.Models {
			p.replicaCounts[m.Name]++
			p.serversByModel[m.Name] = append(p.serversByModel[m.Name], s)
			for _, a := range m.Adapters {
				p.placedAdapters[m.Name+"/"+a.Name] = true
			}
		}
		for _, name := range s.PendingAdapters {
			p.placedAdapters[name] = true
		}
		if s.Loading != "" && !s.hasModel(s.Loading) {
			p.replicaCounts[s.Loading]++
		}
		if s.Goal != "" && s.Goal != s.Loading && !s.hasModel(s.Goal) {
			p.replicaCounts[s.Goal]++
		}
	}
	for _, m := range p.in.Engine.Models {
		p.largestAdapter = max(p.largestAdapter, m.AdapterMegabytes)
	}
	for _, m := range p.in.Earlier {
		p.largestAdapter = max(p.largestAdapter, m.AdapterMegabytes)
	}
}

// replicas returns how many servers have the model, load it or make room for it.
func (p *planner) replicas(model string) int { return p.replicaCounts[model] }

// needs returns the models that need a replica, the one in highest demand first.
func (p *planner) needs() []replicaNeed {
	var list []replicaNeed
	slots := p.slots()
	for _, d := range p.in.Demands {
		model, ok := p.in.Engine.Models[d.Model]
		if !ok || d.Adapter != "" {
			continue
		}
		replicas := p.replicas(d.Model)
		switch {
		case replicas == 0 && p.demandValue(d.Model) > 0:
			list = append(list, replicaNeed{model: model, value: p.demandValue(d.Model), firstReplica: true, reason: "NoReplica"})
		case replicas > 0 && float64(d.Running+d.Waiting) > scaleUpUtilization*float64(slots*replicas):
			list = append(list, replicaNeed{model: model, value: p.demandValue(d.Model) / float64(replicas+1), reason: "Full"})
		}
	}
	slices.SortFunc(list, func(a, b replicaNeed) int {
		if a.firstReplica != b.firstReplica {
			if a.firstReplica {
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

// advanceGoals adds the next step at each server that is making room for a model, and drops goals without demand or
// progress.
func (p *planner) advanceGoals() {
	for _, s := range p.in.Servers {
		if s.Goal == "" {
			continue
		}
		p.usedServers[s.ID] = true
		model, known := p.in.Engine.Models[s.Goal]
		stale := p.in.Now > s.GoalAt+goalTimeout || p.demandValue(s.Goal) == 0
		if !known || s.hasModel(s.Goal) || stale {
			p.steps = append(p.steps, Step{Server: s.ID, Reason: "GoalDropped"})
			continue
		}
		if !s.Free {
			p.reserveStoreLoad(s.tier(s.Goal))
			continue
		}
		p.addNextStep(s, replicaNeed{model: model, value: p.demandValue(s.Goal), reason: "Goal"}, 0, "")
	}
}

// place chooses the server for one more replica, by load time and the cost of evictions, and adds the first step there.
// It reports whether there is such a server.
func (p *planner) place(n replicaNeed) bool {
	var best, second Server
	bestCost, secondCost := -1.0, -1.0
	for _, s := range p.in.Servers {
		if !s.Free || p.usedServers[s.ID] || s.hasModel(n.model.Name) || s.Loading != "" {
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
	p.usedServers[best.ID] = true
	p.addNextStep(best, n, bestCost, second.ID)
	return true
}

// addNextStep adds the next step towards a model at a server: the unload of another model, or the load.
func (p *planner) addNextStep(s Server, n replicaNeed, cost float64, other string) {
	tier := s.tier(n.model.Name)
	victims, ok := p.victims(s, n)
	if !ok || !p.reserveStoreLoad(tier) {
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

// reserveStoreLoad takes one of the remaining loads from the weight store, if the weights come from there, and reports
// whether there was one. It is called before the first model is evicted, so that no memory is freed before the load may
// start.
func (p *planner) reserveStoreLoad(t Tier) bool {
	if t != TierStore {
		return true
	}
	p.storeLoadsLeft--
	return p.storeLoadsLeft >= 0
}

// cost returns the cost in seconds of a model at a server: its load time, the eviction costs of other models and the
// time to drain them. It returns false if the model can't be loaded there now.
func (p *planner) cost(s Server, n replicaNeed) (float64, bool) {
	tier := s.tier(n.model.Name)
	if tier == TierStore && p.storeLoadsLeft <= 0 {
		return 0, false
	}
	victims, ok := p.victims(s, n)
	if !ok {
		return 0, false
	}
	cost := LoadTime(n.model, tier)
	for _, v := range victims {
		cost += time.Duration(p.evictionLoss(v) * float64(evictCost))
		if v.Running > 0 {
			cost += drainDelay
		}
	}
	return cost.Seconds(), true
}

// evictionLoss returns the cost of evicting one replica of a model, in requests a second.
func (p *planner) evictionLoss(m Model) float64 {
	return p.demandValue(m.Name) / arrivalHorizonSeconds / float64(max(p.replicas(m.Name), 1))
}

// victims returns the models to evict for one more model, the one in least demand first, and whether the demand
// justifies the evictions.
func (p *planner) victims(s Server, n replicaNeed) ([]Model, bool) {
	missing := n.model.Megabytes - p.freeBesidesUnknown(s)
	unknown := slices.ContainsFunc(s.Models, p.isUnknown)
	if missing <= 0 && !unknown {
		return nil, true
	}
	list := slices.Clone(s.Models)
	slices.SortFunc(list, p.compareEvictionLoss)
	var chosen []Model
	lostValue := 0.0
	for _, v := range list {
		if p.isUnknown(v) {
			// Nothing fits with certainty as long as it is there.
			chosen = append(chosen, v)
			lostValue += p.evictionLoss(v) * arrivalHorizonSeconds
			continue
		}
		if missing <= 0 {
			continue
		}
		if p.in.Now < v.LoadedAt+minResidence && p.demandValue(v.Name) > 0 {
			continue
		}
		chosen = append(chosen, v)
		lostValue += p.evictionLoss(v) * arrivalHorizonSeconds
		missing -= p.megabytes(v)
	}
	if missing > 0 || lostValue*evictRatio(s.tier(n.model.Name)) > n.value {
		return nil, false
	}
	return p.trimVictims(chosen, n, s), true
}

// evictRatio returns how many times higher the demand for a model from the tier must be than that for the models
// evicted for it.
func evictRatio(t Tier) float64 {
	if t == TierStore {
		return storeEvictRatio
	}
	return localEvictRatio
}

// compareEvictionLoss orders models by the cost of evicting them, the lowest first.
func (p *planner) compareEvictionLoss(a, b Model) int {
	return cmp.Or(cmp.Compare(p.evictionLoss(a), p.evictionLoss(b)), cmp.Compare(a.Running, b.Running), cmp.Compare(a.Name, b.Name))
}

// trimVictims drops the victims that are not needed to free enough memory, those in highest demand first.
func (p *planner) trimVictims(chosen []Model, n replicaNeed, s Server) []Model {
	surplus := p.freeBesidesUnknown(s) - n.model.Megabytes
	for _, v := range chosen {
		surplus += p.megabytes(v)
	}
	var needed []Model
	for i := len(chosen) - 1; i >= 0; i-- {
		if mb := p.megabytes(chosen[i]); mb <= surplus && !p.isUnknown(chosen[i]) {
			surplus -= mb
			continue
		}
		needed = append(needed, chosen[i])
	}
	slices.Reverse(needed)
	return needed
}

// freeMegabytes returns a server's free memory for weights. There is none beside a model of unknown size.
func (p *planner) freeMegabytes(s Server) float64 {
	free := p.freeBesidesUnknown(s)
	if slices.ContainsFunc(s.Models, p.isUnknown) || s.Loading != "" && p.isUnknown(Model{Name: s.Loading}) {
		return min(free, 0)
	}
	return free
}

// freeBesidesUnknown returns the memory that would be free without the models of unknown size.
func (p *planner) freeBesidesUnknown(s Server) float64 {
	free := p.in.Engine.WeightMegabytes
	for _, m := range s.Models {
		free -= p.megabytes(m)
	}
	if s.Loading != "" && !s.hasModel(s.Loading) {
		free -= p.megabytes(Model{Name: s.Loading})
	}
	return free - p.largestAdapter*float64(len(s.PendingAdapters)+len(s.UnloadingAdapters))
}

// megabytes returns the memory that a model uses with its adapters, 0 if its size is unknown.
func (p *planner) megabytes(m Model) float64 {
	model, ok := p.in.Engine.Models[m.Name]
	if earlier := p.in.Earlier[m.Name]; !ok || m.OrderedAt < earlier.Until {
		model.Megabytes = max(model.Megabytes, earlier.Megabytes)
		model.AdapterMegabytes = max(model.AdapterMegabytes, earlier.AdapterMegabytes)
	}
	return model.Megabytes + float64(len(m.Adapters))*model.AdapterMegabytes
}

// isUnknown reports whether the size of a model is unknown, since the configuration doesn't have it, and hasn't had it while this daemon
// ran.
func (p *planner) isUnknown(m Model) bool {
	_, current := p.in.Engine.Models[m.Name]
	_, earlier := p.in.Earlier[m.Name]
	return !current && !earlier
}

// LoadTime returns how long the load of a model from a tier takes.
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

// LongestLoadTime returns the time after which the load of any model of an engine has ended or never will, 0 for no engine.
func LongestLoadTime(e *matcher.Engine) time.Duration {
	var longest time.Duration
	if e != nil {
		for _, m := range e.Models {
			longest = max(longest, m.StoreLoadTime)
		}
	}
	return maxLoadSlowdown * longest
}

func (s Server) hasModel(model string) bool {
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
