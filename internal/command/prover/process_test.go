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

// logTail is how many bytes of each process's output are logged when its script fails.
const logTail = 6000

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

// run waits for the end of the process.
func (p *process) run() {
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
	return text[max(0, len(text)-logTail):]
}

// start starts a process and waits until it reports that it is ready: start NAME ARGUMENT...
// For a daemon it sets $NAME to the address. For stand-ins it sets $STORE, $HOSTS and the program's environment
// variables to the addresses of the key-value service and the host list.
func (s *stage) start(args []string) error {
	if len(args) < 2 {
		return errors.New("usage: start NAME [ARGUMENT ...]")
	}
	if old, ok := s.processes[args[0]]; ok && old.running() {
		return fmt.Errorf("%s is already running", args[0])
	}
	p := &process{name: args[0], cmd: exec.Command("samphirewharf", args[1:]...), exited: make(chan struct{})}
	p.cmd.Dir = s.workDir
	p.cmd.Env = slices.Clone(s.vars)
	p.cmd.Stdout, p.cmd.Stderr = &p.stdout, &p.stderr
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	s.processes[p.name] = p
	s.started = append(s.started, p)
	go p.run()
	if args[1] == "standin" {
		return s.awaitStandIns(p)
	}
	return s.awaitDaemon(p)
}

func (s *stage) awaitDaemon(p *process) error {
	return s.await("ready line of "+p.name, func() error {
		for line := range strings.SplitSeq(p.stderr.String(), "\n") {
			var entry struct{ Address, Message string }
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Message == "serving" {
				s.setenv(p.name, entry.Address)
				return nil
			}
		}
		return p.notReady()
	})
}

func (s *stage) awaitStandIns(p *process) error {
	err := s.await("ready line of "+p.name, func() error {
		if strings.HasSuffix(p.stdout.String(), "ready\n") {
			return nil
		}
		return p.notReady()
	})
	for line := range strings.SplitSeq(p.stdout.String(), "\n") {
		switch f := strings.Fields(line); {
		case len(f) == 2 && f[0] == "KeyValueService":
			s.setenv("STORE", f[1])
			s.setenv("SAMPHIREWHARF_STORE_ADDRESS", f[1])
			s.servers["store"] = f[1]
		case len(f) == 2 && f[0] == "HostList":
			s.setenv("HOSTS", f[1])
			s.setenv("SAMPHIREWHARF_HOSTS_ADDRESS", f[1])
			s.servers["hosts"] = f[1]
		case len(f) == 5 && f[0] == "Server":
			s.servers[f[1]] = f[4]
		}
	}
	return err
}

func (p *process) notReady() error {
	if !p.running() {
		return errEnded
	}
	return errors.New("not ready yet")
}

// errEnded makes await stop, because the process it waits for has ended.
var errEnded = errors.New("process ended")

// await polls a condition until it holds, the process has ended or the script times out.
func (s *stage) await(subject string, holds func() error) error {
	for {
		err := holds()
		if err == nil {
			return nil
		}
		select {
		case <-s.ctx.Done():
			return fmt.Errorf("wait for %s: %w", subject, err)
		case <-time.After(pollInterval):
		}
		if errors.Is(err, errEnded) {
			return fmt.Errorf("wait for %s: %w", subject, err)
		}
	}
}

// until repeats a command until it succeeds, or with "!" until it fails: until [!] COMMAND ARGUMENT...
func (s *stage) until(args []string) error {
	fails := len(args) > 0 && args[0] == "!"
	if fails {
		args = args[1:]
	}
	if len(args) == 0 || commands()[args[0]] == nil {
		return errors.New("usage: until [!] COMMAND [ARGUMENT ...]")
	}
	command := commands()[args[0]]
	return s.await(strings.Join(args, " "), func() error {
		err := command(s, args[1:])
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
func (s *stage) freeze(args []string) error { return s.signal(args, syscall.SIGSTOP) }

// thaw resumes suspended processes: thaw NAME...
func (s *stage) thaw(args []string) error { return s.signal(args, syscall.SIGCONT) }

// sigkill kills processes and waits for their end: sigkill NAME...
func (s *stage) sigkill(args []string) error {
	if err := s.signal(args, syscall.SIGKILL); err != nil {
		return err
	}
	for _, name := range args {
		<-s.processes[name].exited
	}
	return nil
}

// shutdown starts a planned stop of processes and waits until they exit with code 0: shutdown NAME...
func (s *stage) shutdown(args []string) error {
	if err := s.signal(args, syscall.SIGTERM); err != nil {
		return err
	}
	for _, name := range args {
		p := s.processes[name]
		select {
		case <-p.exited:
		case <-s.ctx.Done():
			return fmt.Errorf("wait for the end of %s: %w", name, s.ctx.Err())
		}
		if p.err != nil {
			return fmt.Errorf("end of %s: %w", name, p.err)
		}
	}
	return nil
}

func (s *stage) signal(names []string, signal syscall.Signal) error {
	if len(names) == 0 {
		return errors.New("usage: freeze|thaw|sigkill|shutdown [NAME ...]")
	}
	for _, name := range names {
		p, ok := s.processes[name]
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
func (s *stage) logged(args []string) error {
	if len(args) != 2 || s.processes[args[0]] == nil {
		return errors.New("usage: logged NAME TEXT")
	}
	p := s.processes[args[0]]
	if !strings.Contains(p.stdout.String()+p.stderr.String(), args[1]) {
		return fmt.Errorf("%s did not write %q", args[0], args[1])
	}
	return nil
}

// which sets a variable to the name of the only process whose output contains a text: which VARIABLE TEXT.
func (s *stage) which(args []string) error {
	if len(args) != 2 {
		return errors.New("usage: which VARIABLE TEXT")
	}
	var names []string
	for name := range s.processes {
		if s.logged([]string{name, args[1]}) == nil {
			names = append(names, name)
		}
	}
	if len(names) != 1 {
		return fmt.Errorf("%v wrote %q, want one process", names, args[1])
	}
	s.setenv(args[0], names[0])
	return nil
}

// exits runs the program and fails unless it exits with a code: exits CODE ARGUMENT...
func (s *stage) exits(args []string) error {
	if len(args) < 2 {
		return errors.New("usage: exits CODE [ARGUMENT ...]")
	}
	got := 0
	if err := s.script.Exec("samphirewharf", args[1:]...); err != nil {
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
func (s *stage) edit(args []string) error {
	if len(args) != 4 {
		return errors.New("usage: edit FILE OLD NEW COPY")
	}
	text := s.script.ReadFile(args[0])
	old, replacement := strings.ReplaceAll(args[1], `\n`, "\n"), strings.ReplaceAll(args[2], `\n`, "\n")
	if !strings.Contains(text, old) {
		return fmt.Errorf("%s does not contain %q", args[0], old)
	}
	text = strings.Replace(text, old, replacement, 1)
	return os.WriteFile(s.script.MkAbs(args[3]), []byte(text), 0o600)
}

// endProcesses kills the processes that still run. It reports data races, and processes that exited with a failure.
func (s *stage) endProcesses(report func(...any)) {
	var faults []string
	for _, p := range s.started {
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
func (s *stage) logProcesses(logf func(string, ...any)) {
	var decisions []string
	for _, p := range s.started {
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
