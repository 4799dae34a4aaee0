package prover_test

import (
	"fmt"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/external/lister"
)

// settleTimeout bounds the time until the world is idle once all faults are healed.
const settleTimeout = 3 * time.Minute

// commands are the commands of the test language, which both the scripts and the fuzzer use.
var commands = map[string]func(w *World, args []string) error{
	"send":          (*World).doSend,
	"burst":         (*World).doBurst,
	"hang-up":       (*World).doHangUp,
	"pause":         onProcess((*process).freeze),
	"resume":        onProcess((*process).resume),
	"crash":         onProcess((*process).crash),
	"shutdown":      onProcess((*process).shutdown),
	"restart":       (*World).doRestart,
	"freeze-at":     onProcess(func(p *process) { p.freezeAfterCheck = true }),
	"freeze-before": onProcess(func(p *process) { p.freezeBeforeCheck = true }),
	"break":         onServer((*server).crash),
	"mend":          onServer((*server).restart),
	"leave":         onServer(func(s *server) { s.changeState(lister.HostLeaving) }),
	"stay":          onServer(func(s *server) { s.changeState(lister.HostLive) }),
	"reclaim":       onServer(func(s *server) { s.setState(""); s.crash() }),
	"cut":           (*World).doCut,
	"heal":          (*World).doHeal,
	"store":         (*World).doStore,
	"hosts":         (*World).doHosts,
	"set":           (*World).doSet,
	"configure":     (*World).doConfigure,
	"advance":       (*World).doAdvance,
	"until":         (*World).doUntil,
	"settle":        (*World).doSettle,
	"expect":        (*World).doExpect,
}

// do executes a command.
func (w *World) do(args []string) error {
	command, ok := commands[args[0]]
	if !ok {
		return fmt.Errorf("unknown command %q", args[0])
	}
	w.logf("# %s", strings.Join(args, " "))
	if err := command(w, args[1:]); err != nil {
		return err
	}
	w.oracle.check()
	if w.oracle.failed() {
		return fmt.Errorf("violated: %s", strings.Join(w.oracle.violations, "; "))
	}
	return nil
}

func onProcess(act func(p *process)) func(w *World, args []string) error {
	return func(w *World, args []string) error {
		for _, name := range args {
			p := w.process(w.daemon(name))
			if p == nil {
				return fmt.Errorf("no daemon %q", name)
			}
			if !p.dead {
				act(p)
			}
		}
		return nil
	}
}

// daemon returns the name of a daemon: "placer" stands for the placer, "other" for another one that runs.
func (w *World) daemon(word string) string {
	switch placer := w.oracle.record.Placer; word {
	case "placer":
		return placer
	case "other":
		for _, p := range w.liveProcesses() {
			if p.name != placer && !p.frozen {
				return p.name
			}
		}
	}
	return word
}

func onServer(act func(s *server)) func(w *World, args []string) error {
	return func(w *World, args []string) error {
		for _, name := range args {
			s := w.servers[name]
			if s == nil {
				return fmt.Errorf("no server %q", name)
			}
			act(s)
		}
		return nil
	}
}

func (p *process) shutdown() { p.deliver(func() { p.step(reducer.StopRequested{}) }) }

// changeState changes the state of a host. A reclaimed host stays reclaimed.
func (s *server) changeState(state lister.HostState) {
	if !s.reclaimed() {
		s.setState(state)
	}
}

func (w *World) doSend(args []string) error {
	if len(args) < 3 {
		return fmt.Errorf("usage: send NAME DAEMON TARGET [urgent] [stream] [poison] [key=K] [body=B] [timeout=D]")
	}
	c := &call{name: args[0], daemon: w.daemon(args[1]), target: args[2], method: "POST", body: args[0]}
	if service, below, ok := strings.Cut(args[2], "/"); ok {
		c.plain, c.target, c.path = true, service, "/"+below
		if below != "bookings" {
			c.method = "GET"
		}
	}
	for _, arg := range args[3:] {
		name, value, _ := strings.Cut(arg, "=")
		switch name {
		case "urgent":
			c.urgent = true
		case "stream":
			c.stream = true
		case "poison":
			c.poison, c.body = true, "poison"
		case "key":
			c.key, c.body = value, value
		case "body":
			c.body = value
		case "timeout":
			c.timeout, _ = time.ParseDuration(value)
		}
	}
	if w.calls[c.name] != nil {
		return fmt.Errorf("%s is already sent", c.name)
	}
	w.send(c)
	return nil
}

// doBurst sends many requests, to the daemons in turn.
func (w *World) doBurst(args []string) error {
	count, err := strconv.Atoi(args[1])
	for i := range count {
		daemon := w.daemons[i%len(w.daemons)]
		if err := w.doSend(append([]string{fmt.Sprintf("%s-%d", args[0], i+1), daemon}, args[2:]...)); err != nil {
			return err
		}
	}
	return err
}

