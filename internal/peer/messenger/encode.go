package messenger

import (
	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/decision/planner"
)

// Envelope encodes the message for the wire.
func (m Message) Envelope() *Envelope {
	fleet, changes := encodeFleets(m.Fleet)
	return &Envelope{
		From:           m.From,
		Instance:       m.Instance,
		Address:        m.Address,
		Zone:           m.Zone,
		Heartbeat:      encodeHeartbeat(m.Heartbeat),
		Reports:        convert(m.Reports, encodeServerReport),
		Needs:          encodeNeeds(m.Needs),
		Placement:      encodePlacement(m.Placement),
		Verdict:        encodeVerdict(m.Verdict),
		Region:         m.Region,
		Forecasts:      convert(m.Forecasts, encodeForecast),
		Demand:         encodeDemand(m.Demand),
		Fleet:          fleet,
		FleetChanges:   changes,
		Subscribe:      encodeSubscribe(m.Subscribe),
		Feed:           encodeFeed(m.Feed),
		Evidence:       encodeEvidence(m.Evidence),
		FleetRequested: m.FleetRequested,
		Origins:        encodeOrigins(m.Origins),
		QuotaAsk:       encodeQuotaAsk(m.QuotaAsk),
		QuotaGrant:     encodeQuotaGrant(m.QuotaGrant),
		Standing:       encodeStanding(m.Standing),
	}
}

// convert applies f to each element. It returns nil if there are none.
func convert[A, B any](in []A, f func(A) B) []B {
	if len(in) == 0 {
		return nil
	}
	out := make([]B, 0, len(in))
	for _, a := range in {
		out = append(out, f(a))
	}
	return out
}

func encodeCacheEvent(e orderer.CacheEvent) *EngineCacheEvent {
	return &EngineCacheEvent{Sequence: e.Sequence, Replica: e.Replica, Prefix: e.Prefix, Stored: e.Stored}
}

func encodeCheckpoints(c *orderer.Checkpoints) *EngineCheckpoints {
	if c == nil {
		return nil
	}
	return &EngineCheckpoints{Memory: c.Memory, Disk: c.Disk}
}

func encodeForecast(f Forecast) *ForecastPart {
	return &ForecastPart{Deployment: f.Deployment, ReadyInNanoseconds: int64(f.ReadyIn), Impossible: f.Impossible}
}

func encodeHeartbeat(h *Heartbeat) *HeartbeatPart {
	if h == nil {
		return nil
	}
	return &HeartbeatPart{
		ConfigurationVersion: h.ConfigurationVersion,
		Placements:           h.Placements,
		Leaving:              h.Leaving,
		InFlight:             int64(h.InFlight),
	}
}

func encodeNeed(n planner.Need) *NeedPart {
	return &NeedPart{
		Deployment:       n.Deployment,
		Adapter:          n.Adapter,
		Urgent:           int64(n.Urgent),
		CanWait:          int64(n.CanWait),
		SlackNanoseconds: int64(n.Slack),
		Used:             n.Used,
		Running:          int64(n.Running),
	}
}

func encodeNeeds(n *Needs) *NeedsPart {
	if n == nil {
		return nil
	}
	return &NeedsPart{Cell: n.Cell, Sequence: n.Sequence, Waiting: convert(n.Waiting, encodeNeed), Renounced: n.Renounced}
}

func encodePlacement(p *Placement) *PlacementPart {
	if p == nil {
		return nil
	}
	return &PlacementPart{Cell: p.Cell, Revision: p.Revision, Record: p.Record}
}

func encodeReplica(r orderer.ReplicaReport) *EngineReplica {
	return &EngineReplica{
		Replica:      r.Replica,
		Deployment:   r.Deployment,
		ModelVersion: r.ModelVersion,
		Role:         r.Role,
		State:        string(r.State),
		Bytes:        r.Bytes,
		Running:      int64(r.Running),
		Waiting:      int64(r.Waiting),
		Adapters:     r.Adapters,
	}
}

func encodeReport(r orderer.Report) *EngineReport {
	return &EngineReport{
		Instance:           r.Instance,
		Sequence:           r.Sequence,
		Fence:              r.Fence,
		MemoryBytes:        r.MemoryBytes,
		UsedBytes:          r.UsedBytes,
		Replicas:           convert(r.Replicas, encodeReplica),
		CheckpointsVersion: r.CheckpointsVersion,
		Checkpoints:        encodeCheckpoints(r.Checkpoints),
		CacheEvents:        convert(r.CacheEvents, encodeCacheEvent),
	}
}

func encodeServerReport(r ServerReport) *ReportPart {
	return &ReportPart{
		Server:         r.Server,
		AgeNanoseconds: int64(r.Age),
		Report:         encodeReport(r.Report),
		Unreachable:    r.Unreachable,
		LoadOnly:       r.LoadOnly,
	}
}

func encodeVerdict(v *Verdict) *VerdictPart {
	if v == nil {
		return nil
	}
	return &VerdictPart{Cell: v.Cell, Hashes: v.Hashes, ExpiresNanoseconds: int64(v.Expires), Suspects: v.Suspects}
}
