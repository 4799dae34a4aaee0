package messenger

import (
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/decision/planner"
)

// Message decodes an envelope that was encoded by Message.Envelope. Empty lists and maps become nil.
func (x *Envelope) Message() Message {
	return Message{
		From:           x.GetFrom(),
		Instance:       x.GetInstance(),
		Address:        x.GetAddress(),
		Zone:           x.GetZone(),
		Region:         x.GetRegion(),
		Forecasts:      convert(x.GetForecasts(), decodeForecast),
		Heartbeat:      decodeHeartbeat(x.GetHeartbeat()),
		Reports:        convert(x.GetReports(), decodeServerReport),
		Needs:          decodeNeeds(x.GetNeeds()),
		Placement:      decodePlacement(x.GetPlacement()),
		Verdict:        decodeVerdict(x.GetVerdict()),
		Demand:         decodeDemand(x.GetDemand()),
		Fleet:          decodeFleets(x.GetFleet(), x.GetFleetChanges()),
		Subscribe:      decodeSubscribe(x.GetSubscribe()),
		Feed:           decodeFeed(x.GetFeed()),
		Evidence:       decodeEvidence(x.GetEvidence()),
		FleetRequested: x.GetFleetRequested(),
		Origins:        decodeOrigins(x.GetOrigins()),
		QuotaAsk:       decodeQuotaAsk(x.GetQuotaAsk()),
		QuotaGrant:     decodeQuotaGrant(x.GetQuotaGrant()),
		Standing:       decodeStanding(x.GetStanding()),
	}
}

func decodeCacheEvent(e *EngineCacheEvent) orderer.CacheEvent {
	return orderer.CacheEvent{Sequence: e.GetSequence(), Replica: e.GetReplica(), Prefix: e.GetPrefix(), Stored: e.GetStored()}
}

func decodeCheckpoints(c *EngineCheckpoints) *orderer.Checkpoints {
	if c == nil {
		return nil
	}
	return &orderer.Checkpoints{Memory: c.GetMemory(), Disk: c.GetDisk()}
}

func decodeHeartbeat(h *HeartbeatPart) *Heartbeat {
	if h == nil {
		return nil
	}
	return &Heartbeat{
		ConfigurationVersion: h.GetConfigurationVersion(),
		Placements:           h.GetPlacements(),
		Leaving:              h.GetLeaving(),
		InFlight:             int(h.GetInFlight()),
	}
}

func decodeNeed(n *NeedPart) planner.Need {
	return planner.Need{
		Deployment: n.GetDeployment(),
		Adapter:    n.GetAdapter(),
		Urgent:     int(n.GetUrgent()),
		CanWait:    int(n.GetCanWait()),
		Slack:      time.Duration(n.GetSlackNanoseconds()),
		Used:       n.GetUsed(),
		Running:    int(n.GetRunning()),
	}
}

func decodeForecast(f *ForecastPart) Forecast {
	return Forecast{
		Deployment: f.GetDeployment(), ReadyIn: time.Duration(f.GetReadyInNanoseconds()), Impossible: f.GetImpossible(),
	}
}

func decodeNeeds(n *NeedsPart) *Needs {
	if n == nil {
		return nil
	}
	return &Needs{Cell: n.GetCell(), Sequence: n.GetSequence(), Waiting: convert(n.GetWaiting(), decodeNeed), Renounced: n.GetRenounced()}
}

func decodePlacement(p *PlacementPart) *Placement {
	if p == nil {
		return nil
	}
	return &Placement{Cell: p.GetCell(), Revision: p.GetRevision(), Record: p.GetRecord()}
}

func decodeReplica(r *EngineReplica) orderer.ReplicaReport {
	return orderer.ReplicaReport{
		Replica:      r.GetReplica(),
		Deployment:   r.GetDeployment(),
		ModelVersion: r.GetModelVersion(),
		Role:         r.GetRole(),
		State:        orderer.ReplicaState(r.GetState()),
		Bytes:        r.GetBytes(),
		Running:      int(r.GetRunning()),
		Waiting:      int(r.GetWaiting()),
		Adapters:     r.GetAdapters(),
	}
}

func decodeReport(r *EngineReport) orderer.Report {
	return orderer.Report{
		Instance:           r.GetInstance(),
		Sequence:           r.GetSequence(),
		Fence:              r.GetFence(),
		MemoryBytes:        r.GetMemoryBytes(),
		UsedBytes:          r.GetUsedBytes(),
		Replicas:           convert(r.GetReplicas(), decodeReplica),
		CheckpointsVersion: r.GetCheckpointsVersion(),
		Checkpoints:        decodeCheckpoints(r.GetCheckpoints()),
		CacheEvents:        convert(r.GetCacheEvents(), decodeCacheEvent),
	}
}

func decodeServerReport(r *ReportPart) ServerReport {
	return ServerReport{
		Server:      r.GetServer(),
		Age:         time.Duration(r.GetAgeNanoseconds()),
		Report:      decodeReport(r.GetReport()),
		Unreachable: r.GetUnreachable(),
		LoadOnly:    r.GetLoadOnly(),
	}
}

func decodeVerdict(v *VerdictPart) *Verdict {
	if v == nil {
		return nil
	}
	return &Verdict{
		Cell:     v.GetCell(),
		Hashes:   v.GetHashes(),
		Expires:  time.Duration(v.GetExpiresNanoseconds()),
		Suspects: v.GetSuspects(),
	}
}
