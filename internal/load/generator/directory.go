package generator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"
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
func (d *addressCache) addresses(ctx context.Context, name string) ([]string, error) {
	e := d.entry(name)
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.expires) {
		return e.addresses, nil
	}
	var err error
	for range d.settings.Daemons {
		if err = d.lookUp(ctx, name, e); err == nil {
			return e.addresses, nil
		}
	}
	return nil, err
}

// lookUp asks the next daemon for the addresses of a name and caches them.
func (d *addressCache) lookUp(ctx context.Context, name string, e *cacheEntry) error {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	query := url.Values{"Deployment": {name}, "AvailabilityZone": {d.settings.Zone}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.nextDaemon()+"/v1/addresses?"+query.Encode(), http.NoBody)
	if err != nil {
		return fmt.Errorf("look up addresses of %s: %w", name, err)
	}
	started := time.Now()
	response, err := d.http.Do(r)
	if err != nil {
		return fmt.Errorf("look up addresses of %s: %w", name, err)
	}
	defer func() { _ = response.Body.Close() }()
	var list addressAnswer
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("look up addresses of %s: status %d", name, response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return fmt.Errorf("decode addresses of %s: %w", name, err)
	}
	d.recorder.recordLookup(time.Since(started))
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

func (d *addressCache) entry(name string) *cacheEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.entries == nil {
		d.entries = make(map[string]*cacheEntry)
	}
	if d.entries[name] == nil {
		d.entries[name] = &cacheEntry{}
	}
	return d.entries[name]
}

// nextDaemon returns the address of the next daemon to ask.
func (d *addressCache) nextDaemon() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lookups++
	return d.settings.Daemons[d.lookups%len(d.settings.Daemons)]
}
