package launcher

import (
	"context"
	"errors"

	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/edge/follower"
	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/fleet/registrar"
	"samphirewharf/internal/network/dialer"
	"samphirewharf/internal/network/sender"
)

// A task carries out one effect that blocks.
type task struct {
	daemon *Daemon
	effect conductor.Effect
}

// execute carries out an effect that doesn't belong to a request. It doesn't block.
func (d *Daemon) execute(effect conductor.Effect) {
	switch e := effect.(type) {
	case conductor.LogDecision:
		d.logDecision(e)
	case conductor.LogStateChange:
		d.logStateChange(e)
	case conductor.UpdateGauges:
		d.metrics.updateGauges(&e)
		d.logTraffic()
	case conductor.PublishDaemons:
		d.publishedDaemons.Store(&e)
	case conductor.SetKeepAlive:
		if !e.KeepAlive {
			d.callerEndpoint.server.Drain()
		}
	case conductor.SendPeer:
		d.sendPeer(e.Address, e.Message)
	case conductor.Follow:
		d.follow(e.On)
	case conductor.Subscribe:
		m := d.newMessage()
		m.Subscribe = d.relayer.Subscription(e.Name)
		d.sendPeer(e.Address, m)
	case conductor.Announce:
		d.announce(e.Addresses)
	case conductor.Relay:
		d.relayer.Relay(e.On, e.Followers)
	case conductor.Forward:
		d.relayer.Forward(e.Fleet, e.Evidence)
	case conductor.CloseConnections:
		go idleCloser{d}.run()
	case conductor.Exit:
		d.exitOnce.Do(d.beginExit)
	default:
		t := task{daemon: d, effect: effect}
		go t.run()
	}
}

// run carries out the effect and posts the resulting event, if any.
func (t task) run() {
	d := t.daemon
	switch e := t.effect.(type) {
	case conductor.RenewLease:
		d.renewLease(e)
	case conductor.Register:
		d.register(e)
	case conductor.RevokeLease:
		if id := d.leaseID.Swap(0); id != 0 {
			d.platform.Store.Revoke(d.ctx, id)
		}
	case conductor.BecomeLeader:
		d.becomeLeader(e)
	case conductor.Resign:
		d.platform.Store.Delete(d.ctx, follower.LeaderKey, e.FencingToken)
	case conductor.SendOrder:
		d.sendOrder(e)
	case conductor.PollServer:
		d.pollServer(e)
	case conductor.CheckServer:
		err := d.platform.Engines.Reach(d.ctx, e.Address, e.HealthPath)
		d.logger.Debug().Err(err).Str("Server", e.Server).Msg("server checked")
		d.post(conductor.ServerChecked{Server: e.Server, OK: err == nil})
	case conductor.StoreQuarantine:
		d.storeQuarantine(e)
	case conductor.RecordVersions:
		d.recordVersions(e)
	case conductor.RecordOrigins:
		d.recordOrigins(e)
	case conductor.ReadOrigins:
		d.readOrigins()
	case conductor.ListOrigins:
		d.listOrigins()
	case conductor.DeleteOrigins:
		d.deleteOrigins(e)
	case conductor.WriteHistory:
		if e.Delete {
			d.platform.Store.Delete(d.ctx, follower.HistoryKey(e.History.Service), e.History.Revision)
			return
		}
		d.writeHistory(e.History)
	case conductor.DeleteQuarantine:
		d.platform.Store.Delete(d.ctx, follower.QuarantineKey(e.Quarantine.Trait), e.Quarantine.Revision)
	}
}

// renewLease renews the lease, or grants a new one if there is none or it has expired.
func (d *Daemon) renewLease(e conductor.RenewLease) {
	sentAt := d.now()
	if id := d.leaseID.Load(); id != 0 {
		alive, result := d.platform.Store.KeepAlive(d.ctx, id)
		if result != storer.ResultOK || alive {
			d.post(conductor.LeaseRenewed{SentAt: sentAt, OK: result == storer.ResultOK})
			return
		}
		sentAt = d.now()
	}
	id, result := d.platform.Store.Grant(d.ctx, e.TTL)
	if result == storer.ResultOK {
		d.leaseID.Store(id)
	}
	d.post(conductor.LeaseRenewed{SentAt: sentAt, OK: result == storer.ResultOK, Lost: true})
}

func (d *Daemon) register(e conductor.Register) {
	value, err := follower.EncodeDaemon(e.Daemon)
	if err != nil {
		d.logger.Error().Err(err).Msg("daemon can't be registered")
		d.post(conductor.RegisterEnded{})
		return
	}
	result := d.platform.Store.Put(d.ctx, follower.DaemonKey(e.Daemon.Name), value, d.leaseID.Load())
	d.post(conductor.RegisterEnded{OK: result == storer.ResultOK})
}

