package emulator

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"samphirewharf/internal/config/cataloger"
)

// A Experiment runs several policies on the same traces.
type Experiment struct {
	Emulator Emulator
	Policies []Policy
	Seeds    []uint64
	// Workers is how many runs go at once; below 1 means one.
	Workers int
}

// A Report is the figures of a Measurement.
type Report struct {
	Organisation string
	Weighting    cataloger.Weighting
	Days         int
	// Runs are the figures of each policy and seed, ordered as asked for.
	Runs []Metrics
	// Means are the means over the seeds, one for each policy; Max is the maximum instead.
	Means []Metrics
}

// A worker makes the runs that it is given.
type worker struct {
	measurement *Experiment
	jobs        <-chan int
	runs        []Metrics
	errors      []error
	done        *sync.WaitGroup
}

// ParsePolicies returns the policies with the names, all if there is none. The name keep-DURATION is a
// baseline with that keep-alive.
func ParsePolicies(names []string) ([]Policy, error) {
	known := Policies()
	if len(names) == 0 {
		return known, nil
	}
	var list []Policy
	for _, name := range names {
		p, ok := find(known, name)
		if !ok {
			return nil, fmt.Errorf("unknown policy %q", name)
		}
		list = append(list, p)
	}
	return list, nil
}

// Run makes all runs and returns their figures.
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
		w := worker{measurement: &m, jobs: jobs, runs: runs, errors: errs, done: &done}
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
		report.Means = append(report.Means, mean(runs[i*len(m.Seeds):(i+1)*len(m.Seeds)]))
	}
	return report, nil
}

func (w worker) run() {
	defer w.done.Done()
	seeds := w.measurement.Seeds
	for i := range w.jobs {
		policy := w.measurement.Policies[i/len(seeds)]
		w.runs[i], w.errors[i] = w.measurement.Emulator.Run(policy, seeds[i%len(seeds)])
	}
}

func find(known []Policy, name string) (Policy, bool) {
	for _, p := range known {
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
	return Policy{Name: name, Baseline: true, KeepAlive: keep(d), EvictionScore: leastRecent}, true
}

// mean returns the means of the runs of one policy.
func mean(runs []Metrics) Metrics {
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
