// Package demonstrator demonstrates the whole system in one process on loopback: stand-ins for the platform and the
// backend servers, three daemons, and real requests over TCP.
package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/config/questioner"
	"samphirewharf/internal/config/versioner"
	"samphirewharf/internal/daemon/assembler"
	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/standin/starter"
)

const (
	// daemonCount is the number of entry daemons.
	daemonCount = 3
	// stepTimeout bounds each step of the demonstration.
	stepTimeout = 20 * time.Second
	// pollInterval is the interval between checks of a condition.
	pollInterval = 20 * time.Millisecond
)

// errNotObserved is wrapped by the errors of steps without the expected result.
var errNotObserved = errors.New("not observed")

// A Demonstrator runs the demonstration. Set the fields before Run.
type Demonstrator struct {
	// Out receives the demonstration's output.
	Out io.Writer
	// KeepRunning keeps everything running after the steps, until the context ends.
	KeepRunning bool
	// Logger receives the daemons' logs.
	Logger *log.Logger

	standins *starter.Starter
	daemons  []*assembler.Daemon
	client   caller
	// loadedModel is the deployment that showBurst has loaded.
	loadedModel string
}

// A step is one step of the demonstration.
type step struct {
	title string
	run   func(ctx context.Context) error
}

// Run starts everything, runs all steps and stops everything. The error names the step that failed.
func (d *Demonstrator) Run(ctx context.Context) error {
	defer d.stop()
	if err := d.start(ctx); err != nil {
		return err
	}
	steps := []step{
		{"Callers ask which daemons to use", d.showAddresses},
		{"A burst of first requests at all daemons makes one load", d.showBurst},
		{"A warm streamed answer", d.showStream},
		{"Requests that can wait stay behind urgent ones", d.showPriority},
		{"A booking sent twice runs once", d.showBooking},
		{"Refusals are plain", d.showRefusals},
		{"A planned stop under load cuts nothing", d.showPlannedStop},
	}
	for i, s := range steps {
		d.printf("%d. %s\n", i+1, s.title)
		stepCtx, cancel := context.WithTimeout(ctx, stepTimeout)
		err := s.run(stepCtx)
		cancel()
		if err != nil {
			return fmt.Errorf("%s: %w", s.title, err)
		}
	}
	d.printf("All %d steps were observed.\n", len(steps))
	if d.KeepRunning {
		d.waitForEnd(ctx)
	}
	return nil
}

// start starts the stand-ins and the daemons and applies the generated configuration.
func (d *Demonstrator) start(ctx context.Context) error {
	data, err := questioner.Example("demo")
	if err != nil {
		return fmt.Errorf("read sample questionnaire: %w", err)
	}
	questionnaire, err := questioner.Parse(data)
	if err != nil {
		return fmt.Errorf("parse sample questionnaire: %w", err)
	}
	settings := starter.Settings{Seed: 1, Engine: starter.Engine{TokenInterval: cataloger.Duration(10 * time.Millisecond)}}
	d.standins = starter.New(settings.WithQuestionnaire(questionnaire))
	if err := d.standins.Start(); err != nil {
		return fmt.Errorf("start stand-ins: %w", err)
	}
	if err := d.startDaemons(questionnaire); err != nil {
		return err
	}
	configuration, explanations := questioner.Generate(questionnaire)
	if err := d.apply(ctx, configuration); err != nil {
		return err
	}
	d.printf("Stand-ins and %d daemons are running; the questionnaire gave %d deployments and %d derived values.\n",
		daemonCount, len(configuration.Deployments), len(explanations))
	return d.waitForConfiguration(ctx)
}

func (d *Demonstrator) startDaemons(q questioner.Questionnaire) error {
	addresses := d.standins.Addresses()
	for i := range daemonCount {
		daemon, err := assembler.New(assembler.Settings{
			Daemon:       fmt.Sprintf("daemon-%d", i+1),
			Listen:       "127.0.0.1:0",
			Zone:         q.Zones[i%len(q.Zones)].Name,
			StoreAddress: addresses.KeyValueService,
			HostsAddress: addresses.HostList,
			DrainTime:    time.Second,
			Logger:       d.Logger,
		})
		if err != nil {
			return fmt.Errorf("start daemon %d: %w", i+1, err)
		}
		daemon.Start()
		d.daemons = append(d.daemons, daemon)
	}
	return nil
}

// apply writes the configuration as an operator's command would.
func (d *Demonstrator) apply(ctx context.Context, c cataloger.Configuration) error {
	store := &storer.Client{Address: d.standins.Addresses().KeyValueService}
	defer store.Close()
	v := versioner.Versioner{Store: versioner.Store{
		Get: store.Get, Swap: store.Swap, Delete: store.Delete, List: store.List,
	}}
	_, err := v.Apply(ctx, c, 0, uuid.NewString(), "demo", "sample questionnaire")
	if err != nil {
		return fmt.Errorf("apply configuration: %w", err)
	}
	return nil
}

// waitForConfiguration waits until every daemon has the configuration and all daemons are members.
func (d *Demonstrator) waitForConfiguration(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	started := time.Now()
	for _, daemon := range d.daemons {
		err := waitFor(ctx, func() bool {
			answer, err := d.client.get(ctx, daemon.Address(), "/readyz")
			return err == nil && answer.status == 200
		})
		if err != nil {
			return fmt.Errorf("configuration at %s: %w", daemon.Address(), err)
		}
	}
	d.printf("The configuration is in force at all daemons after %s.\n", round(time.Since(started)))
	return d.waitForMembers(ctx)
}

// waitForMembers waits until every daemon lists all daemons.
func (d *Demonstrator) waitForMembers(ctx context.Context) error {
	for _, daemon := range d.daemons {
		err := waitFor(ctx, func() bool {
			answer, err := d.client.get(ctx, daemon.Address(), "/v1/addresses?Deployment=rates-1")
			return err == nil && strings.Count(answer.body, `"Address":`) == daemonCount
		})
		if err != nil {
			return fmt.Errorf("membership at %s: %w", daemon.Address(), err)
		}
	}
	return nil
}

func (d *Demonstrator) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Out, format, args...)
}

// waitForEnd prints commands to try and waits until the context ends.
func (d *Demonstrator) waitForEnd(ctx context.Context) {
	a := d.daemons[0].Address()
	d.printf("Still running; stop with Ctrl-C. Try:\n")
	d.printf("  curl 'http://%s/v1/addresses?Deployment=rates-1&AvailabilityZone=zone-a'\n", a)
	d.printf("  curl http://%s/v1/models\n", a)
	d.printf("  curl http://%s/v1/completions -d '{\"model\":\"rates-2\",\"prompt\":\"Day rate?\",\"max_tokens\":8}'\n", a)
	d.printf("  curl -N http://%s/v1/completions -d '{\"model\":\"rates-2\",\"prompt\":\"Day rate?\",\"max_tokens\":8,\"stream\":true}'\n", a)
	d.printf("  curl http://%s/services/bookings/bookings -H 'Idempotency-Key: try-1' -d '{\"performer\":7}'\n", a)
	<-ctx.Done()
}

func (d *Demonstrator) stop() {
	for _, daemon := range d.daemons {
		select {
		case <-daemon.Exited():
		default:
			daemon.Kill()
		}
	}
	if d.standins != nil {
		d.standins.Stop()
	}
}

func round(t time.Duration) time.Duration { return t.Round(time.Millisecond) }

// waitFor waits until a condition is true.
func waitFor(ctx context.Context, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w in time", errNotObserved)
		case <-time.After(pollInterval):
		}
	}
	return nil
}
