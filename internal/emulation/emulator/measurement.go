package emulator

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"samphirewharf/internal/config/cataloger"
)

// An Experiment runs several policies on the same traces.
type Experiment struct {
	Emulator Emulator
	Policies []Policy
	Seeds    []uint64
	// Workers is the number of concurrent runs; a value below 1 means one.
	Workers int
}

// A Report contains the metrics of an Experiment.
type Report struct {
	Organisation string
	Weighting    cataloger.Weighting
	Days         int
	// Runs are the metrics of each policy and seed, in the order of the Experiment's policies and then its seeds.
	Runs []Metrics
	// Means are the means over the seeds for each policy. Counts are rounded.
	Means []Metrics
}

// A worker executes the runs whose numbers it receives from jobs.
type worker struct {
	experiment *Experiment
	jobs       <-chan int
	runs       []Metrics
	errors     []error
	done       *sync.WaitGroup
}

// ParsePolicies returns the policies with the given names, or all policies if there is no name. The name
// keep-DURATION is a baseline with that keep-alive.
func ParsePolicies(names []string) ([]Policy, error) {
	policies := Policies()
	if len(names) == 0 {
		return policies, nil
	}
	var list []Policy
	for _, name := range names {
		p, ok := findPolicy(policies, name)
		if !ok {
			return nil, fmt.Errorf("unknown policy %q", name)
		}
		list = append(list, p)
	}
	return list, nil
}

// Run executes all runs and returns their metrics.
func (m Experiment) Run() (Report, error) {
	count := len(m.Policies) * len(m.Seeds)
	jobs := make(chan int, count)
	for i := range count {
		jobs <- i
	}
	close(jobs)
	var done sync.WaitGroup
	runs, errs := make([]Metrics, count), make([]error, count)
	for range max(1, m.Workers) {
		w := worker{experiment: &m, jobs: jobs, runs: runs, errors: errs, done: &done}
		done.Add(1)
		go w.run()
	}
	done.Wait()
	for _, err := range errs {
		if err != nil {
			return Report{}, err
		}
	}
	q := m.Emulator.Questionnaire
	report := Report{Organisation: q.Organisation, Weighting: q.WeighsMore, Days: m.Emulator.Tracer.Days, Runs: runs}
	for i := range m.Policies {
		report.Means = append(report.Means, meanMetrics(runs[i*len(m.Seeds):(i+1)*len(m.Seeds)]))
	}
	return report, nil
}

func (w worker) run() {
	defer w.done.Done()
	seeds := w.experiment.Seeds
	for number := range w.jobs {
		policy := w.experiment.Policies[number/len(seeds)]
		w.runs[number], w.errors[number] = w.experiment.Emulator.Run(policy, seeds[number%len(seeds)])
	}
}

func findPolicy(policies []Policy, name string) (Policy, bool) {
	for _, p := range policies {
		if p.Name == name {
			return p, true
		}
	}
	text, ok := strings.CutPrefix(name, "keep-")
	if !ok {
		return Policy{}, false
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return Policy{}, false
	}
	return Policy{Name: name, Baseline: true, KeepAlive: fixedKeepAlive(d), EvictionScore: scoreLastUse}, true
}

// meanMetrics returns the means over the runs of one policy.
func meanMetrics(runs []Metrics) Metrics {
	n := len(runs)
	m := Metrics{Policy: runs[0].Policy, Baseline: runs[0].Baseline}
	for _, f := range runs {
		for i, sum := range m.integers() {
			*sum += *f.integers()[i]
		}
		for i, sum := range m.floats() {
			*sum += *f.floats()[i] / float64(n)
		}
	}
	for _, sum := range m.integers() {
		*sum = (*sum + n/2) / n
	}
	return m
}
