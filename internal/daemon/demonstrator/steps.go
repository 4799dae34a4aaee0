package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	burstRequests   = 30
	streamTokens    = 20
	canWaitRequests = 48
	urgentRequests  = 8
	stopRequests    = 60
)

// showAddresses looks up the addresses of the daemons for a deployment.
func (d *Demonstrator) showAddresses(ctx context.Context) error {
	a, err := d.client.get(ctx, d.daemons[0].Address(), "/v1/addresses?Deployment=rates-1&AvailabilityZone=zone-b")
	if err != nil {
		return err
	}
	var reply struct {
		Addresses []struct {
			Address          string
			AvailabilityZone string
		}
		TimeToLiveMilliseconds int64
	}
	if err := json.Unmarshal([]byte(a.body), &reply); err != nil {
		return fmt.Errorf("decode addresses: %w", err)
	}
	if len(reply.Addresses) < daemonCount || reply.Addresses[0].AvailabilityZone != "zone-b" {
		return fmt.Errorf("%w: addresses are %s", errNotObserved, a.body)
	}
	d.printf("   %d addresses, the nearest is in %s; the answer may be kept for %d ms.\n",
		len(reply.Addresses), reply.Addresses[0].AvailabilityZone, reply.TimeToLiveMilliseconds)
	return nil
}

// showBurst sends the first requests for a deployment to all daemons at once. If the deployment was already loaded,
// because the placer preloads checkpoints, there is nothing to show and the next deployment is used.
func (d *Demonstrator) showBurst(ctx context.Context) error {
	for _, model := range []string{"rates-1", "rates-2", "rates-3"} {
		loads, err := d.burst(ctx, model)
		if err != nil {
			return err
		}
		if loads > 1 {
			return fmt.Errorf("%w: %d loads", errNotObserved, loads)
		}
		if loads == 1 {
			d.loadedModel = model
			return nil
		}
	}
	return fmt.Errorf("%w: every deployment was loaded already", errNotObserved)
}

// burst sends requests for a deployment and returns how many loads they caused.
func (d *Demonstrator) burst(ctx context.Context, model string) (int64, error) {
	before := d.loadsOf(model)
	requests := make([]request, burstRequests)
	for i := range requests {
		requests[i] = d.completion(i, model, 4, false, nil)
	}
	answers, err := d.client.postAll(ctx, requests)
	if err != nil {
		return 0, err
	}
	var slowest time.Duration
	for _, a := range answers {
		if a.status != http.StatusOK {
			return 0, fmt.Errorf("%w: a request was answered with %d %s", errNotObserved, a.status, a.body)
		}
		slowest = max(slowest, a.total)
	}
	loads := d.loadsOf(model) - before
	d.printf("   %d requests for %s at %d daemons: all served, the slowest in %s; loads begun: %d.\n",
		burstRequests, model, len(d.daemons), round(slowest), loads)
	return loads, nil
}

// showStream streams a response of the loaded deployment.
func (d *Demonstrator) showStream(ctx context.Context) error {
	a, err := d.client.post(ctx, d.completion(1, d.loadedModel, streamTokens, true, nil))
	if err != nil {
		return err
	}
	if !a.isComplete() || len(a.events) <= streamTokens {
		return fmt.Errorf("%w: %d events with status %d", errNotObserved, len(a.events), a.status)
	}
	d.printf("   first part after %s, %d events in %s, ended by [DONE].\n", round(a.firstByte), len(a.events)-1, round(a.total))
	return nil
}

// showPriority sends many requests that can wait, and then a few urgent ones.
func (d *Demonstrator) showPriority(ctx context.Context) error {
	var requests []request
	for i := range canWaitRequests {
		requests = append(requests, d.completion(0, "clauses", 24, false, map[string]string{
			"Priority": "u=7", "X-Request-Id": fmt.Sprintf("can-wait-%d", i),
		}))
	}
	for i := range urgentRequests {
		requests = append(requests, d.completion(0, "clauses", 24, false, map[string]string{
			"Priority": "u=0", "X-Request-Id": fmt.Sprintf("urgent-%d", i),
		}))
	}
	answers, err := d.client.postAll(ctx, requests)
	if err != nil {
		return err
	}
	var canWait, urgent []time.Duration
	for i, a := range answers {
		if a.status != http.StatusOK {
			return fmt.Errorf("%w: a request was answered with %d %s", errNotObserved, a.status, a.body)
		}
		if i < canWaitRequests {
			canWait = append(canWait, a.total)
		} else {
			urgent = append(urgent, a.total)
		}
	}
	d.printf("   the last of %d urgent requests took %s, the last of %d that can wait %s.\n",
		urgentRequests, round(slices.Max(urgent)), canWaitRequests, round(slices.Max(canWait)))
	if slices.Max(urgent) >= slices.Max(canWait) {
		return fmt.Errorf("%w: urgent requests were not first", errNotObserved)
	}
	return nil
}