// becomeLeader writes the leader's record if there is none. If the outcome is unknown, it posts a failure; the daemon
// learns from its view of the store whether it became the leader.
func (d *Daemon) becomeLeader(e conductor.BecomeLeader) {
	value, err := follower.EncodeLeader(e.Leader)
	lease := d.leaseID.Load()
	if err != nil || lease == 0 {
		d.post(conductor.BecomeLeaderEnded{})
		return
	}
	fencingToken, result := d.platform.Store.CompareAndSwap(d.ctx, follower.LeaderKey, value, 0, lease)
	if result != storer.ResultOK {
		fencingToken = 0
	}
	d.post(conductor.BecomeLeaderEnded{FencingToken: fencingToken})
}

// sendOrder sends an order unless it has expired. It checks that right before sending.
func (d *Daemon) sendOrder(e conductor.SendOrder) {
	if d.now() > e.Expires {
		d.post(conductor.OrderEnded{Order: e.Order, Result: registrar.OrderNotSent})
		return
	}
	result := d.platform.Engines.Order(d.ctx, e.Order)
	d.metrics.countOrder(e.Order, result)
	d.post(conductor.OrderEnded{Order: e.Order, Result: result})
}

func (d *Daemon) pollServer(e conductor.PollServer) {
	sentAt := d.now()
	report, startedAt, err := d.platform.Engines.Report(d.ctx, e.Server, e.Address)
	if err != nil {
		d.logger.Info().Err(err).Str("Server", e.Server).Msg("server report failed")
	}
	d.post(conductor.ServerReported{Server: e.Server, StartedAt: startedAt, SentAt: sentAt, OK: err == nil, Refused: errors.Is(err, sender.ErrNotSent) && !dialer.TimedOut(err), Report: report})
}

// storeQuarantine writes the record of a quarantine under a lease of its own, since it outlives this daemon.
func (d *Daemon) storeQuarantine(e conductor.StoreQuarantine) {
	value, err := follower.EncodeQuarantine(e.Quarantine)
	if err != nil {
		d.logger.Error().Err(err).Msg("quarantine can't be recorded")
		d.post(conductor.StoreQuarantineEnded{Trait: e.Quarantine.Trait})
		return
	}
	lease, result := d.platform.Store.Grant(d.ctx, e.TTL)
	if result == storer.ResultOK {
		result = d.platform.Store.Put(d.ctx, follower.QuarantineKey(e.Quarantine.Trait), value, lease)
	}
	d.post(conductor.StoreQuarantineEnded{Trait: e.Quarantine.Trait, OK: result == storer.ResultOK})
}

// recordVersions writes the record that a service has had several software versions lately, under a lease of its own.
func (d *Daemon) recordVersions(e conductor.RecordVersions) {
	lease, result := d.platform.Store.Grant(d.ctx, e.TTL)
	if result == storer.ResultOK {
		result = d.platform.Store.Put(d.ctx, follower.VersionsKey(e.Service), []byte("{}"), lease)
	}
	if result != storer.ResultOK {
		// It is tried again shortly, as long as the record is missing.
		d.logger.Info().Str("Service", e.Service).Msg("record of software versions was not written")
	}
}

// An idleCloser closes the callers' connections, each once it is idle.
type idleCloser struct{ daemon *Daemon }

func (c idleCloser) run() {
	d := c.daemon
	if err := d.callerEndpoint.server.CloseIdle(d.ctx); err == nil {
		d.post(conductor.ConnectionsClosed{})
	}
}

// beginExit starts the end of the daemon after a planned stop, without blocking.
func (d *Daemon) beginExit() { go d.runExit() }

// runExit ends the callers' connections and then the daemon. Until the last connection is closed the conductor goes on, which refuses
// whatever is read on them.
func (d *Daemon) runExit() {
	d.endProofs()
	ctx, cancel := context.WithTimeout(context.Background(), exitTimeout)
	defer cancel()
	if err := d.callerEndpoint.server.Stop(ctx); err != nil {
		d.logger.Info().Err(err).Msg("connections were open at exit")
	}
	d.cancel()
	d.driver.Wait()
	d.closeAll()
	close(d.exited)
}

// requestOf returns the request that an effect belongs to, if any.
func requestOf(effect conductor.Effect) (reducer.RequestID, bool) {
	switch e := effect.(type) {
	case conductor.Send:
		return e.Request, true
	case conductor.Deliver:
		return e.Request, true
	case conductor.Refuse:
		return e.Request, true
	case conductor.Cancel:
		return e.Request, true
	case conductor.Abandon:
		return e.Request, true
	case conductor.Withdraw:
		return e.Request, true
	default:
		return 0, false
	}
}

// undeliveredEvent returns the event that ends the attempt of an effect whose request was closed, if the effect concerns
// an attempt.
func undeliveredEvent(effect conductor.Effect) (conductor.Event, bool) {
	switch e := effect.(type) {
	case conductor.Send:
		return conductor.AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: reducer.AttemptCancelled}, true
	case conductor.Cancel:
		return conductor.AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: reducer.AttemptCancelled}, true
	default:
		return nil, false
	}
}
