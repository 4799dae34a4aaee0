package launcher

import (
	"strings"

	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/decision/resumer"
	"samphirewharf/internal/edge/follower"
	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/peer/messenger"
)

// maxReplaced bounds the records that a write deletes, so that the transaction stays within the store's limit. Others are deleted later
// as unused.
const maxReplaced = 30

// recordOrigins writes a record of origins and deletes those that it replaces. A record has no lease: it has to outlive this daemon, and
// an outage in which the store ends all leases.
func (d *Daemon) recordOrigins(e conductor.RecordOrigins) {
	value := follower.EncodeOrigins(e.Origins)
	var replaced []string
	for record := max(e.Replaces, e.Record-maxReplaced); record < e.Record; record++ {
		replaced = append(replaced, follower.OriginsKey(d.settings.Conductor.Self.Instance, record))
	}
	result := d.platform.Store.Replace(d.ctx, follower.OriginsKey(d.settings.Conductor.Self.Instance, e.Record), value, replaced)
	d.metrics.countOrigins(len(e.Origins), len(value), result == storer.ResultOK)
	if result != storer.ResultOK {
		d.logger.Info().Int64("Record", e.Record).Int("Streams", len(e.Origins)).Msg("record of origins was not written; it is repeated")
	}
	d.post(conductor.OriginsRecorded{Record: e.Record, OK: result == storer.ResultOK})
}

// listOrigins lists the records of origins.
func (d *Daemon) listOrigins() {
	entries, _, result := d.platform.Store.List(d.ctx, follower.OriginsPrefix)
	event := conductor.OriginsListed{OK: result == storer.ResultOK}
	for _, e := range entries {
		event.Records = append(event.Records, resumer.RecordRevision{Key: e.Key, Revision: e.Revision})
	}
	d.post(event)
}

// deleteOrigins deletes records of origins that nobody needs any more. What isn't deleted is found again.
func (d *Daemon) deleteOrigins(e conductor.DeleteOrigins) {
	for _, r := range e.Records {
		result := d.platform.Store.Delete(d.ctx, r.Key, r.Revision)
		d.logger.Info().Str("Key", r.Key).Bool("OK", result == storer.ResultOK).Msg("unused record of origins was deleted")
	}
}

// readOrigins reads all records of origins, and of services that have had several versions. It skips those that can't be decoded.
func (d *Daemon) readOrigins() {
	entries, _, result := d.platform.Store.List(d.ctx, follower.OriginsPrefix)
	var origins []messenger.StreamOrigin
	for _, e := range entries {
		decoded, err := follower.DecodeOrigins(e)
		if err != nil {
			d.logger.Warn().Err(err).Str("Key", e.Key).Msg("record of origins can't be used")
			continue
		}
		origins = append(origins, decoded...)
	}
	d.logger.Info().Int("Records", len(entries)).Int("Streams", len(origins)).Bool("OK", result == storer.ResultOK).Msg("origins were read")
	d.metrics.countOriginReads(result == storer.ResultOK)
	event := conductor.OriginsRead{Origins: origins}
	if result == storer.ResultOK {
		result = d.readVersions(&event)
	}
	event.OK = result == storer.ResultOK
	d.post(event)
}

// readVersions reads which services have had several versions, and the histories of all services.
func (d *Daemon) readVersions(event *conductor.OriginsRead) storer.Result {
	entries, _, result := d.platform.Store.List(d.ctx, follower.BothVersionsPrefix)
	for _, e := range entries {
		switch {
		case strings.HasPrefix(e.Key, follower.VersionsPrefix):
			event.MixedServices = append(event.MixedServices, e.Key[len(follower.VersionsPrefix):])
		case follower.IsHistoryKey(e.Key):
			h, err := follower.DecodeHistory(e)
			if err != nil {
				d.logger.Warn().Err(err).Str("Key", e.Key).Msg("history of software versions can't be used")
			}
			event.Histories = append(event.Histories, h)
		}
	}
	return result
}

// writeHistory writes the history of a service's software versions, without a lease. It is repeated until the store has it.
func (d *Daemon) writeHistory(h resumer.History) {
	value, err := follower.EncodeHistory(h)
	if err != nil {
		d.logger.Error().Err(err).Msg("history of software versions can't be written")
		return
	}
	_, result := d.platform.Store.CompareAndSwap(d.ctx, follower.HistoryKey(h.Service), value, h.Revision, 0)
	d.logger.Info().Str("Service", h.Service).Strs("Versions", h.Versions).Bool("Complete", h.Complete).Int64("Replaces", h.Revision).
		Bool("OK", result == storer.ResultOK).Msg("history of software versions written")
}
