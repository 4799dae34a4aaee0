package generator

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"samphirewharf/internal/network/bounder"
)

// lookupTimeout bounds one look-up at one daemon.
const lookupTimeout = 5 * time.Second

// An addressCache is the cache of looked-up addresses of one caller.
type addressCache struct {
	http     *http.Client
	settings *Settings
	recorder *recorder

	mu sync.Mutex
	// entries are the cached addresses by name.
	entries map[string]*cacheEntry
	// lookups counts look-ups, to distribute them round-robin over the daemons.
	lookups int
}

// A cacheEntry contains the addresses of one name. Its mutex is held during the look-up, so that only one look-up of
// a name runs at a time.
type cacheEntry struct {
	mu        sync.Mutex
	addresses []string
	expires   time.Time
}

// An addressAnswer is the answer to GET /v1/addresses.
type addressAnswer struct {
	Addresses              []struct{ Address string }
	TimeToLiveMilliseconds int64
}

// addresses returns the addresses of the daemons to use for a name, nearest first.
func (c *addressCache) addresses(ctx context.Context, name string) ([]string, error) {
	e := c.entry(name)
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.expires) {
		return e.addresses, nil
	}
	var err error
	for range c.settings.Daemons {
		if err = c.lookUp(ctx, name, e); err == nil {
			return e.addresses, nil
		}
	}
	return nil, err
}

// lookUp asks the next daemon for the addresses of a name and caches them.
func (c *addressCache) lookUp(ctx context.Context, name string, e *cacheEntry) error {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	query := url.Values{"Deployment": {name}, "AvailabilityZone": {c.settings.Zone}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.nextDaemon()+"/v1/addresses?"+query.Encode(), http.NoBody)
	if err != nil {
		return fmt.Errorf("look up addresses of %s: %w", name, err)
	}
	started := time.Now()
	response, err := c.http.Do(r)
	if err != nil {
		return fmt.Errorf("look up addresses of %s: %w", name, err)
	}
	defer func() { _ = response.Body.Close() }()
	var list addressAnswer
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("look up addresses of %s: status %d", name, response.StatusCode)
	}
	if err := bounder.DecodeJSON(response.Body, maxControlBytes, &list); err != nil {
		return fmt.Errorf("decode addresses of %s: %w", name, err)
	}
	c.recorder.recordLookup(time.Since(started))
	e.addresses = e.addresses[:0:0]
	for _, a := range list.Addresses {
		if err := checkLoopback(a.Address); err != nil {
			return err
		}
		e.addresses = append(e.addresses, a.Address)
	}
	e.expires = started.Add(time.Duration(list.TimeToLiveMilliseconds) * time.Millisecond)
	if len(e.addresses) == 0 {
		return fmt.Errorf("look up addresses of %s: empty answer", name)
	}
	return nil
}

func (c *addressCache) entry(name string) *cacheEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries == nil {
		c.entries = make(map[string]*cacheEntry)
	}
	if c.entries[name] == nil {
		c.entries[name] = &cacheEntry{}
	}
	return c.entries[name]
}

// nextDaemon returns the address of the next daemon to ask.
func (c *addressCache) nextDaemon() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lookups++
	return c.settings.Daemons[c.lookups%len(c.settings.Daemons)]
}
