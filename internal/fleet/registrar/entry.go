// Package registrar holds what backend servers say of themselves, and what a daemon believes of them.
package registrar

import (
	"slices"
	"time"
)

// A State tells whether a server takes requests.
type State uint8

// The states of a server.
const (
	StateReady State = iota
	// StateDraining servers finish their requests and take no new ones.
	StateDraining
)

// An Entry is a server's registration in the key-value service.
type Entry struct {
	// ID is the server's name. A restarted server may have the same.
	ID string
	// StartedAt is the Unix millisecond at which this incarnation started.
	StartedAt int64
	Service   string
	Address   string
	Zone      string
	Slots     int
	State     State
	// Leaving is how much longer the server lives, if it has been told; zero otherwise.
	RemainingLifetime time.Duration
	// Warming is how much longer the server stays slow after its start.
	RemainingWarmup time.Duration
	Weights         Weights
	// Revision is the key-value service's, of the entry's last change.
	Revision int64
}

// Weights are the weights that a server has.
type Weights struct {
	Models []LoadedModel
	// InMemory and OnDisk name models whose weights the host keeps besides.
	InMemory []string
	OnDisk   []string
}

// A LoadedModel is a model that a server has loaded, with the adapters loaded for it.
type LoadedModel struct {
	Name     string
	Version  int
	Adapters []string
}

// A Report is a server's answer about its state.
type Report struct {
	Weights
	// Busy tells that a model is being loaded or unloaded.
	Busy bool
	// OrdersAccepted counts the orders accepted since the server's start.
	OrdersAccepted int64
	Waiting        int
	Running        int
	// TokensUsed is the memory of running requests, TokensTotal that of the engine, in tokens.
	TokensUsed  int
	TokensTotal int
	// PendingAdapters are adapters on their way, as MODEL/NAME@VERSION.
	PendingAdapters []string
}

// An Operation is what an order asks for.
type Operation uint8

// The operations.
const (
	OperationLoad Operation = iota
	OperationUnload
)

// String returns the operation's name in logs and metrics.
func (o Operation) String() string {
	if o == OperationLoad {
		return "Load"
	}
	return "Unload"
}

// An Order asks a server to load or unload a model or adapter.
type Order struct {
	Server  string
	Address string
	// Operation applies to the adapter if there is one, otherwise to the model.
	Operation Operation
	Model     string
	Adapter   string
	// After is the count of accepted orders that the server must have; another count refuses the order.
	ExpectedOrders int64
	// Holder is the host that gives the order, Fence its fencing number.
	Leader       string
	FencingToken int64
}

// An OrderResult tells what became of an order.
type OrderResult uint8

// The results of an order.
const (
	// OrderUnknown means that the order may take effect, at any later time.
	OrderUnknown OrderResult = iota
	// OrderAccepted means that the server carries it out.
	OrderAccepted
	// OrderHeld means that what it asks for was so already.
	OrderAlreadyDone
	// OrderConflict means that another order runs or came in between.
	OrderConflict
	// OrderFenced means that a holder with a higher fencing number has given orders.
	OrderFenced
	// OrderInvalid means that the server doesn't know the order.
	OrderInvalid
	// OrderMisdirected means that another server or incarnation has the address.
	OrderMisdirected
	// OrderNotSent means that nothing was sent.
	OrderNotSent
)

// String returns the result's name in logs and metrics.
func (r OrderResult) String() string {
	names := [...]string{"Unknown", "Accepted", "Held", "Conflict", "Fenced", "Invalid", "Misdirected", "NotSent"}
	if int(r) < len(names) {
		return names[r]
	}
	return "Unknown"
}

// HasLoaded tells whether the model, and the adapter if one is named, is loaded.
func (h Weights) HasLoaded(model, adapter string) bool {
	for _, m := range h.Models {
		if m.Name == model {
			return adapter == "" || slices.Contains(m.Adapters, adapter)
		}
	}
	return false
}

// WithModel returns the holdings with a model added, and the adapter if one is named.
func (h Weights) WithModel(model, adapter string) Weights {
	if h.HasLoaded(model, adapter) {
		return h
	}
	h.Models = slices.Clone(h.Models)
	i := slices.IndexFunc(h.Models, func(m LoadedModel) bool { return m.Name == model })
	if i < 0 {
		h.Models = append(h.Models, LoadedModel{Name: model, Version: 1})
		i = len(h.Models) - 1
	}
	if adapter != "" {
		h.Models[i].Adapters = append(slices.Clone(h.Models[i].Adapters), adapter)
	}
	return h
}

// WithoutModel returns the holdings without a model, or without one adapter of it if one is named.
func (h Weights) WithoutModel(model, adapter string) Weights {
	if !h.HasLoaded(model, adapter) {
		return h
	}
	h.Models = slices.Clone(h.Models)
	i := slices.IndexFunc(h.Models, func(m LoadedModel) bool { return m.Name == model })
	if adapter == "" {
		h.Models = slices.Delete(h.Models, i, i+1)
		return h
	}
	h.Models[i].Adapters = slices.DeleteFunc(slices.Clone(h.Models[i].Adapters), func(a string) bool { return a == adapter })
	return h
}
