package prover_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// An addressCache caches the result of an address lookup for its time to live, like callers.
type addressCache struct {
	sender *sender

	mu        sync.Mutex
	addresses []string
	expires   time.Time
}

// current returns the addresses to use. If the cached ones have expired, it asks these daemons, one after the other.
func (c *addressCache) current() ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.addresses, nil
	}
	var err error
	for _, address := range c.addresses {
		if err = c.lookUp(address); err == nil {
			return c.addresses, nil
		}
	}
	return nil, fmt.Errorf("address lookup failed at all daemons: %w", err)
}

// lookUp looks the addresses up at a daemon.
func (c *addressCache) lookUp(address string) error {
	asked := time.Now()
	target := "http://" + address + "/v1/addresses?Deployment=" + url.QueryEscape(c.sender.spec.lookupDeployment)
	request, err := http.NewRequestWithContext(c.sender.harness.ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return err
	}
	a, err := c.sender.do(request)
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
	c.addresses = nil
	for _, entry := range list.Addresses {
		c.addresses = append(c.addresses, entry.Address)
	}
	c.expires = asked.Add(time.Duration(list.TimeToLiveMilliseconds) * time.Millisecond)
	return nil
}
