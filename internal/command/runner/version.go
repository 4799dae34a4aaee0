package runner

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"strings"
)

type versionCommand struct{}

// A programVersion is the output of the version command.
type programVersion struct {
	Program string
	// Revision is the commit that the program was built from, "unknown" if the build info lacks it.
	Revision string
	// Modified reports whether the build had uncommitted changes.
	Modified bool
	Go       string
}

// Run prints the version.
func (versionCommand) Run(r *Runner) error {
	v := newProgramVersion()
	return r.print(v, func(w *strings.Builder) {
		fmt.Fprintf(w, "%s %s", v.Program, v.Revision)
		if v.Modified {
			fmt.Fprint(w, " (modified)")
		}
		fmt.Fprintf(w, ", %s\n", v.Go)
	})
}

func newProgramVersion() programVersion {
	v := programVersion{Program: programName, Revision: "unknown", Go: runtime.Version()}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			v.Revision = s.Value
		case "vcs.modified":
			v.Modified = s.Value == "true"
		}
	}
	return v
}
