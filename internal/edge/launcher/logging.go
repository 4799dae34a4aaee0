package launcher

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"samphirewharf/internal/decision/conductor"
)

// logDecision logs a decision about a request. Routine decisions are sampled.
func (d *Daemon) logDecision(e conductor.LogDecision) {
	d.metrics.countDecision(e)
	omitted := 0
	if e.Routine {
		var ok bool
		if omitted, ok = d.sampler.Allow(e.Action, time.Now()); !ok {
			return
		}
	}
	line := d.logger.Info().Str("Request", e.ID).Str("Action", e.Action).Str("Service", e.Service).Str("Model", e.Model).
		Str("Server", e.Server).Int("Attempt", e.Attempt).Str("Reason", e.Reason).
		Int64("WaitedMs", e.Waited.Milliseconds()).Int64("LeftMs", e.Remaining.Milliseconds()).
		Int64("BeliefAgeMs", e.Age.Milliseconds()).Int64("Configuration", e.Version)
	if e.Workspace != "" {
		line = line.Str("Workspace", e.Workspace)
	}
	if e.Other != "" {
		line = line.Str("Other", e.Other).Float64("OtherScore", e.OtherScore)
	}
	if e.Action == "Send" {
		proof := d.relayer.Proof(d.platform.Entries.ServersPrefix)
		line = line.Float64("Score", e.Score).Int64("Entry", e.Entry).Str("Source", proof.Source).Int64("ProvedMs", proof.Age(d.now()).Milliseconds())
	}
	if e.ExpectedPause > 0 {
		line = line.Int64("ExpectedPauseMs", e.ExpectedPause.Milliseconds()).Int64("ExpectedFirstMs", e.ExpectedFirst.Milliseconds())
	}
	if e.SoftwareVersion != "" {
		line = line.Str("SoftwareVersion", e.SoftwareVersion)
	}
	if e.OriginID != "" {
		line = line.Str("Origin", e.OriginID)
	}
	if e.FirstLatency > 0 {
		line = line.Int64("FirstMs", e.FirstLatency.Milliseconds())
	}
	if e.Status != 0 {
		line = line.Int("Status", e.Status)
	}
	if e.Fingerprint != 0 {
		line = line.Str("Fingerprint", strconv.FormatUint(e.Fingerprint, 16)).Str("Parts", formatParts(e.Parts))
	}
	if e.Detail != "" {
		line = line.Str("Detail", e.Detail)
	}
	if omitted > 0 {
		line = line.Int("Omitted", omitted)
	}
	line.Msg("request")
}

// logStateChange logs a change of the daemon's view of the system.
func (d *Daemon) logStateChange(e conductor.LogStateChange) {
	line := d.logger.Info()
	if e.Warning {
		line = d.logger.Warn()
	}
	line.Str("Subject", e.Subject).Str("Change", e.Change).Str("Reason", e.Reason).Int64("Version", e.Version).
		Int64("AgeMs", e.Age.Milliseconds()).Str("Detail", e.Detail).Msg("belief")
}

// formatParts returns the hashes of a prompt's parts, in order.
func formatParts(parts []conductor.PromptPart) string {
	list := make([]string, 0, len(parts))
	for _, p := range parts {
		list = append(list, strconv.FormatUint(p.ID, 16))
	}
	return strings.Join(list, " ")
}

// maxEventBytes bounds the description of an event in a log line.
const maxEventBytes = 2 << 10

// panicked logs the event in which the conductor has failed, so that the case can be played again, before the process ends. The stack
// follows on standard error.
func (d *Daemon) panicked(event conductor.Event, cause any) {
	text := fmt.Sprintf("%+v", event)
	d.logger.Error().Str("Cause", fmt.Sprint(cause)).Str("Event", fmt.Sprintf("%T", event)).
		Str("Fields", strings.ToValidUTF8(text[:min(len(text), maxEventBytes)], "")).Msg("daemon ends by a fault of its own")
	if d.settings.FlushLog != nil {
		d.settings.FlushLog()
	}
}
