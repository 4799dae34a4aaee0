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

// A directory is the address answers that one caller keeps.
type directory struct {
	http     *http.Client
	settings *Settings
	recorder *recorder

	mu sync.Mutex
	// kept are the answers by the name they were asked for.
	kept map[string]*entry
	// asked counts look-ups, so that they go round the daemons.
	asked int
}

// An entry is one kept answer. Its mutex is held during the look-up, so that a name is looked up once at a time.
type entry struct {
	mu        sync.Mutex
	addresses []string
	expires   time.Time
}

// An addressAnswer is the answer of GET /v1/addresses.
type addressAnswer struct {
	Addresses              []struct{ Address string }
	TimeToLiveMilliseconds int64
}

// addresses returns the daemons to use for a name, nearest first.
func (d *directory) addresses(ctx context.Context, name string) ([]string, error) {
	e := d.entry(name)
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.expires) {
		return e.addresses, nil
	}
	var err error
	for range d.settings.Daemons {
		if err = d.ask(ctx, name, e); err == nil {
			return e.addresses, nil
		}
	}
	return nil, err
}

// ask asks the next daemon.
func (d *directory) ask(ctx context.Context, name string, e *entry) error {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	query := url.Values{"Deployment": {name}, "AvailabilityZone": {d.settings.Zone}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.next()+"/v1/addresses?"+query.Encode(), http.NoBody)
	if err != nil {
		return fmt.Errorf("ask for addresses of %s: %w", name, err)
	}
	started := time.Now()
	response, err := d.http.Do(r)
	if err != nil {
		return fmt.Errorf("ask for addresses of %s: %w", name, err)
	}
	defer func() { _ = response.Body.Close() }()
	var list addressAnswer
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("ask for addresses of %s: status %d", name, response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return fmt.Errorf("read addresses of %s: %w", name, err)
	}
	d.recorder.lookup(time.Since(started))
	e.addresses = e.addresses[:0:0]
	for _, a := range list.Addresses {
		if err := checkLoopback(a.Address); err != nil {
			return err
		}
		e.addresses = append(e.addresses, a.Address)
	}
	e.expires = started.Add(time.Duration(list.TimeToLiveMilliseconds) * time.Millisecond)
	if len(e.addresses) == 0 {
		return fmt.Errorf("ask for addresses of %s: none", name)
	}
	return nil
}

func (d *directory) entry(name string) *entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.kept == nil {
		d.kept = make(map[string]*entry)
	}
	if d.kept[name] == nil {
		d.kept[name] = &entry{}
	}
	return d.kept[name]
}

// next returns the daemon to ask next.
func (d *directory) next() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asked++
	return d.settings.Daemons[d.asked%len(d.settings.Daemons)]
}
