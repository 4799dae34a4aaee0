package prover_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"slices"
	"sort"
	"strings"

	"samphirewharf/internal/decision/planner"
	"samphirewharf/internal/standin/inferrer"
)

// A platformStatus is the part of the output of "samphirewharf status" that the commands use.
type platformStatus struct {
	ConfigurationVersion int64
	Daemons              []struct{ Daemon, Address string }
	Cells                []planner.Record
}

// A decision is the part of a placement decision's log entry that the commands use.
type decision struct{ Message, Cell, Action, Deployment string }

// matchingServers returns the names of the stand-in with this name, or of all stand-ins of the service with this name, sorted.
func (h *harness) matchingServers(name string) []string {
	var names []string
	for server := range h.servers {
		if server == name || strings.HasPrefix(server, name+"-") {
			names = append(names, server)
		}
	}
	sort.Strings(names)
	return names
}

// setFaults replaces the faults of a stand-in, or of all stand-ins of a service: faults NAME JSON.
func (h *harness) setFaults(args []string) error {
	if len(args) != 2 || len(h.matchingServers(args[0])) == 0 {
		return errors.New("usage: faults NAME JSON, where NAME is a stand-in or a service")
	}
	for _, name := range h.matchingServers(args[0]) {
		if err := h.ask([]string{name, "POST", "/stand-in/faults", "-d", args[1]}); err != nil {
			return err
		}
	}
	return nil
}

// compareCounts fails unless a count of a stand-in, or the sum over all stand-ins of a service, has a value:
// counts NAME FIELD VALUE. >VALUE means more than the value. TABLE/KEY is a field of a table; the count of a list
// is its length.
func (h *harness) compareCounts(args []string) error {
	if len(args) != 3 || len(h.matchingServers(args[0])) == 0 {
		return errors.New("usage: counts NAME FIELD VALUE, where NAME is a stand-in or a service")
	}
	var got float64
	for _, name := range h.matchingServers(args[0]) {
		n, err := h.count(name, args[1])
		if err != nil {
			return err
		}
		got += n
	}
	var want float64
	text, greater := strings.CutPrefix(args[2], ">")
	if _, err := fmt.Sscan(text, &want); err != nil {
		return fmt.Errorf("value %s: %w", args[2], err)
	}
	if greater && got > want || !greater && got == want {
		return nil
	}
	return fmt.Errorf("got %s of %s = %v, want %s", args[1], args[0], got, args[2])
}

func (h *harness) count(name, field string) (float64, error) {
	var counts map[string]any
	if err := h.readCounts(name, &counts); err != nil {
		return 0, err
	}
	table, key, nested := strings.Cut(field, "/")
	value, ok := counts[table]
	if !ok {
		return 0, fmt.Errorf("%s has no count %s", name, table)
	}
	if nested {
		value = value.(map[string]any)[key]
	}
	switch v := value.(type) {
	case nil:
		return 0, nil
	case []any:
		return float64(len(v)), nil
	case float64:
		return v, nil
	}
	return 0, fmt.Errorf("%s of %s is not a number", field, name)
}

