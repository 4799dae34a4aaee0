package assembler

import (
	"io"

	"github.com/VictoriaMetrics/metrics"

	"samphirewharf/internal/decision/reducer"
)

// writeMetrics writes the metrics of the daemon and the process.
func (d *Daemon) writeMetrics(w io.Writer) {
	metrics.WritePrometheus(w, true)
	d.gauges.WritePrometheus(w)
}

// registerMetrics registers the gauges of this daemon. A process may run several daemons.
func (d *Daemon) registerMetrics() {
	d.gauges = metrics.NewSet()
	d.gauges.NewGauge(`samphirewharf_configuration_version`, func() float64 {
		if c := d.catalog.Load(); c != nil {
			return float64(c.Version())
		}
		return 0
	})
	d.gauges.NewGauge(`samphirewharf_connections`, func() float64 { return float64(d.server.Connections()) })
}

// countPlacement counts placement decisions by action.
func countPlacement(effects []reducer.Effect) {
	for _, effect := range effects {
		if e, ok := effect.(reducer.PlacementDecided); ok {
			metrics.GetOrCreateCounter(`samphirewharf_placement_decisions_total{action="` + e.Action + `"}`).Inc()
		}
	}
}