func (w *World) doHangUp(args []string) error {
	if c := w.calls[args[0]]; c != nil && c.x != nil && c.outcome == "" {
		c.x.p.deliver(c.x.disconnect)
	}
	return nil
}

func (w *World) doRestart(args []string) error {
	for _, word := range args {
		name := w.daemon(word)
		if p := w.process(name); p != nil && !p.dead {
			p.crash()
		}
		w.startDaemon(name)
	}
	return nil
}

func (w *World) doCut(args []string) error {
	w.cutLinks[pair(args[0], args[1])] = true
	return nil
}

func (w *World) doHeal(args []string) error {
	if len(args) == 2 {
		delete(w.cutLinks, pair(args[0], args[1]))
		return nil
	}
	clear(w.cutLinks)
	return nil
}

func (w *World) doStore(args []string) error {
	s := w.store
	switch args[0] {
	case "up":
		s.down, s.slow = false, 0
		s.expire()
	case "down":
		s.down = true
		for _, p := range w.liveProcesses() {
			for _, prefix := range sortedKeys(p.watches) {
				p.watches[prefix].interrupt()
			}
		}
	case "slow":
		s.slow, _ = time.ParseDuration(args[1])
	case "lose":
		s.loseAnswerPrefix = args[1]
	default:
		return fmt.Errorf("usage: store up|down|slow D|lose PREFIX")
	}
	return nil
}

func (w *World) doHosts(args []string) (err error) {
	switch args[0] {
	case "up":
		w.hostsDown = false
	case "down":
		w.hostsDown = true
	case "lag":
		w.hostLag, err = time.ParseDuration(args[1])
	}
	return err
}

// doSet changes a setting, mostly a fault: set order-delay 5s, set loss 20, and so on.
func (w *World) doSet(args []string) (err error) {
	times := map[string]*time.Duration{
		"order-delay": &w.orderDelay, "lateness": &w.peerDelay, "load-lag": &w.reportLag, "service-time": &w.serviceTime,
	}
	numbers := map[string]*int{"order-loss": &w.orderLoss, "loss": &w.peerLoss, "duplicates": &w.peerDuplicates, "cut-answers": &w.cutAnswers}
	switch {
	case times[args[0]] != nil:
		*times[args[0]], err = time.ParseDuration(args[1])
	case numbers[args[0]] != nil:
		*numbers[args[0]], err = strconv.Atoi(args[1])
	case args[0] == "forget-fences":
		w.forgetFences = args[1] == "on"
	case args[0] == "load-factor":
		factor, _ := strconv.Atoi(args[1])
		w.loadFactor = time.Duration(factor)
	default:
		return fmt.Errorf("unknown setting %q", args[0])
	}
	return err
}

func (w *World) doConfigure(args []string) error {
	for _, operator := range args {
		w.configure(operator)
	}
	return nil
}

func (w *World) doAdvance(args []string) error {
	d, err := time.ParseDuration(args[0])
	w.advance(d)
	return err
}

// doUntil runs events until an expectation holds.
func (w *World) doUntil(args []string) error {
	limit, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	if !w.until(limit, func() bool { return w.doExpect(args[1:]) == nil }) {
		return fmt.Errorf("not within %v: %w", limit, w.doExpect(args[1:]))
	}
	return nil
}

// configurationMayLag reports whether a fault may keep daemons from receiving a configuration.
func (w *World) configurationMayLag() bool {
	return w.store.down || w.store.slow > 0 || len(w.cutLinks) > 0 || w.peerLoss > 0
}

// doSettle heals all faults and waits until the world is idle.
func (w *World) doSettle([]string) error {
	clear(w.cutLinks)
	_ = w.doStore([]string{"up"})
	w.hostsDown, w.hostLag = false, 500*time.Millisecond
	w.orderDelay, w.orderLoss, w.peerLoss, w.peerDuplicates, w.peerDelay, w.cutAnswers = 0, 0, 0, 0, 0, 0
	w.loadFactor = 1
	for _, name := range w.daemons {
		w.process(name).freezeAfterCheck = false
		w.process(name).freezeBeforeCheck = false
		w.process(name).resume()
	}
	for _, name := range w.serverNames {
		w.servers[name].restart()
	}
	w.restartDead()
	w.until(settleTimeout/6, func() bool { return w.pendingWork() == "" })
	// Planned stops have ended by now, so daemons that were stopping are replaced too.
	w.restartDead()
	if !w.until(settleTimeout, func() bool { return w.pendingWork() == "" }) && !w.oracle.failed() {
		return fmt.Errorf("not idle: %s", w.pendingWork())
	}
	return nil
}

