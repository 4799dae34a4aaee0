package prover_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// A directory caches the result of an address lookup for its time to live, like callers.
type directory struct {
	load *load

	mu        sync.Mutex
	addresses []string
	expires   time.Time
}

// current returns the addresses to use. If the cached ones have expired, it asks these daemons, one after the other.
func (d *directory) current() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().Before(d.expires) {
		return d.addresses, nil
	}
	var err error
	for _, address := range d.addresses {
		if err = d.ask(address); err == nil {
			return d.addresses, nil
		}
	}
	return nil, fmt.Errorf("address lookup failed at all daemons: %w", err)
}

// ask looks the addresses up at a daemon.
func (d *directory) ask(address string) error {
	asked := time.Now()
	target := "http://" + address + "/v1/addresses?Deployment=" + url.QueryEscape(d.load.question.follow)
	request, err := http.NewRequestWithContext(d.load.stage.ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return err
	}
	a, err := d.load.do(request)
	if err != nil {
		return err
	}
	var list struct {
		Addresses              []struct{ Address string }
		TimeToLiveMilliseconds int64
	}
	if err := json.Unmarshal([]byte(a.body), &list); err != nil {
		return err
	}
	if len(list.Addresses) == 0 {
		return fmt.Errorf("the address lookup at %s returned no address: %s", address, a.body)
	}
	d.addresses = nil
	for _, entry := range list.Addresses {
		d.addresses = append(d.addresses, entry.Address)
	}
	d.expires = asked.Add(time.Duration(list.TimeToLiveMilliseconds) * time.Millisecond)
	return nil
}
