package launcher

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"samphirewharf/internal/decision/attributor"
	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/edge/follower"
	"samphirewharf/internal/edge/gateway"
	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/peer/messenger"
)

// edgeMetrics are the daemon's metrics. Apart from the services and workspaces, of which there are at most maxServices and
// maxWorkspaces, label values come from fixed sets.
type edgeMetrics struct {
	set *metrics.Set
	// gauges are the conductor's latest gauges, nil before the first update.
	gauges atomic.Pointer[conductor.UpdateGauges]

	mu sync.Mutex
	// services are the services that have gauges.
	services map[string]bool
	// workspaces holds the label values of the workspaces with counters, by name.
	workspaces map[string]string
}

// maxServices bounds the number of services with gauges.
const maxServices = 64

// maxWorkspaces bounds the number of workspaces with counters. Those that come later are counted together as otherWorkspaces.
const (
	maxWorkspaces   = 64
	otherWorkspaces = "(others)"
)

// labelEscaper escapes the value of a label in the Prometheus text format.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func (m *edgeMetrics) register(d *Daemon) {
	m.set = metrics.NewSet()
	m.set.NewGauge(`samphirewharf_edge_configuration_version`, func() float64 {
		if c := d.configuration.Load(); c != nil {
			return float64(c.Version)
		}
		return 0
	})
	m.set.NewGauge(`samphirewharf_edge_store_epoch`, func() float64 { return float64(d.storeEpoch.Load()) })
	m.set.NewGauge(`samphirewharf_edge_ready`, func() float64 {
		if d.ready() {
			return 1
		}
		return 0
	})
	m.set.NewGauge(`samphirewharf_edge_connections`, func() float64 {
		if d.callerEndpoint == nil {
			return 0
		}
		return float64(d.callerEndpoint.server.Connections())
	})
	m.set.NewGauge(`samphirewharf_edge_events_waiting`, func() float64 { return float64(d.driver.QueueLength()) })
	m.set.NewGauge(`samphirewharf_edge_log_lines_dropped_total`, func() float64 { return float64(d.droppedLines()) })
	for view, prefix := range map[string]string{
		"Configuration": d.platform.Entries.ConfigurationPrefix, "Servers": d.platform.Entries.ServersPrefix, "Daemons": follower.SharedPrefix,
	} {
		m.set.NewGauge(`samphirewharf_edge_view_proved_seconds{view="`+view+`"}`, func() float64 {
			return d.relayer.Proof(prefix).Age(d.now()).Seconds()
		})
	}
	m.registerGauges()
}

