package launcher

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/edge/gateway"
	"samphirewharf/internal/fleet/registrar"
)

// edgeMetrics are the daemon's metrics. Label values come from closed lists of the code.
type edgeMetrics struct {
	set *metrics.Set
}

func (m *edgeMetrics) register(d *Daemon) {
	m.set = metrics.NewSet()
	m.set.NewGauge(`samphirewharf_edge_configuration_version`, func() float64 {
		if c := d.configuration.Load(); c != nil {
			return float64(c.Version)
		}
		return 0
	})
	m.set.NewGauge(`samphirewharf_edge_ready`, func() float64 {
		if d.ready() {
			return 1
		}
		return 0
	})
	m.set.NewGauge(`samphirewharf_edge_connections`, func() float64 {
		if d.front == nil {
			return 0
		}
		return float64(d.front.server.Connections())
	})
}

func (m *edgeMetrics) countRequest(o gateway.Outcome) {
	kind := o.Kind.String()
	if o.Route == "" {
		kind = "None"
	}
	m.set.GetOrCreateCounter(`samphirewharf_edge_requests_total{kind="` + kind + `",code="` + o.Code.String() + `",class="` + strconv.Itoa(o.Status/100) + `xx"}`).Inc()
	if o.First > 0 {
		m.set.GetOrCreateHistogram(`samphirewharf_edge_first_seconds{kind="` + kind + `"}`).Update(o.First.Seconds())
		m.set.GetOrCreateHistogram(`samphirewharf_edge_total_seconds{kind="` + kind + `"}`).Update(o.Total.Seconds())
	}
}

func (m *edgeMetrics) countDecision(e conductor.Decided) {
	m.set.GetOrCreateCounter(`samphirewharf_edge_decisions_total{action="` + e.Action + `",reason="` + e.Reason + `"}`).Inc()
	if e.Action == "Send" {
		m.set.GetOrCreateHistogram(`samphirewharf_edge_queue_seconds`).UpdateDuration(time.Now().Add(-e.Waited))
	}
}

func (m *edgeMetrics) countOrder(o registrar.Order, result registrar.OrderResult) {
	kind := "Model"
	if o.Adapter != "" {
		kind = "Adapter"
	}
	m.set.GetOrCreateCounter(`samphirewharf_edge_orders_total{operation="` + o.Operation.String() + `",kind="` + kind + `",result="` + result.String() + `"}`).Inc()
}

// countStoreCall counts a call by its name, which ends where its arguments begin.
func (m *edgeMetrics) countStoreCall(call string, err error) {
	if end := strings.IndexAny(call, "?/"); end >= 0 {
		call = call[:end]
	}
	result := "Answered"
	if err != nil {
		result = "Unanswered"
	}
	m.set.GetOrCreateCounter(`samphirewharf_edge_store_calls_total{call="` + call + `",result="` + result + `"}`).Inc()
}

// serve answers with the metrics in Prometheus text.
func (m *edgeMetrics) serve(w http.ResponseWriter, _ *http.Request) {
	var page bytes.Buffer
	m.set.WritePrometheus(&page)
	metrics.WriteProcessMetrics(&page)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	w.Header().Set("Content-Length", strconv.Itoa(page.Len()))
	w.WriteHeader(http.StatusOK)
	// A reader that has left needs no answer.
	_, _ = w.Write(page.Bytes())
}
