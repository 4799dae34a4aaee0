package launcher

import (
	"sync"

	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/edge/follower"
	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/peer/messenger"
)

// originLeases holds the leases of the records of origins by the records' numbers.
type originLeases struct {
	mu       sync.Mutex
	byRecord map[int64]int64
}

func (l *originLeases) of(record int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byRecord[record]
}

func (l *originLeases) set(record, lease int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byRecord == nil {
		l.byRecord = make(map[int64]int64)
	}
	l.byRecord[record] = lease
}

// take removes and returns the lease of a record, 0 if there is none.
func (l *originLeases) take(record int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	lease := l.byRecord[record]
	delete(l.byRecord, record)
	return lease
}

// recordOrigins writes a record of origins under a lease of its own, which outlives this daemon, and deletes those that it replaces.
func (d *Daemon) recordOrigins(e conductor.RecordOrigins) {
	lease, result := d.originLeases.of(e.Record), storer.ResultOK
	if lease == 0 {
		if lease, result = d.platform.Store.Grant(d.ctx, e.TTL); result == storer.ResultOK {
			d.originLeases.set(e.Record, lease)
		}
	}
	value := follower.EncodeOrigins(e.Origins)
	if result == storer.ResultOK {
		result = d.platform.Store.Put(d.ctx, follower.OriginsKey(d.settings.Conductor.Self.Instance, e.Record), value, lease)
	}
	if result == storer.ResultNotFound {
		// The lease is gone, as after a restoration of the store.
		d.originLeases.take(e.Record)
	}
	d.metrics.countOrigins(len(e.Origins), len(value), result == storer.ResultOK)
	if result != storer.ResultOK {
		d.logger.Info().Int64("Record", e.Record).Int("Streams", len(e.Origins)).Msg("record of origins was not written; it is repeated")
	}
	d.post(conductor.OriginsRecorded{Record: e.Record, OK: result == storer.ResultOK})
	for record := e.Replaces; record < e.Record && result == storer.ResultOK; record++ {
		if replaced := d.originLeases.take(record); replaced != 0 {
			d.platform.Store.Revoke(d.ctx, replaced)
		}
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
	var mixed []string
	if result == storer.ResultOK {
		mixed, result = d.readMixedServices()
	}
	d.post(conductor.OriginsRead{Origins: origins, MixedServices: mixed, OK: result == storer.ResultOK})
}

// readMixedServices reads the names of the services that have had several versions.
func (d *Daemon) readMixedServices() ([]string, storer.Result) {
	entries, _, result := d.platform.Store.List(d.ctx, follower.VersionsPrefix)
	var services []string
	for _, e := range entries {
		services = append(services, e.Key[len(follower.VersionsPrefix):])
	}
	return services, result
}
