package runner

import (
	"net/netip"
	"regexp"
	"time"
)

const (
	outputJSON        = "json"
	minStoreTimeout   = 10 * time.Millisecond
	maxStoreTimeout   = time.Minute
	maxOperatorLength = 100
	maxCommentLength  = 1000
	maxNameLength     = 100
	maxPort           = 65535

	acceptedAddress = "an IP number and port, such as 10.0.0.1:2379"
	acceptedZone    = "a name as in the questionnaire: up to 100 lower-case letters, digits, '-' and '.'"
)

var zonePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]*$`)

// Settings are the settings that all subcommands share. Each is a flag and an environment variable.
type Settings struct {
	Output       string        `default:"text"  enum:"text,json"                                           help:"Format of the output: text or json."`
	StoreAddress string        `help:"IP number and port of the platform's key-value service."             placeholder:"IP:PORT"`
	StoreTimeout time.Duration `default:"2s"    help:"Timeout of one call to the key-value service, from 10ms to 1m."`
}

// validate checks the shared settings. The store address may be empty.
func (s Settings) validate() error {
	if s.StoreTimeout < minStoreTimeout || s.StoreTimeout > maxStoreTimeout {
		return &SettingError{Name: "--store-timeout", Value: s.StoreTimeout.String(), Accepted: "a duration from 10ms to 1m"}
	}
	if s.StoreAddress == "" {
		return nil
	}
	return validateAddress("--store-address", s.StoreAddress)
}

// validateAddress checks an address that a process connects to or listens on.
func validateAddress(name, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &SettingError{Name: name, Value: value, Accepted: acceptedAddress}
	}
	return nil
}

// validateReachable checks an address that other processes connect to: it needs a specific IP and a port.
func validateReachable(name, value string) error {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Addr().IsUnspecified() || address.Port() == 0 {
		return &SettingError{Name: name, Value: value, Accepted: acceptedAddress + ", that others can connect to"}
	}
	return nil
}

// validateZone checks the name of an availability zone or region.
func validateZone(name, value string) error {
	if len(value) > maxNameLength || !zonePattern.MatchString(value) {
		return &SettingError{Name: name, Value: value, Accepted: acceptedZone}
	}
	return nil
}
