package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"samphirewharf/internal/network/bounder"
	"samphirewharf/internal/network/sender"
)

// addressesTimeout bounds one lookup.
const addressesTimeout = 5 * time.Second

// An addressesCommand queries a daemon for the addresses of the daemons to use, as callers do.
type addressesCommand struct {
	Ask        string `help:"IP and port of any daemon." required:"" env:"SAMPHIREWHARF_ASK"`
	Zone       string `help:"Availability zone of the caller." env:"SAMPHIREWHARF_ZONE"`
	Deployment string `arg:"" help:"Deployment, adapter or service."`
}

// An addressesAnswer is the response of /v1/addresses.
type addressesAnswer struct {
	Addresses []struct {
		Address          string
		AvailabilityZone string
	}
	TimeToLiveMilliseconds int64
}

// Run prints the addresses, nearest first.
func (c *addressesCommand) Run(ctx context.Context, r *Runner) error {
	if err := validateAddress("--ask", c.Ask); err != nil {
		return err
	}
	query := url.Values{"Deployment": {c.Deployment}}
	if c.Zone != "" {
		query.Set("AvailabilityZone", c.Zone)
	}
	answer, err := c.lookUp(ctx, "http://"+c.Ask+"/v1/addresses?"+query.Encode())
	if err != nil {
		return err
	}
	return r.print(answer, func(w *strings.Builder) {
		fmt.Fprintln(w, "ADDRESS\tZONE")
		for _, a := range answer.Addresses {
			fmt.Fprintf(w, "%s\t%s\n", a.Address, a.AvailabilityZone)
		}
		fmt.Fprintf(w, "\nkeep for %s\n", time.Duration(answer.TimeToLiveMilliseconds)*time.Millisecond)
	})
}

// maxAddressesBytes bounds the answer to a look-up of addresses.
const maxAddressesBytes = 1 << 20

// lookUp sends the request and decodes the response.
func (c *addressesCommand) lookUp(ctx context.Context, address string) (addressesAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, addressesTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return addressesAnswer{}, fmt.Errorf("looking up addresses: %w", err)
	}
	var client sender.Sender
	defer client.Close()
	response, err := client.Do(request)
	if err != nil {
		return addressesAnswer{}, fmt.Errorf("looking up addresses: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := bounder.ReadAll(response.Body, maxAddressesBytes)
	if err != nil {
		return addressesAnswer{}, fmt.Errorf("reading addresses: %w", err)
	}
	if response.StatusCode == http.StatusNotFound {
		return addressesAnswer{}, fmt.Errorf("%s: %w", c.Deployment, errNotFound)
	}
	if response.StatusCode != http.StatusOK {
		return addressesAnswer{}, fmt.Errorf("daemon answered %s: %s", response.Status, body)
	}
	var answer addressesAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return addressesAnswer{}, fmt.Errorf("decoding addresses: %w", err)
	}
	return answer, nil
}
