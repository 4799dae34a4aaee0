// Package lister reads the platform's host list.
package lister

// A HostState is the state of a host according to the host list.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "Live"
	HostLeaving HostState = "Leaving"
)

// A Host is one backend server in the host list. The list lags behind the actual state.
type Host struct {
	Server  string
	Service string
	// Address is the IP and port of the host's engine or plain service.
	Address string
	Zone    string
	// MemoryBytes is the accelerator memory of the host; 0 for plain services.
	MemoryBytes int64
	State       HostState
}
