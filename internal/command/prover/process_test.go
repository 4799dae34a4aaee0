package prover_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// logTailBytes is how many bytes of each process's output are logged when its script fails.
const logTailBytes = 6000

// A process is a process of the program that a script has started.
type process struct {
	name   string
	cmd    *exec.Cmd
	stdout output
	stderr output
	// exited is closed when the process has ended. err is set before that.
	exited chan struct{}
	err    error
}

// An output buffers the output of a process. It is safe for concurrent use.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// String returns the output so far.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// Write appends data to the output.
func (o *output) Write(data []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(data)
}

// wait waits for the end of the process.
func (p *process) wait() {
	p.err = p.cmd.Wait()
	close(p.exited)
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// tail returns the end of the output of the process.
func (p *process) tail() string {
	text := p.stdout.String() + p.stderr.String()
	return text[max(0, len(text)-logTailBytes):]
}

// start starts a process and waits until it reports that it is ready: start NAME ARGUMENT...
// For a daemon it sets $NAME to the address. For stand-ins it sets $STORE, $HOSTS and the program's environment
// variables to the addresses of the key-value service and the host list.
func (h *harness) start(args []string) error {
	if len(args) < 2 {
		return errors.New("usage: start NAME [ARGUMENT ...]")
	}
	if old, ok := h.processes[args[0]]; ok && old.running() {
		return fmt.Errorf("%s is already running", args[0])
	}
	p := &process{name: args[0], cmd: exec.Command("samphirewharf", args[1:]...), exited: make(chan struct{})}
	p.cmd.Dir = h.workDir
	p.cmd.Env = slices.Clone(h.vars)
	p.cmd.Stdout, p.cmd.Stderr = &p.stdout, &p.stderr
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	h.processes[p.name] = p
	h.started = append(h.started, p)
	go p.wait()
	if args[1] == "standin" {
		return h.awaitStandIns(p)
	}
	return h.awaitDaemon(p)
}

func (h *harness) awaitDaemon(p *process) error {
	return h.await("ready line of "+p.name, func() error {
		for line := range strings.SplitSeq(p.stderr.String(), "\n") {
			var entry struct{ Address, Message string }
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Message == "serving" {
				h.setenv(p.name, entry.Address)
				return nil
			}
		}
		return p.notReady()
	})
}

func (h *harness) awaitStandIns(p *process) error {
	err := h.await("ready line of "+p.name, func() error {
		if strings.HasSuffix(p.stdout.String(), "ready\n") {
			return nil
		}
		return p.notReady()
	})
	for line := range strings.SplitSeq(p.stdout.String(), "\n") {
		switch f := strings.Fields(line); {
		case len(f) == 2 && f[0] == "KeyValueService":
			h.setenv("STORE", f[1])
			h.setenv("SAMPHIREWHARF_STORE_ADDRESS", f[1])
			h.servers["store"] = f[1]
		case len(f) == 2 && f[0] == "HostList":
			h.setenv("HOSTS", f[1])
			h.setenv("SAMPHIREWHARF_HOSTS_ADDRESS", f[1])
			h.servers["hosts"] = f[1]
		case len(f) == 5 && f[0] == "Server":
			h.servers[f[1]] = f[4]
		}
	}
	return err
}

func (p *process) notReady() error {
	if !p.running() {
		return errProcessEnded
	}
	return errors.New("not ready yet")
}

// errProcessEnded makes await stop, because the process it waits for has ended.
var errProcessEnded = errors.New("process ended")

// await polls a condition until it holds, the process has ended or the script times out.
func (h *harness) await(subject string, holds func() error) error {
	for {
		err := holds()
		if err == nil {
			return nil
		}
		select {
		case <-h.ctx.Done():
			return fmt.Errorf("wait for %s: %w", subject, err)
		case <-time.After(pollInterval):
		}
		if errors.Is(err, errProcessEnded) {
			return fmt.Errorf("wait for %s: %w", subject, err)
		}
	}
}

// until repeats a command until it succeeds, or with "!" until it fails: until [!] COMMAND ARGUMENT...
func (h *harness) until(args []string) error {
	fails := len(args) > 0 && args[0] == "!"
	if fails {
		args = args[1:]
	}
	if len(args) == 0 || commands()[args[0]] == nil {
		return errors.New("usage: until [!] COMMAND [ARGUMENT ...]")
	}
	command := commands()[args[0]]
	return h.await(strings.Join(args, " "), func() error {
		err := command(h, args[1:])
		if fails && err == nil {
			return errors.New("it still succeeds")
		}
		if fails {
			return nil
		}
		return err
	})
}

// freeze suspends processes: freeze NAME...
func (h *harness) freeze(args []string) error { return h.signal(args, syscall.SIGSTOP) }

// thaw resumes suspended processes: thaw NAME...
func (h *harness) thaw(args []string) error { return h.signal(args, syscall.SIGCONT) }

// sigkill kills processes and waits for their end: sigkill NAME...
func (h *harness) sigkill(args []string) error {
	if err := h.signal(args, syscall.SIGKILL); err != nil {
		return err
	}
	for _, name := range args {
		<-h.processes[name].exited
	}
	return nil
}

// shutdown starts a planned stop of processes and waits until they exit with code 0: shutdown NAME...
func (h *harness) shutdown(args []string) error {
	if err := h.signal(args, syscall.SIGTERM); err != nil {
		return err
	}
	for _, name := range args {
		p := h.processes[name]
		select {
		case <-p.exited:
		case <-h.ctx.Done():
			return fmt.Errorf("wait for the end of %s: %w", name, h.ctx.Err())
		}
		if p.err != nil {
			return fmt.Errorf("end of %s: %w", name, p.err)
		}
	}
	return nil
}

func (h *harness) signal(names []string, signal syscall.Signal) error {
	if len(names) == 0 {
		return errors.New("usage: freeze|thaw|sigkill|shutdown [NAME ...]")
	}
	for _, name := range names {
		p, ok := h.processes[name]
		if !ok || !p.running() {
			return fmt.Errorf("%s is not running", name)
		}
		if err := p.cmd.Process.Signal(signal); err != nil {
			return fmt.Errorf("signal %s: %w", name, err)
		}
	}
	return nil
}

// logged fails unless the output of a process contains a text: logged NAME TEXT.
func (h *harness) logged(args []string) error {
	if len(args) != 2 || h.processes[args[0]] == nil {
		return errors.New("usage: logged NAME TEXT")
	}
	p := h.processes[args[0]]
	if !strings.Contains(p.stdout.String()+p.stderr.String(), args[1]) {
		return fmt.Errorf("%s did not write %q", args[0], args[1])
	}
	return nil
}

// which sets a variable to the name of the only process whose output contains a text: which VARIABLE TEXT.
func (h *harness) which(args []string) error {
	if len(args) != 2 {
		return errors.New("usage: which VARIABLE TEXT")
	}
	var names []string
	for name := range h.processes {
		if h.logged([]string{name, args[1]}) == nil {
			names = append(names, name)
		}
	}
	if len(names) != 1 {
		return fmt.Errorf("%v wrote %q, want one process", names, args[1])
	}
	h.setenv(args[0], names[0])
	return nil
}

// exits runs the program and fails unless it exits with a code: exits CODE ARGUMENT...
func (h *harness) exits(args []string) error {
	if len(args) < 2 {
		return errors.New("usage: exits CODE [ARGUMENT ...]")
	}
	got := 0
	if err := h.script.Exec("samphirewharf", args[1:]...); err != nil {
		var exit *exec.ExitError
		if !errors.As(err, &exit) {
			return err
		}
		got = exit.ExitCode()
	}
	if fmt.Sprint(got) != args[0] {
		return fmt.Errorf("got exit code %d, want %s", got, args[0])
	}
	return nil
}

// edit copies a file and replaces the first occurrence of a text in the copy: edit FILE OLD NEW COPY. \n stands for
// a line break.
func (h *harness) edit(args []string) error {
	if len(args) != 4 {
		return errors.New("usage: edit FILE OLD NEW COPY")
	}
	text := h.script.ReadFile(args[0])
	old, replacement := strings.ReplaceAll(args[1], `\n`, "\n"), strings.ReplaceAll(args[2], `\n`, "\n")
	if !strings.Contains(text, old) {
		return fmt.Errorf("%s does not contain %q", args[0], old)
	}
	text = strings.Replace(text, old, replacement, 1)
	return os.WriteFile(h.script.MkAbs(args[3]), []byte(text), 0o600)
}

// endProcesses kills the processes that still run. It reports data races, and processes that exited with a failure.
func (h *harness) endProcesses(report func(...any)) {
	var faults []string
	for _, p := range h.started {
		if p.running() {
			_ = p.cmd.Process.Kill()
			<-p.exited
		} else if code := p.cmd.ProcessState.ExitCode(); code > 0 {
			faults = append(faults, fmt.Sprintf("%s ended with code %d:\n%s", p.name, code, p.tail()))
		}
		if strings.Contains(p.stderr.String(), "DATA RACE") {
			faults = append(faults, fmt.Sprintf("%s has a data race:\n%s", p.name, p.tail()))
		}
	}
	if len(faults) > 0 {
		report(strings.Join(faults, "\n"))
	}
}

// logProcesses logs the end of each process's output, and all placement decisions.
func (h *harness) logProcesses(logf func(string, ...any)) {
	var decisions []string
	for _, p := range h.started {
		logf("-- end of the output of %s --\n%s", p.name, p.tail())
		for line := range strings.SplitSeq(p.stderr.String(), "\n") {
			if strings.Contains(line, `"placement decided"`) {
				decisions = append(decisions, line)
			}
		}
	}
	slices.Sort(decisions)
	logf("-- placement decisions --\n%s", strings.Join(decisions, "\n"))
}
