// Package lister reads the platform's host list.
package lister

// A HostState is what the host list says of a host.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "Live"
	HostLeaving HostState = "Leaving"
)

// A Host is one backend server in the host list. The list lags behind the truth.
type Host struct {
	Server  string
	Service string
	// Address is IP:PORT of its engine or plain service.
	Address string
	Zone    string
	// MemoryBytes is the accelerator memory of the server; 0 for plain services.
	MemoryBytes int64
	State       HostState
}