func (h *harness) readCounts(name string, counts any) error {
	request, err := http.NewRequestWithContext(h.ctx, http.MethodGet, "http://"+h.servers[name]+"/stand-in/counts", http.NoBody)
	if err != nil {
		return err
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("counts of %s: %w", name, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("counts of %s: %w", name, err)
	}
	return json.Unmarshal(body, counts)
}

// status returns the output of "samphirewharf status".
func (h *harness) status() (platformStatus, error) {
	cmd := exec.CommandContext(h.ctx, "samphirewharf", "status", "--output", "json")
	cmd.Env = slices.Clone(h.vars)
	out, err := cmd.Output()
	if err != nil {
		return platformStatus{}, fmt.Errorf("samphirewharf status: %w", err)
	}
	var status platformStatus
	return status, json.Unmarshal(out, &status)
}

func (h *harness) record(cell string) (planner.Record, error) {
	status, err := h.status()
	if err != nil {
		return planner.Record{}, err
	}
	for _, record := range status.Cells {
		if record.Cell == cell {
			return record, nil
		}
	}
	return planner.Record{}, fmt.Errorf("cell %s has no record", cell)
}

// findPlacer sets $PLACER to the placer of a cell, $PLACER_ADDRESS to its address and $OTHERS to the other running
// daemons: placer CELL [not DAEMON]. It fails if the placer isn't running, or is the excluded daemon.
func (h *harness) findPlacer(args []string) error {
	if len(args) != 1 && (len(args) != 3 || args[1] != "not") {
		return errors.New("usage: placer CELL [not DAEMON]")
	}
	record, err := h.record(args[0])
	if err != nil {
		return err
	}
	if len(args) == 3 && args[2] == record.Placer {
		return fmt.Errorf("the placer is still %s", record.Placer)
	}
	if p, ok := h.processes[record.Placer]; !ok || !p.running() {
		return fmt.Errorf("the placer %q is not running", record.Placer)
	}
	h.setenv("PLACER", record.Placer)
	h.setenv("PLACER_ADDRESS", h.script.Getenv(record.Placer))
	h.setenv("OTHERS", strings.Join(h.daemonsExcept(record.Placer), ","))
	return nil
}

// daemonsExcept returns the running daemons except one, sorted.
func (h *harness) daemonsExcept(excluded string) []string {
	var names []string
	for name, p := range h.processes {
		if p.running() && name != excluded && h.script.Getenv(name) != "" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// registered fails unless exactly the given daemons are registered in the key-value service: registered NAME[,NAME]...
func (h *harness) registered(args []string) error {
	status, err := h.status()
	if err != nil {
		return err
	}
	var got []string
	for _, d := range status.Daemons {
		got = append(got, d.Daemon)
	}
	sort.Strings(got)
	want := strings.Split(strings.Join(args, ","), ",")
	sort.Strings(want)
	if !slices.Equal(got, want) {
		return fmt.Errorf("got the daemons %v, want %v", got, want)
	}
	return nil
}

// agree fails unless each engine of a cell holds as many replicas as are decided for it, engines started no more loads
// than the daemons logged decisions, no engine received an order that a correct placer never sends, and no deployment
// has more replicas than its limit: agree CELL.
func (h *harness) agree(args []string) error {
	if len(args) != 1 {
		return errors.New("usage: agree CELL")
	}
	record, err := h.record(args[0])
	if err != nil {
		return err
	}
	decided, replicas := make(map[string]int), make(map[string]int)
	for _, r := range record.Replicas {
		decided[r.Server]++
		replicas[r.Deployment]++
	}
	for name, n := range replicas {
		if d, ok := h.catalog.Deployment(name); ok && n > d.MaxReplicas {
			return fmt.Errorf("%d replicas of %s are decided, which is more than its limit", n, name)
		}
	}
	unstartedLoads := 0
	for _, d := range h.decisions() {
		if d.Cell == args[0] && (d.Action == "Load" || d.Action == "Preload") {
			unstartedLoads++
		}
	}
	for _, name := range h.matchingServers(args[0]) {
		var counts inferrer.Counts
		if err := h.readCounts(name, &counts); err != nil {
			return err
		}
		if len(counts.Violations) > 0 {
			return fmt.Errorf("%s received wrong orders: %v", name, counts.Violations)
		}
		if counts.Replicas != decided[name] {
			return fmt.Errorf("%s holds %d replicas, %d are decided", name, counts.Replicas, decided[name])
		}
		unstartedLoads -= int(counts.Loads)
	}
	if unstartedLoads < 0 {
		return fmt.Errorf("%d more loads were started than decided", -unstartedLoads)
	}
	return nil
}

// decided fails unless the daemons have logged a number of decisions with the given actions on a deployment:
// decided ACTION[,ACTION] DEPLOYMENT NUMBER.
func (h *harness) decided(args []string) error {
	if len(args) != 3 {
		return errors.New("usage: decided ACTION[,ACTION] DEPLOYMENT NUMBER")
	}
	actions := strings.Split(args[0], ",")
	got := 0
	for _, d := range h.decisions() {
		if slices.Contains(actions, d.Action) && d.Deployment == args[1] {
			got++
		}
	}
	if fmt.Sprint(got) != args[2] {
		return fmt.Errorf("got %d decisions, want %s", got, args[2])
	}
	return nil
}

// decisions returns the placement decisions that all daemons have logged, including ended processes.
func (h *harness) decisions() []decision {
	var decisions []decision
	for _, p := range h.started {
		for line := range strings.SplitSeq(p.stderr.String(), "\n") {
			var d decision
			if json.Unmarshal([]byte(line), &d) == nil && d.Message == "placement decided" {
				decisions = append(decisions, d)
			}
		}
	}
	return decisions
}

// lookup fails unless the address lookup of a deployment at a daemon returns exactly the given daemons:
// lookup DAEMON DEPLOYMENT NAME...
func (h *harness) lookup(args []string) error {
	if len(args) < 2 {
		return errors.New("usage: lookup DAEMON DEPLOYMENT [NAME ...]")
	}
	cmd := exec.CommandContext(h.ctx, "samphirewharf", "addresses", args[1], "--ask", h.script.Getenv(args[0]), "--output", "json")
	out, err := cmd.Output()
	if err != nil {
		return fmt.Errorf("samphirewharf addresses: %w", err)
	}
	var list struct{ Addresses []struct{ Address string } }
	if err := json.Unmarshal(out, &list); err != nil {
		return err
	}
	var got, want []string
	for _, a := range list.Addresses {
		got = append(got, a.Address)
	}
	for _, name := range args[2:] {
		want = append(want, h.script.Getenv(name))
	}
	sort.Strings(got)
	sort.Strings(want)
	if !slices.Equal(got, want) {
		return fmt.Errorf("got the addresses %v, want %v", got, want)
	}
	return nil
}
