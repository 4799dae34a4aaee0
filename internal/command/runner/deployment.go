package runner

import (
	"context"
	"fmt"
	"strings"

	"samphirewharf/internal/config/cataloger"
)

const bytesPerGigabyte = 1e9

// A deploymentCommand groups the subcommands that show deployments.
type deploymentCommand struct {
	List deploymentListCommand `cmd:"" help:"List the deployments."`
	Show deploymentShowCommand `cmd:"" help:"Show one deployment."`
}

type deploymentListCommand struct {
	Service string `help:"Only the deployments of this service."`
}

// Run prints the deployments in the order of the questionnaire.
func (c deploymentListCommand) Run(ctx context.Context, r *Runner) error {
	snapshot, err := r.fetch(ctx, 0)
	if err != nil {
		return err
	}
	deployments := []cataloger.Deployment{}
	for _, d := range snapshot.Configuration.Deployments {
		if c.Service == "" || d.Service == c.Service {
			deployments = append(deployments, d)
		}
	}
	return r.print(deployments, func(w *strings.Builder) {
		fmt.Fprintln(w, "NAME\tSERVICE\tVERSION\tGB\tLOAD\tMAX REPLICAS\tADAPTERS")
		for _, d := range deployments {
			fmt.Fprintf(w, "%s\t%s\t%s\t%g\t%v\t%d\t%d\n", d.Name, d.Service, d.ModelVersion,
				float64(d.Bytes)/bytesPerGigabyte, d.Load.D(), d.MaxReplicas, len(d.Adapters))
		}
	})
}

type deploymentShowCommand struct {
	Name string `arg:"" help:"The name of a deployment, or of one of its adapters."`
}

// Run prints one deployment.
func (c deploymentShowCommand) Run(ctx context.Context, r *Runner) error {
	snapshot, err := r.fetch(ctx, 0)
	if err != nil {
		return err
	}
	target, ok := cataloger.NewCatalog(snapshot.Configuration).Target(c.Name)
	if !ok {
		return fmt.Errorf("reading deployment %s: %w in version %d", c.Name, errNotFound, snapshot.Change.Version)
	}
	d := *target.Deployment
	return r.print(d, func(w *strings.Builder) {
		fmt.Fprintf(w, "Name\t%s\n", d.Name)
		fmt.Fprintf(w, "Service\t%s\n", d.Service)
		fmt.Fprintf(w, "ModelVersion\t%s\n", d.ModelVersion)
		fmt.Fprintf(w, "Memory\t%g GB, %d adapter slots included\n", float64(d.ReplicaBytes())/bytesPerGigabyte, d.AdapterSlots)
		fmt.Fprintf(w, "Load\t%v, from disk %v, from memory %v\n", d.Load.D(), d.LoadFromDisk.D(), d.LoadFromMemory.D())
		fmt.Fprintf(w, "MaxInFlight\t%d\n", d.MaxInFlight)
		fmt.Fprintf(w, "MaxReplicas\t%d\n", d.MaxReplicas)
		fmt.Fprintf(w, "MaxQueue\t%d\n", d.MaxQueue)
		fmt.Fprintf(w, "Deadlines\turgent %v, others %v\n", d.UrgentDeadline.D(), d.CanWaitDeadline.D())
		for _, a := range d.Adapters {
			fmt.Fprintf(w, "Adapter\t%s (%g GB)\n", a.Name, float64(a.Bytes)/bytesPerGigabyte)
		}
	})
}
