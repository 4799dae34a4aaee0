package prover_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// A directory keeps the answer to a look-up of addresses for as long as it says, as callers do.
type directory struct {
	load *load

	mu        sync.Mutex
	addresses []string
	expires   time.Time
}

// current returns the addresses to use. The daemons that were named last are asked for them.
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
	return nil, fmt.Errorf("no daemon answers the look-up: %w", err)
}

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
		return fmt.Errorf("the look-up at %s names no address: %s", address, a.body)
	}
	d.addresses = nil
	for _, entry := range list.Addresses {
		d.addresses = append(d.addresses, entry.Address)
	}
	d.expires = asked.Add(time.Duration(list.TimeToLiveMilliseconds) * time.Millisecond)
	return nil
}
