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

// ErrSettings is wrapped by the errors of settings that are not accepted.
var ErrInvalidSettings = errors.New("settings are not accepted")

// Settings describe a run. Shares are from 0 to 1.
type Settings struct {
	// Daemons are entry daemons that callers know, by IP and port. Callers ask them for addresses.
	Daemons []string
	// Engine is the address of a model engine that requests go straight to. If Daemons are given too, every
	// second completion goes to the engine and the others to the daemons, so that both meet the same noise.
	Engine string
	// Counters are stand-in servers whose counts are compared with the answers at the end.
	Counters []string
	// Configuration names the deployments, adapters and plain services.
	Configuration cataloger.Configuration
	// Models are the deployments and adapters to ask for; empty means all.
	Models []string
	// Zone is the availability zone that callers name when they ask for addresses.
	Zone string
	// Callers is how many callers keep address answers of their own.
	Callers int

	// Rate is how many requests become due in a second, whatever the answers do.
	Rate float64
	// Requests and Duration bound the run; the bound met first ends it. Duration may be zero.
	Requests int
	Duration time.Duration
	// WarmUp is how long requests are sent at the start without being measured. Their answers are checked.
	WarmUp time.Duration
	// MaxInFlight bounds the requests in flight; those due beyond it are counted as skipped.
	MaxInFlight int
	// Timeout is the time each request is given; zero means the deadline of its deployment or service.
	Timeout time.Duration
	// Retries is how often a refused request is sent again after the time in its Retry-After.
	Retries int

	StreamShare  float64
	UrgentShare  float64
	ChatShare    float64
	AdapterShare float64
	// Bookings is the share of requests that must not be repeated, to plain services.
	BookingShare float64
	// Repeats is the share of bookings that are sent twice at once, through two daemons.
	DuplicateShare float64
	// Tokens is how many tokens each completion asks for.
	Tokens int
	// PromptBytes is the size of each prompt.
	PromptBytes int
	// Seed seeds every choice.
	Seed uint64
}

// Validate checks that all settings are within their bounds and that all addresses are loopback ones.
func (s Settings) Validate() error {
	for _, address := range s.addresses() {
		if err := checkLoopback(address); err != nil {
			return err
		}
	}
	if s.Engine == "" && len(s.Daemons) == 0 {
		return fmt.Errorf("%w: no daemon and no engine is given", ErrInvalidSettings)
	}
	for _, n := range []struct {
		name        string
		value, most float64
	}{
		{"rate", s.Rate, MaxRate},
		{"requests", float64(s.Requests), MaxRequests},
		{"callers", float64(s.Callers), MaxCallers},
		{"tokens", float64(s.Tokens), MaxTokens},
		{"requests in flight", float64(s.MaxInFlight), MaxRequests},
	} {
		if n.value <= 0 || n.value > n.most {
			return fmt.Errorf("%w: %s is %g; accepted: above 0, up to %g", ErrInvalidSettings, n.name, n.value, n.most)
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

// checkLoopback returns an error for an address that is not an IP number of the loopback interface and a port.
func checkLoopback(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().IsLoopback() {
		return fmt.Errorf("%w: %q is not a loopback IP number and port", ErrInvalidSettings, address)
	}
	return nil
}
