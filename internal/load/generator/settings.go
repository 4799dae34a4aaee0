package generator

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"samphirewharf/internal/config/cataloger"
)

// Bounds of a run.
const (
	MaxRequests = 5_000_000
	MaxDuration = time.Hour
	MaxRate     = 50_000
	MaxTokens   = 100_000
	MaxCallers  = 10_000
)

// ErrInvalidSettings is wrapped by the errors of invalid settings.
var ErrInvalidSettings = errors.New("invalid settings")

// Settings are the settings of a run. Shares are from 0 to 1.
type Settings struct {
	// Daemons are the IPs and ports of the entry daemons, which callers ask for addresses.
	Daemons []string
	// Engine is the address of a model engine that requests are sent to directly. If Daemons are given too, every
	// second completion goes to the engine and the others to the daemons, so that both are measured under the same
	// varying load of the host.
	Engine string
	// Counters are the addresses of stand-in servers whose run counts are compared with the answers at the end.
	Counters []string
	// Configuration contains the deployments, adapters and plain services.
	Configuration cataloger.Configuration
	// Models are the deployments and adapters to request; empty means all.
	Models []string
	// Zone is the availability zone that callers send when they ask for addresses.
	Zone string
	// Callers is the number of callers. Each has its own address cache.
	Callers int

	// Rate is how many requests become due per second, independently of the answers.
	Rate float64
	// Requests and Duration bound the run; the bound reached first ends it. A zero Duration is no bound.
	Requests int
	Duration time.Duration
	// WarmUp is the time at the start of the run in which answers are checked but not measured.
	WarmUp time.Duration
	// MaxInFlight bounds the requests in flight; requests that become due beyond it are skipped and counted.
	MaxInFlight int
	// Timeout is the time limit of each request; zero means the deadline of its deployment or service.
	Timeout time.Duration
	// Retries is how many times a refused request is retried, each time after its Retry-After.
	Retries int

	StreamShare  float64
	UrgentShare  float64
	ChatShare    float64
	AdapterShare float64
	// BookingShare is the share of bookings, which are non-idempotent requests to plain services.
	BookingShare float64
	// DuplicateShare is the share of bookings that are sent twice at once, through two daemons.
	DuplicateShare float64
	// Tokens is the number of tokens that each completion requests.
	Tokens int
	// PromptBytes is the size of each prompt.
	PromptBytes int
	// Seed is the seed of all random choices.
	Seed uint64
}

// Validate returns an error if a setting is out of bounds or an address is not a loopback address.
func (s Settings) Validate() error {
	for _, address := range s.addresses() {
		if err := checkLoopback(address); err != nil {
			return err
		}
	}
	if s.Engine == "" && len(s.Daemons) == 0 {
		return fmt.Errorf("%w: no daemon and no engine is given", ErrInvalidSettings)
	}
	for _, bound := range []struct {
		name         string
		value, limit float64
	}{
		{"rate", s.Rate, MaxRate},
		{"requests", float64(s.Requests), MaxRequests},
		{"callers", float64(s.Callers), MaxCallers},
		{"tokens", float64(s.Tokens), MaxTokens},
		{"requests in flight", float64(s.MaxInFlight), MaxRequests},
	} {
		if bound.value <= 0 || bound.value > bound.limit {
			return fmt.Errorf("%w: %s is %g; accepted: above 0, up to %g", ErrInvalidSettings, bound.name, bound.value, bound.limit)
		}
	}
	if s.Duration < 0 || s.Duration > MaxDuration {
		return fmt.Errorf("%w: duration is %v; accepted: up to %v", ErrInvalidSettings, s.Duration, MaxDuration)
	}
	return s.validateShares()
}

func (s Settings) addresses() []string {
	list := append([]string(nil), s.Daemons...)
	list = append(list, s.Counters...)
	if s.Engine != "" {
		list = append(list, s.Engine)
	}
	return list
}

func (s Settings) validateShares() error {
	for _, share := range []struct {
		name  string
		value float64
	}{
		{"streams", s.StreamShare},
		{"urgent", s.UrgentShare},
		{"chats", s.ChatShare},
		{"adapters", s.AdapterShare},
		{"bookings", s.BookingShare},
		{"repeats", s.DuplicateShare},
	} {
		if share.value < 0 || share.value > 1 {
			return fmt.Errorf("%w: the share of %s is %g; accepted: from 0 to 1", ErrInvalidSettings, share.name, share.value)
		}
	}
	return nil
}

// checkLoopback returns an error if an address is not a loopback IP number and port.
func checkLoopback(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().IsLoopback() {
		return fmt.Errorf("%w: %q is not a loopback IP number and port", ErrInvalidSettings, address)
	}
	return nil
}