// restartDead restarts the daemons whose process has ended.
func (w *World) restartDead() {
	for _, name := range w.daemons {
		if w.process(name).dead {
			w.startDaemon(name)
		}
	}
}

// pendingWork describes something that is not idle, or returns "" if all is.
func (w *World) pendingWork() string {
	for _, c := range w.callOrder {
		if c.outcome == "" {
			return c.name + " has no answer yet"
		}
	}
	for _, p := range w.liveProcesses() {
		if len(p.exchanges) > 0 {
			return fmt.Sprintf("%s has %d open requests", p.name, len(p.exchanges))
		}
	}
	for _, name := range w.serverNames {
		if s := w.servers[name]; len(s.replicas) > 0 {
			return fmt.Sprintf("%s holds %s", name, s.replicas[0].order.Replica)
		}
	}
	for _, r := range w.oracle.record.Replicas {
		return fmt.Sprintf("%s is reserved at %s", r.ID, r.Server)
	}
	return ""
}

func (w *World) doExpect(args []string) error {
	switch args[0] {
	case "loads":
		return compare(args, w.oracle.loads[args[1]], args[2])
	case "runs":
		return compare(args, w.oracle.runs[args[1]], args[2])
	case "key":
		return compare(args, len(w.oracle.keyRuns[args[1]]), args[2])
	case "writes":
		return compare(args, w.store.writes[args[1]], args[2])
	case "take-overs":
		return compare(args, w.oracle.takeOvers, args[1])
	case "peak":
		return compare(args, w.peak(args[1]), args[2])
	case "crashes":
		return compare(args, w.oracle.crashes, args[1])
	case "version":
		return compare(args, int(w.oracle.versions[args[1]]), args[2])
	case "holds":
		return compare(args, w.replicaCount(args[1]), args[2])
	case "retries":
		return compare(args, w.retries(), args[1])
	case "stopped":
		if p := w.process(args[1]); p == nil || !p.dead {
			return fmt.Errorf("expect %s: it is running", strings.Join(args, " "))
		}
		return nil
	case "placer":
		if got := w.oracle.record.Placer; got != args[1] {
			return fmt.Errorf("expect %s: got %q", strings.Join(args, " "), got)
		}
		return nil
	default:
		return w.expectCalls(args)
	}
}

// replicaCount counts the replicas of a deployment, or of all deployments with "all", in any state.
func (w *World) replicaCount(deployment string) (count int) {
	for _, s := range w.servers {
		for _, r := range s.replicas {
			if deployment == "all" || r.order.Deployment == deployment {
				count++
			}
		}
	}
	return count
}

// peak returns the most requests that ran at once at one replica of a deployment since the last call, and resets it.
func (w *World) peak(deployment string) (peak int) {
	for _, s := range w.servers {
		for _, r := range s.replicas {
			if r.order.Deployment == deployment {
				peak = max(peak, r.peak)
				r.peak = 0
			}
		}
	}
	return peak
}

// retries returns the number of runs beyond the first of each call, as a percentage of all calls.
func (w *World) retries() int {
	extra := 0
	for _, runs := range w.oracle.runs {
		extra += max(0, runs-1)
	}
	return extra * 100 / max(1, len(w.calls))
}

// compare checks a number against "3", "<=3" or ">=3".
func compare(args []string, got int, want string) error {
	limit, err := strconv.Atoi(strings.TrimLeft(want, "<>="))
	if err != nil {
		return err
	}
	ok := got == limit
	switch {
	case strings.HasPrefix(want, "<="):
		ok = got <= limit
	case strings.HasPrefix(want, ">="):
		ok = got >= limit
	}
	if !ok {
		return fmt.Errorf("expect %s: got %d", strings.Join(args, " "), got)
	}
	return nil
}

// expectCalls checks that each call whose name matches the pattern has one of the given outcomes or refusal codes,
// or is "answered", "waiting" or refused as "not-run".
func (w *World) expectCalls(args []string) error {
	matched := false
	for _, c := range w.callOrder {
		if ok, _ := path.Match(args[0], c.name); !ok {
			continue
		}
		matched = true
		words := []string{c.outcome, c.refusal.Code.String()}
		if c.outcome == "" {
			words = []string{"waiting"}
		} else {
			words = append(words, "answered")
		}
		if c.outcome == "refused" && c.refusal.Ran == refuser.NotRun {
			words = append(words, "not-run")
		}
		if !slices.ContainsFunc(args[1:], func(want string) bool { return slices.Contains(words, want) }) {
			return fmt.Errorf("expect %s: got %s of %s", strings.Join(args, " "), strings.Join(words, " "), c.name)
		}
	}
	if !matched {
		return fmt.Errorf("expect %s: no such call", strings.Join(args, " "))
	}
	return nil
}
