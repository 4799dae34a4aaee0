// Command harness shows cases of the review: it runs daemons as separate processes before stand-ins of the store and the servers,
// sends them requests and checks one rule. It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// A trial is the surroundings of one case.
type trial struct {
	folder  string
	record  *os.File
	trouble bool
	store   *store
	ledger  *ledger
	daemons []*daemon
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() { os.Exit(execute()) }

func execute() int {
	cases := map[string]func(*trial) (int, error){"configuration": runConfiguration, "leaders": runLeaders, "versions": runVersions}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		return exitFailed
	}
	t, err := newTrial(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer t.end()
	code, err := cases[os.Args[1]](t)
	if err != nil {
		t.note("the case couldn't run: %v", err)
		return exitFailed
	}
	return code
}

// newTrial starts the store and opens the record in the folder of the case.
func newTrial(folder string) (*trial, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	t := &trial{record: record, trouble: os.Getenv("TROUBLE") != "0", ledger: &ledger{runs: make(map[string][]run)}}
	if t.folder, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if t.store, err = newStore(); err != nil {
		return nil, err
	}
	t.note("disruption: %v", t.trouble)
	return t, nil
}

// end ends all processes of the trial.
func (t *trial) end() {
	for _, d := range t.daemons {
		d.kill()
	}
	_ = os.RemoveAll(t.folder)
	_ = t.record.Close()
}

// note writes a line to the record and to standard output.
func (t *trial) note(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	fmt.Println(line)
	_, _ = fmt.Fprintln(t.record, line)
}