// showBooking sends the same booking to two daemons.
func (d *Demonstrator) showBooking(ctx context.Context) error {
	booking := request{
		path: "/services/bookings/bookings", body: `{"Performer":7,"DayRate":410}`,
		header: map[string]string{"Idempotency-Key": "demo-booking-1"},
	}
	var bodies []string
	for i := range 2 {
		booking.address = d.daemons[i].Address()
		a, err := d.client.post(ctx, booking)
		if err != nil {
			return err
		}
		if a.status >= http.StatusMultipleChoices {
			return fmt.Errorf("%w: booking was answered with %d %s", errNotObserved, a.status, a.body)
		}
		bodies = append(bodies, a.body)
	}
	runs := 0
	for _, b := range d.standins.PlainServers() {
		runs += b.Counts().Runs["demo-booking-1"]
	}
	d.printf("   sent to two daemons, run %d time, same answer: %t.\n", runs, bodies[0] == bodies[1])
	if runs != 1 || bodies[0] != bodies[1] {
		return fmt.Errorf("%w: %d runs", errNotObserved, runs)
	}
	return nil
}

// showRefusals shows the refusals of an unknown deployment, of a cold start that would exceed the time limit, and of a
// booking without a key.
func (d *Demonstrator) showRefusals(ctx context.Context) error {
	unknown := d.completion(0, "no-such-model", 4, false, nil)
	tooSlow := d.completion(1, "summaries-1", 4, false, map[string]string{"X-Request-Timeout-Ms": "5"})
	withoutKey := request{address: d.daemons[2].Address(), path: "/services/bookings/bookings", body: "{}"}
	wantCodes := []int{1002, 2004, 4001}
	for i, r := range []request{unknown, tooSlow, withoutKey} {
		a, err := d.client.post(ctx, r)
		if err != nil {
			return err
		}
		p := a.problem()
		d.printf("   code %d, %q, status %d, Retry-After %q, in %s.\n",
			p.Code, p.Ran, a.status, a.header.Get("Retry-After"), round(a.total))
		if p.Code != wantCodes[i] || p.Ran != "not run" {
			return fmt.Errorf("%w: code %d instead of %d: %s", errNotObserved, p.Code, wantCodes[i], a.body)
		}
	}
	return nil
}

// showPlannedStop stops a daemon while it streams responses and accepts new requests.
func (d *Demonstrator) showPlannedStop(ctx context.Context) error {
	last := len(d.daemons) - 1
	stopped := d.daemons[last]
	var requests []request
	for i := range stopRequests {
		requests = append(requests, d.completion(last, d.loadedModel, 40+i*3, true, nil))
	}
	time.AfterFunc(100*time.Millisecond, stopped.Stop)
	answers, err := d.client.postAll(ctx, requests)
	if err != nil {
		return err
	}
	complete := 0
	for _, a := range answers {
		if a.isComplete() {
			complete++
		}
	}
	if complete != stopRequests {
		return fmt.Errorf("%w: %d of %d streams were whole", errNotObserved, complete, stopRequests)
	}
	a, err := d.client.get(ctx, d.daemons[0].Address(), "/v1/addresses?Deployment=rates-1")
	if err != nil {
		return err
	}
	if strings.Contains(a.body, stopped.Address()) {
		return fmt.Errorf("%w: a stopping daemon is still listed", errNotObserved)
	}
	started := time.Now()
	select {
	case <-stopped.Exited():
	case <-ctx.Done():
		return fmt.Errorf("%w: the daemon has not exited", errNotObserved)
	}
	d.printf("   %d of %d streams whole; the daemon ended %s later and is in no answer of the look-up.\n",
		complete, stopRequests, round(time.Since(started)))
	return nil
}

// completion returns a completion request to a daemon, selected round robin by number.
func (d *Demonstrator) completion(daemon int, model string, tokens int, stream bool, header map[string]string) request {
	return request{
		address: d.daemons[daemon%len(d.daemons)].Address(),
		path:    "/v1/completions",
		body:    fmt.Sprintf(`{"model":%q,"prompt":"What is the day rate?","max_tokens":%d,"stream":%t}`, model, tokens, stream),
		header:  header,
	}
}

// loadsOf returns the number of loads of a deployment that all engines have started.
func (d *Demonstrator) loadsOf(deployment string) int64 {
	var loads int64
	for _, e := range d.standins.Engines() {
		loads += e.Counts().LoadsOf[deployment]
	}
	return loads
}
