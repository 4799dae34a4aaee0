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

// An acceptedAnswer is the answer to an order that is executed.
type acceptedAnswer struct {
	OrderID string
}

// An orderResult is the result of an order; the zero value means that it is accepted.
type orderResult struct {
	status  int
	refusal orderer.Refusal
}

func refuse(status int, reason string) orderResult {
	return orderResult{status, orderer.Refusal{Refused: reason}}
}

func (e *Engine) serveState(w http.ResponseWriter, r *http.Request) {
	inst := e.instance(w)
	if inst == nil {
		return
	}
	if !inst.waitForFaults(r.Context().Done(), callDelay) {
		responder.Drop(w)
		return
	}
	knownVersion, err := strconv.ParseInt(r.URL.Query().Get("Checkpoints"), 10, 64)
	if err != nil {
		knownVersion = -1
	}
	e.mu.Lock()
	report := inst.report(knownVersion, time.Now())
	e.mu.Unlock()
	responder.WriteJSON(w, http.StatusOK, report)
}

// serveOrder receives an order. Like real engines, it executes the order even if the sender has disconnected.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	inst := e.instance(w)
	var order orderer.Order
	if inst == nil || !responder.ReadJSON(w, r, &order) {
		return
	}
	e.countWaiting(1)
	passed := inst.waitForFaults(nil, orderDelay)
	e.countWaiting(-1)
	if !passed {
		responder.Drop(w)
		return
	}
	result := inst.handleOrder(order)
	if result.status != 0 {
		responder.WriteJSON(w, result.status, result.refusal)
		return
	}
	responder.WriteJSON(w, http.StatusAccepted, acceptedAnswer{order.OrderID})
}

func (e *Engine) countWaiting(n int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.OrdersWaiting += n
}

// handleOrder counts an order and executes or refuses it.
func (i *instance) handleOrder(order orderer.Order) orderResult {
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
			return orderResult{http.StatusConflict, orderer.Refusal{Refused: orderer.RefusedStaleFence, Fence: i.fence}}
		}
		i.fence = order.Fence
		if order.Instance != "" && order.Instance != i.id {
			e.counts.RefusedOrders++
			return refuse(http.StatusConflict, refusedInstance)
		}
	}
	result := i.execute(order)
	if result.status != 0 {
		e.counts.RefusedOrders++
	}
	return result
}

func (i *instance) execute(order orderer.Order) orderResult {
	switch order.Kind {
	case orderer.KindLoad:
		return i.load(order)
	case orderer.KindUnload:
		i.unload(order.Replica)
		return orderResult{}
	case orderer.KindLoadAdapter:
		return i.loadAdapter(order)
	case orderer.KindUnloadAdapter:
		i.unloadAdapter(order)
		return orderResult{}
	case orderer.KindRaiseFence:
		return orderResult{}
	case orderer.KindChangeRole:
		return i.changeRole(order)
	}
	return refuse(http.StatusBadRequest, refusedKind)
}

// load starts to load a replica. If one with the same ID exists, it adds a second one.
func (i *instance) load(order orderer.Order) orderResult {
	e := i.engine
	for _, r := range i.replicas {
		if r.order.Replica == order.Replica {
			i.recordViolation(ViolationDuplicate, order)
			break
		}
	}
	if i.usedBytes+order.Bytes > e.MemoryBytes {
		i.recordViolation(ViolationMemory, order)
		return refuse(http.StatusInsufficientStorage, refusedMemory)
	}
	r := newReplica(i, order)
	i.usedBytes += order.Bytes
	i.replicas = append(i.replicas, r)
	e.counts.Loads++
	e.counts.LoadsOf[order.Deployment]++
	e.counts.PeakReplicas = max(e.counts.PeakReplicas, len(i.replicas))
	e.counts.PeakBytes = max(e.counts.PeakBytes, i.usedBytes)
	go r.run(e.checkpoints.fastestSource(r.checkpoint()))
	return orderResult{}
}

func (i *instance) recordViolation(kind string, order orderer.Order) {
	i.engine.counts.Violations = append(i.engine.counts.Violations, Violation{kind, order})
}

// unload makes all replicas with the ID refuse new requests and removes them after their last request.
func (i *instance) unload(id string) {
	for _, r := range append([]*replica(nil), i.replicas...) {
		if r.order.Replica == id && r.state != orderer.StateUnloading {
			r.unload()
		}
	}
}

func (i *instance) loadAdapter(order orderer.Order) orderResult {
	r, ok := i.find(order.Replica)
	if !ok {
		return refuse(http.StatusNotFound, refusedReplica)
	}
	if _, ok := r.adapters[order.Adapter]; ok {
		return orderResult{}
	}
	if len(r.adapters) >= r.order.AdapterSlots {
		i.recordViolation(ViolationSlots, order)
		return refuse(http.StatusInsufficientStorage, refusedSlots)
	}
	slot := &adapterSlot{replica: r, name: order.Adapter}
	r.adapters[order.Adapter] = slot
	i.engine.counts.AdapterLoads++
	duration := i.engine.scaled(order.LoadMilliseconds[sourceStore])
	if duration == 0 {
		duration = i.engine.AdapterLoad
	}
	go slot.run(duration)
	return orderResult{}
}

func (i *instance) unloadAdapter(order orderer.Order) {
	for _, r := range i.replicas {
		if r.order.Replica == order.Replica {
			delete(r.adapters, order.Adapter)
		}
	}
}

func (i *instance) changeRole(order orderer.Order) orderResult {
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
	return orderResult{}
}
