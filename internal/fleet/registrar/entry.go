// Package registrar defines backend servers' entries in the store, their reports, and the orders that they accept.
package registrar

import (
	"slices"
	"time"
)

// A State defines whether a server accepts requests.
type State uint8

// The states of a server.
const (
	StateReady State = iota
	// StateDraining servers finish their requests and accept no new ones.
	StateDraining
)

// An Entry is a server's registration in the store.
type Entry struct {
	// ID is the server's name. A restarted server may keep it.
	ID string
	// StartedAt is the start time of this incarnation, in Unix milliseconds.
	StartedAt int64
	Service   string
	Address   string
	Zone      string
	// SoftwareVersion is the version of the server's software, not of its weights. It may differ within a service.
	SoftwareVersion string
	Slots           int
	State           State
	// RemainingLifetime is the time until the server is stopped, zero if it has not been announced.
	RemainingLifetime time.Duration
	// RemainingWarmup is how much longer the server is slow after its start.
	RemainingWarmup time.Duration
	Weights         Weights
	// Revision is the store's revision of the entry's last change.
	Revision int64
}

// Weights are the model weights that a server has loaded, and those that are cached on its host.
type Weights struct {
	Models []LoadedModel
	// InMemory and OnDisk name models whose weights are cached in the host's memory and on its disk.
	InMemory []string
	OnDisk   []string
}

// A LoadedModel is a model that a server has loaded, with its loaded adapters.
type LoadedModel struct {
	Name     string
	Version  int
	Adapters []string
}

// A Report is a server's state as reported by the server.
type Report struct {
	Weights
	// Busy reports whether a model is being loaded or unloaded.
	Busy bool
	// OrdersAccepted is the number of orders accepted since the server's start.
	OrdersAccepted int64
	Waiting        int
	Running        int
	// TokensUsed is the memory used by running requests, TokensTotal the engine's memory, both in tokens.
	TokensUsed  int
	TokensTotal int
	// PendingAdapters are adapters that are being loaded, as MODEL/ADAPTER. They have their slots already.
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
	// ExpectedOrders is the number of orders that the server must have accepted before; with another number it refuses
	// the order.
	ExpectedOrders int64
	// Leader is the host that sends the order, FencingToken its fencing token.
	Leader       string
	FencingToken int64
}

// An OrderResult is the result of sending an order.
type OrderResult uint8

// The results of an order.
const (
	// OrderUnknown means that the order may have taken effect or may still do so at any time.
	OrderUnknown OrderResult = iota
	// OrderAccepted means that the server is executing the order.
	OrderAccepted
	// OrderAlreadyDone means that there was nothing to load or unload.
	OrderAlreadyDone
	// OrderConflict means that another order is running or was accepted in between.
	OrderConflict
	// OrderFenced means that a leader with a higher fencing token has sent orders.
	OrderFenced
	// OrderInvalid means that the server doesn't support the order.
	OrderInvalid
	// OrderMisdirected means that the address belongs to another server or incarnation.
	OrderMisdirected
	// OrderNotSent means that the order was not sent.
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

// HasLoaded reports whether the model, and the adapter if one is named, is loaded.
func (w Weights) HasLoaded(model, adapter string) bool {
	for _, m := range w.Models {
		if m.Name == model {
			return adapter == "" || slices.Contains(m.Adapters, adapter)
		}
	}
	return false
}

// WithModel returns the weights with a model added, and the adapter if one is named.
func (w Weights) WithModel(model, adapter string) Weights {
	if w.HasLoaded(model, adapter) {
		return w
	}
	w.Models = slices.Clone(w.Models)
	i := slices.IndexFunc(w.Models, func(m LoadedModel) bool { return m.Name == model })
	if i < 0 {
		w.Models = append(w.Models, LoadedModel{Name: model, Version: 1})
		i = len(w.Models) - 1
	}
	if adapter != "" {
		w.Models[i].Adapters = append(slices.Clone(w.Models[i].Adapters), adapter)
	}
	return w
}

// With returns the weights with the loaded models and adapters of others added.
func (w Weights) With(other Weights) Weights {
	for _, m := range other.Models {
		w = w.WithModel(m.Name, "")
		for _, adapter := range m.Adapters {
			w = w.WithModel(m.Name, adapter)
		}
	}
	return w
}

// Equal reports whether the same models and adapters are loaded.
func (w Weights) Equal(other Weights) bool { return w.includes(other) && other.includes(w) }

func (w Weights) includes(other Weights) bool {
	for _, m := range other.Models {
		if !w.HasLoaded(m.Name, "") {
			return false
		}
		for _, adapter := range m.Adapters {
			if !w.HasLoaded(m.Name, adapter) {
				return false
			}
		}
	}
	return true
}

// WithoutModel returns the weights without a model, or without just the adapter if one is named.
func (w Weights) WithoutModel(model, adapter string) Weights {
	if !w.HasLoaded(model, adapter) {
		return w
	}
	w.Models = slices.Clone(w.Models)
	i := slices.IndexFunc(w.Models, func(m LoadedModel) bool { return m.Name == model })
	if adapter == "" {
		w.Models = slices.Delete(w.Models, i, i+1)
		return w
	}
	w.Models[i].Adapters = slices.DeleteFunc(slices.Clone(w.Models[i].Adapters), func(a string) bool { return a == adapter })
	return w
}
