package inferrer

import (
	"net/http"
	"strconv"
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/standin/responder"
)

// Reasons in Refusal.Refused besides orderer.RefusedStaleFence.
const (
	refusedMemory   = "Memory"
	refusedSlots    = "AdapterSlots"
	refusedReplica  = "UnknownReplica"
	refusedKind     = "UnknownKind"
	refusedInstance = "OtherInstance"
	refusedFault    = "Unavailable"
)

// An accepted is the answer to an order that is carried out.
type accepted struct {
	OrderID string
}

// A verdict is the answer to an order; the zero value accepts it.
type verdict struct {
	status  int
	refusal orderer.Refusal
}

func refuse(status int, reason string) verdict {
	return verdict{status, orderer.Refusal{Refused: reason}}
}

func (e *Engine) serveState(w http.ResponseWriter, r *http.Request) {
	inst := e.instance(w)
	if inst == nil {
		return
	}
	if !inst.pass(r.Context().Done(), callDelay) {
		responder.Drop(w)
		return
	}
	known, err := strconv.ParseInt(r.URL.Query().Get("Checkpoints"), 10, 64)
	if err != nil {
		known = -1
	}
	e.mu.Lock()
	report := inst.report(known, time.Now())
	e.mu.Unlock()
	responder.WriteJSON(w, http.StatusOK, report)
}

// serveOrder takes an order. It does not look whether the sender is still there, as engines don't.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	inst := e.instance(w)
	var order orderer.Order
	if inst == nil || !responder.ReadJSON(w, r, &order) {
		return
	}
	e.countWaiting(1)
	passed := inst.pass(nil, orderDelay)
	e.countWaiting(-1)
	if !passed {
		responder.Drop(w)
		return
	}
	v := inst.decide(order)
	if v.status != 0 {
		responder.WriteJSON(w, v.status, v.refusal)
		return
	}
	responder.WriteJSON(w, http.StatusAccepted, accepted{order.OrderID})
}

func (e *Engine) countWaiting(n int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.OrdersWaiting += n
}

// decide counts an order and carries it out or refuses it.
func (i *instance) decide(order orderer.Order) verdict {
	e := i.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if i.ctx.Err() != nil {
		return refuse(http.StatusServiceUnavailable, refusedFault)
	}
	e.counts.Orders[order.Kind]++
	if e.faults.RefuseOrders {
		e.counts.RefusedOrders++
		return refuse(http.StatusServiceUnavailable, refusedFault)
	}
	if e.ChecksFencing {
		if order.Fence < i.fence {
			e.counts.StaleFences++
			return verdict{http.StatusConflict, orderer.Refusal{Refused: orderer.RefusedStaleFence, Fence: i.fence}}
		}
		i.fence = order.Fence
		if order.Instance != "" && order.Instance != i.id {
			e.counts.RefusedOrders++
			return refuse(http.StatusConflict, refusedInstance)
		}
	}
	v := i.obey(order)
	if v.status != 0 {
		e.counts.RefusedOrders++
	}
	return v
}

func (i *instance) obey(order orderer.Order) verdict {
	switch order.Kind {
	case orderer.KindLoad:
		return i.load(order)
	case orderer.KindUnload:
		i.unload(order.Replica)
		return verdict{}
	case orderer.KindLoadAdapter:
		return i.loadAdapter(order)
	case orderer.KindUnloadAdapter:
		i.unloadAdapter(order)
		return verdict{}
	case orderer.KindRaiseFence:
		return verdict{}
	case orderer.KindChangeRole:
		return i.changeRole(order)
	}
	return refuse(http.StatusBadRequest, refusedKind)
}

// load starts to load a replica, a second one if there is already one with the ID.
func (i *instance) load(order orderer.Order) verdict {
	e := i.engine
	for _, r := range i.replicas {
		if r.order.Replica == order.Replica {
			i.violate(ViolationDuplicate, order)
			break
		}
	}
	if i.used+order.Bytes > e.MemoryBytes {
		i.violate(ViolationMemory, order)
		return refuse(http.StatusInsufficientStorage, refusedMemory)
	}
	r := newReplica(i, order)
	i.used += order.Bytes
	i.replicas = append(i.replicas, r)
	e.counts.Loads++
	e.counts.LoadsOf[order.Deployment]++
	e.counts.PeakReplicas = max(e.counts.PeakReplicas, len(i.replicas))
	e.counts.PeakBytes = max(e.counts.PeakBytes, i.used)
	go r.run(e.checkpoints.nearest(r.checkpoint()))
	return verdict{}
}

func (i *instance) violate(kind string, order orderer.Order) {
	i.engine.counts.Violations = append(i.engine.counts.Violations, Violation{kind, order})
}

// unload takes new requests away from all replicas with the ID and removes them after their last request.
func (i *instance) unload(id string) {
	for _, r := range append([]*replica(nil), i.replicas...) {
		if r.order.Replica == id && r.state != orderer.StateUnloading {
			r.unload()
		}
	}
}

func (i *instance) loadAdapter(order orderer.Order) verdict {
	r, ok := i.find(order.Replica)
	if !ok {
		return refuse(http.StatusNotFound, refusedReplica)
	}
	if _, ok := r.adapters[order.Adapter]; ok {
		return verdict{}
	}
	if len(r.adapters) >= r.order.AdapterSlots {
		i.violate(ViolationSlots, order)
		return refuse(http.StatusInsufficientStorage, refusedSlots)
	}
	slot := &adapterSlot{replica: r, name: order.Adapter}
	r.adapters[order.Adapter] = slot
	i.engine.counts.AdapterLoads++
	duration := i.engine.scaled(order.LoadMilliseconds[placeStore])
	if duration == 0 {
		duration = i.engine.AdapterLoad
	}
	go slot.run(duration)
	return verdict{}
}

func (i *instance) unloadAdapter(order orderer.Order) {
	for _, r := range i.replicas {
		if r.order.Replica == order.Replica {
			delete(r.adapters, order.Adapter)
		}
	}
}

func (i *instance) changeRole(order orderer.Order) verdict {
	found := false
	for _, r := range i.replicas {
		if r.order.Replica == order.Replica {
			r.role = order.Role
			found = true
		}
	}
	if !found {
		return refuse(http.StatusNotFound, refusedReplica)
	}
	return verdict{}
}