// registerGauges registers the conductor's gauges of the whole daemon.
func (m *edgeMetrics) registerGauges() {
	for name, read := range map[string]func(*conductor.UpdateGauges) float64{
		"role_held":                    func(e *conductor.UpdateGauges) float64 { return boolToFloat(e.IsLeader) },
		"orders_allowed":               func(e *conductor.UpdateGauges) float64 { return boolToFloat(e.MayOrder) },
		"view_age_seconds":             func(e *conductor.UpdateGauges) float64 { return e.ViewAge.Seconds() },
		"fleet_age_seconds":            func(e *conductor.UpdateGauges) float64 { return e.FleetAge.Seconds() },
		"configuration_age_seconds":    func(e *conductor.UpdateGauges) float64 { return e.ConfigurationAge.Seconds() },
		`held_back{kind="Request"}`:    func(e *conductor.UpdateGauges) float64 { return float64(e.Quarantines[attributor.KindRequest]) },
		`held_back{kind="PromptPart"}`: func(e *conductor.UpdateGauges) float64 { return float64(e.Quarantines[attributor.KindPart]) },
		"link_down":                    func(e *conductor.UpdateGauges) float64 { return boolToFloat(e.LinkDown) },
		"quota_kept":                   func(e *conductor.UpdateGauges) float64 { return float64(e.Quotas.Kept) },
		"quota_spent":                  func(e *conductor.UpdateGauges) float64 { return float64(e.Quotas.Spent) },
		"quota_suspended":              func(e *conductor.UpdateGauges) float64 { return boolToFloat(e.Quotas.Suspended) },
		"quota_asked":                  func(e *conductor.UpdateGauges) float64 { return float64(e.Quotas.Asked) },
		"quota_answered":               func(e *conductor.UpdateGauges) float64 { return float64(e.Quotas.Answered) },
		"quota_denied":                 func(e *conductor.UpdateGauges) float64 { return float64(e.Quotas.Denied) },
		"quota_unanswered":             func(e *conductor.UpdateGauges) float64 { return float64(e.Quotas.Unanswered) },
		"daemons":                      func(e *conductor.UpdateGauges) float64 { return float64(e.Daemons) },
	} {
		m.set.NewGauge("samphirewharf_edge_"+name, func() float64 {
			if e := m.gauges.Load(); e != nil {
				return read(e)
			}
			return 0
		})
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// updateGauges stores the conductor's gauges and registers those of services that are new.
func (m *edgeMetrics) updateGauges(gauges *conductor.UpdateGauges) {
	m.gauges.Store(gauges)
	m.mu.Lock()
	defer m.mu.Unlock()
	for workspace := range gauges.Quotas.DeniedBy {
		// The conductor bounds their number.
		m.set.GetOrCreateGauge("samphirewharf_edge_quota_denied_by{workspace="+strconv.Quote(workspace)+"}", func() float64 {
			if e := m.gauges.Load(); e != nil {
				return float64(e.Quotas.DeniedBy[workspace])
			}
			return 0
		})
	}
	for service := range gauges.Services {
		if m.services[service] || len(m.services) >= maxServices {
			continue
		}
		if m.services == nil {
			m.services = make(map[string]bool)
		}
		m.services[service] = true
		m.registerService(service)
	}
}

func (m *edgeMetrics) registerService(service string) {
	for name, read := range map[string]func(conductor.ServiceGauges) float64{
		"queued":          func(g conductor.ServiceGauges) float64 { return float64(g.Queued) },
		"running":         func(g conductor.ServiceGauges) float64 { return float64(g.Running) },
		"slots_taken":     func(g conductor.ServiceGauges) float64 { return float64(g.SlotsTaken) },
		"slots":           func(g conductor.ServiceGauges) float64 { return float64(g.Slots) },
		"tokens_running":  func(g conductor.ServiceGauges) float64 { return float64(g.TokensRunning) },
		"token_capacity":  func(g conductor.ServiceGauges) float64 { return float64(g.TokenCapacity) },
		"retries_left":    func(g conductor.ServiceGauges) float64 { return g.RetriesLeft },
		"servers_limited": func(g conductor.ServiceGauges) float64 { return float64(g.RateLimitedServers) },
		"store_loads":     func(g conductor.ServiceGauges) float64 { return float64(g.StoreLoads) },
	} {
		m.set.NewGauge("samphirewharf_edge_"+name+`{service="`+service+`"}`, func() float64 {
			if e := m.gauges.Load(); e != nil {
				return read(e.Services[service])
			}
			return 0
		})
	}
}

func (m *edgeMetrics) countRequest(o gateway.Outcome) {
	kind := o.Kind.String()
	if o.Route == "" {
		kind = "None"
	}
	m.set.GetOrCreateCounter(`samphirewharf_edge_requests_total{kind="` + kind + `",code="` + o.Code.String() + `",class="` + strconv.Itoa(o.Status/100) + `xx"}`).Inc()
	if o.Workspace != "" {
		m.set.GetOrCreateCounter(`samphirewharf_edge_workspace_requests_total{workspace="` + m.workspaceLabel(o.Workspace) + `",code="` + o.Code.String() + `"}`).Inc()
	}
	if o.FirstLatency > 0 {
		m.set.GetOrCreateHistogram(`samphirewharf_edge_first_seconds{kind="` + kind + `"}`).Update(o.FirstLatency.Seconds())
		m.set.GetOrCreateHistogram(`samphirewharf_edge_total_seconds{kind="` + kind + `"}`).Update(o.TotalLatency.Seconds())
	}
	if o.LongestPause > 0 {
		m.set.GetOrCreateHistogram(`samphirewharf_edge_longest_pause_seconds`).Update(o.LongestPause.Seconds())
	}
	m.set.GetOrCreateHistogram(`samphirewharf_edge_attempts_per_request`).Update(float64(o.Attempts))
}

// workspaceLabel returns the label value of a workspace.
func (m *edgeMetrics) workspaceLabel(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	label, ok := m.workspaces[name]
	switch {
	case ok:
		return label
	case len(m.workspaces) >= maxWorkspaces:
		return otherWorkspaces
	case m.workspaces == nil:
		m.workspaces = make(map[string]string)
	}
	m.workspaces[name] = labelEscaper.Replace(name)
	return m.workspaces[name]
}

// countAttempt counts the ends of attempts at servers.
func (m *edgeMetrics) countAttempt(event conductor.Event) {
	if e, ok := event.(conductor.AttemptEnded); ok {
		m.set.GetOrCreateCounter(`samphirewharf_edge_attempts_total{outcome="` + e.Outcome.String() + `",cause="` + e.Cause.String() + `"}`).Inc()
	}
}

func (m *edgeMetrics) countDecision(e conductor.LogDecision) {
	m.set.GetOrCreateCounter(`samphirewharf_edge_decisions_total{action="` + e.Action + `",reason="` + e.Reason + `"}`).Inc()
	if e.Action == "Send" {
		m.set.GetOrCreateHistogram(`samphirewharf_edge_queue_seconds`).UpdateDuration(time.Now().Add(-e.Waited))
	}
	if e.ExpectedPause > 0 {
		m.set.GetOrCreateHistogram(`samphirewharf_edge_expected_pause_seconds`).Update(e.ExpectedPause.Seconds())
	}
}

func (m *edgeMetrics) countOrder(o registrar.Order, result registrar.OrderResult) {
	kind := "Model"
	if o.Adapter != "" {
		kind = "Adapter"
	}
	m.set.GetOrCreateCounter(`samphirewharf_edge_orders_total{operation="` + o.Operation.String() + `",kind="` + kind + `",result="` + result.String() + `"}`).Inc()
}

// countOrigins counts a write of a record of origins, with its streams and bytes.
func (m *edgeMetrics) countOrigins(streams, size int, ok bool) {
	result := "Written"
	if !ok {
		result = "Failed"
	}
	m.set.GetOrCreateCounter(`samphirewharf_edge_origin_records_total{result="` + result + `"}`).Inc()
	m.set.GetOrCreateHistogram(`samphirewharf_edge_origin_record_streams`).Update(float64(streams))
	m.set.GetOrCreateHistogram(`samphirewharf_edge_origin_record_bytes`).Update(float64(size))
}

// countOriginReads counts the reads of the records of origins.
func (m *edgeMetrics) countOriginReads(ok bool) {
	result := "Read"
	if !ok {
		result = "Failed"
	}
	m.set.GetOrCreateCounter(`samphirewharf_edge_origin_reads_total{result="` + result + `"}`).Inc()
}

// callName returns the name of a call to the store, without the arguments that follow it.
func callName(call string) string {
	if end := strings.IndexAny(call, "?/"); end >= 0 {
		return call[:end]
	}
	return call
}

// countMessage counts a message to another daemon, its bytes and how long it took.
func (m *edgeMetrics) countMessage(kind string, sent messenger.Delivery) {
	result := "Sent"
	if sent.Err != nil {
		result = "Lost"
	}
	m.set.GetOrCreateCounter(`samphirewharf_edge_peer_messages_total{kind="` + kind + `",result="` + result + `"}`).Inc()
	m.set.GetOrCreateCounter(`samphirewharf_edge_peer_sent_bytes_total{kind="` + kind + `"}`).Add(sent.Size)
	m.set.GetOrCreateHistogram(`samphirewharf_edge_peer_delivery_seconds{kind="` + kind + `"}`).Update(sent.Duration.Seconds())
}

// countStoreCall counts a call to the store by its name.
func (m *edgeMetrics) countStoreCall(call string, err error) {
	result := "Answered"
	if err != nil {
		result = "Unanswered"
	}
	m.set.GetOrCreateCounter(`samphirewharf_edge_store_calls_total{call="` + call + `",result="` + result + `"}`).Inc()
}

// serve writes the metrics in the Prometheus text format.
func (m *edgeMetrics) serve(w http.ResponseWriter, _ *http.Request) {
	var page bytes.Buffer
	m.set.WritePrometheus(&page)
	metrics.WriteProcessMetrics(&page)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	w.Header().Set("Content-Length", strconv.Itoa(page.Len()))
	w.WriteHeader(http.StatusOK)
	// The error means that the client has left.
	_, _ = w.Write(page.Bytes())
}
