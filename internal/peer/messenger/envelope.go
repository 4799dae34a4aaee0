package messenger

import (
	"time"

	"samphirewharf/internal/backend/orderer"
)

// newEnvelope returns a message as it goes over the wire.
func newEnvelope(m Message) *Envelope {
	e := &Envelope{From: m.From, Instance: m.Instance, Address: m.Address, Zone: m.Zone, Region: m.Region}
	if h := m.Heartbeat; h != nil {
		e.Heartbeat = &HeartbeatPart{
			ConfigurationVersion: h.ConfigurationVersion,
			Placements:           h.Placements,
			Leaving:              h.Leaving,
			InFlight:             int64(h.InFlight),
		}
	}
	for _, r := range m.Reports {
		e.Reports = append(e.Reports, newServerReportPart(r))
	}
	if n := m.Needs; n != nil {
		e.Needs = newNeedsPart(n)
	}
	if p := m.Placement; p != nil {
		e.Placement = &PlacementPart{Cell: p.Cell, Revision: p.Revision, Record: p.Record}
	}
	if v := m.Verdict; v != nil {
		e.Verdict = &VerdictPart{
			Cell: v.Cell, Hashes: v.Hashes, ExpiresMilliseconds: v.Expires.Milliseconds(), Suspects: v.Suspects,
		}
	}
	for _, f := range m.Forecasts {
		e.Forecasts = append(e.Forecasts, &ForecastPart{
			Deployment: f.Deployment, ReadyInMicroseconds: f.ReadyIn.Microseconds(), Impossible: f.Impossible,
		})
	}
	return e
}

// message returns the message that came over the wire.
func (x *Envelope) message() Message {
	m := Message{
		From: x.GetFrom(), Instance: x.GetInstance(), Address: x.GetAddress(), Zone: x.GetZone(), Region: x.GetRegion(),
	}
	if h := x.GetHeartbeat(); h != nil {
		m.Heartbeat = &Heartbeat{
			ConfigurationVersion: h.GetConfigurationVersion(),
			Placements:           h.GetPlacements(),
			Leaving:              h.GetLeaving(),
			InFlight:             int(h.GetInFlight()),
		}
	}
	for _, r := range x.GetReports() {
		m.Reports = append(m.Reports, r.serverReport())
	}
	if n := x.GetNeeds(); n != nil {
		m.Needs = n.needs()
	}
	if p := x.GetPlacement(); p != nil {
		m.Placement = &Placement{Cell: p.GetCell(), Revision: p.GetRevision(), Record: p.GetRecord()}
	}
	if v := x.GetVerdict(); v != nil {
		m.Verdict = &Verdict{
			Cell: v.GetCell(), Hashes: v.GetHashes(), Suspects: v.GetSuspects(),
			Expires: time.Duration(v.GetExpiresMilliseconds()) * time.Millisecond,
		}
	}
	for _, f := range x.GetForecasts() {
		m.Forecasts = append(m.Forecasts, Forecast{
			Deployment: f.GetDeployment(), ReadyIn: microseconds(f.GetReadyInMicroseconds()), Impossible: f.GetImpossible(),
		})
	}
	return m
}

func newNeedsPart(n *Needs) *NeedsPart {
	part := &NeedsPart{Cell: n.Cell, Sequence: n.Sequence, Renounced: n.Renounced}
	for _, w := range n.Waiting {
		part.Waiting = append(part.Waiting, &NeedPart{
			Deployment: w.Deployment, Adapter: w.Adapter, Urgent: int64(w.Urgent), CanWait: int64(w.CanWait),
			SlackMicroseconds: w.Slack.Microseconds(), Used: w.Used, Running: int64(w.Running),
		})
	}
	return part
}

func (x *NeedsPart) needs() *Needs {
	n := &Needs{Cell: x.GetCell(), Sequence: x.GetSequence(), Renounced: x.GetRenounced()}
	for _, w := range x.GetWaiting() {
		n.Waiting = append(n.Waiting, Need{
			Deployment: w.GetDeployment(), Adapter: w.GetAdapter(), Urgent: int(w.GetUrgent()), CanWait: int(w.GetCanWait()),
			Slack: microseconds(w.GetSlackMicroseconds()), Used: w.GetUsed(), Running: int(w.GetRunning()),
		})
	}
	return n
}

func newServerReportPart(r ServerReport) *ServerReportPart {
	part := &ServerReportPart{
		Server: r.Server, AgeMicroseconds: r.Age.Microseconds(), Unreachable: r.Unreachable, Report: newReportPart(r.Report),
	}
	return part
}

func (x *ServerReportPart) serverReport() ServerReport {
	return ServerReport{
		Server: x.GetServer(), Age: microseconds(x.GetAgeMicroseconds()), Unreachable: x.GetUnreachable(),
		Report: x.GetReport().report(),
	}
}

func newReportPart(r orderer.Report) *ReportPart {
	part := &ReportPart{
		Instance: r.Instance, Sequence: r.Sequence, Fence: r.Fence, MemoryBytes: r.MemoryBytes, UsedBytes: r.UsedBytes,
		CheckpointsVersion: r.CheckpointsVersion,
	}
	if r.Checkpoints != nil {
		part.Checkpoints = &CheckpointsPart{Memory: r.Checkpoints.Memory, Disk: r.Checkpoints.Disk}
	}
	for _, replica := range r.Replicas {
		part.Replicas = append(part.Replicas, &ReplicaPart{
			Replica: replica.Replica, Deployment: replica.Deployment, ModelVersion: replica.ModelVersion,
			Role: replica.Role, State: string(replica.State), Bytes: replica.Bytes,
			Running: int64(replica.Running), Waiting: int64(replica.Waiting), Adapters: replica.Adapters,
		})
	}
	for _, event := range r.CacheEvents {
		part.CacheEvents = append(part.CacheEvents, &CacheEventPart{
			Sequence: event.Sequence, Replica: event.Replica, Prefix: event.Prefix, Stored: event.Stored,
		})
	}
	return part
}

func (x *ReportPart) report() orderer.Report {
	r := orderer.Report{
		Instance: x.GetInstance(), Sequence: x.GetSequence(), Fence: x.GetFence(), MemoryBytes: x.GetMemoryBytes(),
		UsedBytes: x.GetUsedBytes(), CheckpointsVersion: x.GetCheckpointsVersion(),
	}
	if c := x.GetCheckpoints(); c != nil {
		r.Checkpoints = &orderer.Checkpoints{Memory: c.GetMemory(), Disk: c.GetDisk()}
	}
	for _, replica := range x.GetReplicas() {
		r.Replicas = append(r.Replicas, orderer.ReplicaReport{
			Replica: replica.GetReplica(), Deployment: replica.GetDeployment(), ModelVersion: replica.GetModelVersion(),
			Role: replica.GetRole(), State: orderer.ReplicaState(replica.GetState()), Bytes: replica.GetBytes(),
			Running: int(replica.GetRunning()), Waiting: int(replica.GetWaiting()), Adapters: replica.GetAdapters(),
		})
	}
	for _, event := range x.GetCacheEvents() {
		r.CacheEvents = append(r.CacheEvents, orderer.CacheEvent{
			Sequence: event.GetSequence(), Replica: event.GetReplica(), Prefix: event.GetPrefix(), Stored: event.GetStored(),
		})
	}
	return r
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
