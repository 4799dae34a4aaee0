package emulator

import (
	"fmt"
	"strings"
)

// Write writes the report as tab-separated columns: first the means over the seeds, then each run.
func (r Report) Write(w *strings.Builder) {
	fmt.Fprintf(w, "%s, %s weighs more, %d days\n\n", r.Organisation, r.Weighting, r.Days)
	fmt.Fprintln(w, "POLICY\tSEED\tREQUESTS\tCOLD\tWAITED P50\tP95\tP99\tMAX\tALL P95\tP99\tP99.9\tIDLE H\tLOADED H\tLOADS R/D/M\tADAPTERS\tREFUSED\tMISSED\tWRITES")
	for _, f := range r.Means {
		f.write(w, "mean")
	}
	for _, f := range r.Runs {
		f.write(w, fmt.Sprint(f.Seed))
	}
}

func (f Metrics) write(w *strings.Builder, seed string) {
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f\t%.1f\t%d/%d/%d\t%d\t%d\t%d\t%d\n",
		f.Policy, seed, f.Requests, f.Cold, f.Waited.P50, f.Waited.P95, f.Waited.P99, f.Waited.Max, f.All.P95, f.All.P99,
		f.All.P999, f.IdleHours, f.LoadedHours, f.RemoteLoads, f.DiskLoads, f.MemoryLoads, f.AdapterLoads, f.Refused,
		f.Missed, f.Writes)
}
