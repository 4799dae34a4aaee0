package launcher

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"samphirewharf/internal/edge/gateway"
)

// Guards against a page of metrics that grows with the number of workspaces, and against a name that breaks the page.
func TestWorkspaceMetrics(t *testing.T) {
	m := &edgeMetrics{set: metrics.NewSet()}
	names := []string{"a\"b", `a\`, "a}b"}
	for i := range 1000 {
		names = append(names, fmt.Sprint("w", i))
	}
	for range 2 {
		for _, name := range names {
			m.countRequest(gateway.Outcome{Workspace: name, Status: 200})
		}
	}
	var page bytes.Buffer
	m.set.WritePrometheus(&page)
	lines := strings.Count(page.String(), "workspace_requests_total")
	if lines != maxWorkspaces+1 {
		t.Errorf("got %d lines, want %d", lines, maxWorkspaces+1)
	}
	for _, want := range []string{`{workspace="a\"b",code="OK"} 2`, `{workspace="a\\",code="OK"} 2`, fmt.Sprintf(`{workspace="(others)",code="OK"} %d`, 2*(len(names)-maxWorkspaces))} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("got no line with %s", want)
		}
	}
}
