package runner

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"samphirewharf/internal/config/versioner"
	"samphirewharf/internal/decision/planner"
	"samphirewharf/internal/decision/tracker"
	"samphirewharf/internal/external/storer"
)

// placementsPrefix is the key prefix of all placement records.
const placementsPrefix = "cells/"

// A statusCommand shows the daemons, placements and configuration version that the key-value service stores.
type statusCommand struct{}

// A status is the state read from the key-value service.
type status struct {
	ConfigurationVersion int64
	Operator             string
	Daemons              []daemonStatus
	Cells                []planner.Record
}

// A daemonStatus is one registered daemon.
type daemonStatus struct {
	Daemon  string
	Address string
	Zone    string
	Leaving bool
}

// Run prints the status.
func (c *statusCommand) Run(ctx context.Context, r *Runner) error {
	v, closeStore, err := r.openVersioner()
	if err != nil {
		return err
	}
	defer closeStore()
	s, err := readStatus(ctx, v)
	if err != nil {
		return err
	}
	return r.print(s, s.write)
}

func readStatus(ctx context.Context, v *versioner.Versioner) (status, error) {
	var s status
	history, err := v.History(ctx)
	if err != nil && !errors.Is(err, versioner.ErrNoConfiguration) {
		return status{}, err
	}
	if len(history) > 0 {
		s.ConfigurationVersion, s.Operator = history[0].Version, history[0].Operator
	}
	if err := s.readDaemons(ctx, v); err != nil {
		return status{}, err
	}
	return s, s.readCells(ctx, v)
}

func (s *status) readCells(ctx context.Context, v *versioner.Versioner) error {
	entries, result := v.Store.List(ctx, placementsPrefix)
	if result != storer.ResultOK && result != storer.ResultNotFound {
		return fmt.Errorf("reading placements: %w", versioner.ErrStoreUnavailable)
	}
	for _, e := range entries {
		record, err := planner.DecodeRecord(e.Value)
		if err != nil {
			return err
		}
		s.Cells = append(s.Cells, record)
	}
	return nil
}

func (s *status) readDaemons(ctx context.Context, v *versioner.Versioner) error {
	entries, result := v.Store.List(ctx, tracker.KeyPrefix)
	if result != storer.ResultOK && result != storer.ResultNotFound {
		return fmt.Errorf("reading daemons: %w", versioner.ErrStoreUnavailable)
	}
	for _, e := range entries {
		d, err := tracker.DecodeDaemon(e.Key, e.Value)
		if err != nil {
			return err
		}
		s.Daemons = append(s.Daemons, daemonStatus{Daemon: d.ID, Address: d.Address, Zone: d.Zone, Leaving: d.Leaving})
	}
	return nil
}

func (s status) write(w *strings.Builder) {
	fmt.Fprintf(w, "configuration version %d by %s\n\n", s.ConfigurationVersion, s.Operator)
	fmt.Fprintln(w, "DAEMON\tADDRESS\tZONE\tSTATE")
	for _, d := range s.Daemons {
		state := "serving"
		if d.Leaving {
			state = "leaving"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", d.Daemon, d.Address, d.Zone, state)
	}
	fmt.Fprintln(w, "\nCELL\tREPLICA\tDEPLOYMENT\tSERVER\tSTATE\tMEGABYTES")
	for _, c := range s.Cells {
		fmt.Fprintf(w, "%s\tplacer %s, fencing token %d\t\t\t\t\n", c.Cell, c.Placer, c.Fence)
		for _, replica := range c.Replicas {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\n",
				c.Cell, replica.ID, replica.Deployment, replica.Server, replica.State, replica.Bytes/1_000_000)
		}
	}
}
