package executor

import (
	"context"
	"time"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/external/storer"
)

// connectTimeout bounds a check whether a server accepts connections.
const connectTimeout = time.Second

// A call carries out one effect.
type call struct {
	executor *Executor
	effect   reducer.Effect
}

// run carries out the effect and posts the resulting event.
func (c *call) run() {
	x := c.executor
	ctx := x.Context
	switch e := c.effect.(type) {
	case reducer.StoreGet:
		entry, result := x.Store.Get(ctx, e.Key)
		x.Post(reducer.StoreGot{Op: e.Op, Result: result, Entry: entry})
	case reducer.StoreSwap:
		c.swap(ctx, e)
	case reducer.StoreDelete:
		result := x.Store.Delete(ctx, e.Key, e.Revision)
		x.Post(reducer.StoreSwapped{Op: e.Op, Result: result})
	case reducer.StoreList:
		entries, revision, result := x.Store.ListWithRevision(ctx, e.Prefix)
		x.Post(reducer.StoreListed{Op: e.Op, Result: result, Entries: entries, Revision: revision})
	case reducer.LeaseRenew:
		c.renewLease(ctx, e)
	case reducer.LeaseRevoke:
		if id := x.LeaseID(); id != 0 {
			x.Store.Revoke(ctx, id)
		}
	case reducer.ListHosts:
		c.listHosts(ctx, e)
	case reducer.PollServer:
		c.poll(ctx, e)
	case reducer.SendOrder:
		c.sendOrder(ctx, e)
	case reducer.LoadConfiguration:
		c.loadConfiguration(ctx, e)
	}
}

func (c *call) listHosts(ctx context.Context, e reducer.ListHosts) {
	x := c.executor
	sentAt := x.sinceStart()
	hosts, etag, unchanged, err := x.Hosts.List(ctx, e.Service, x.etag(e.Service))
	if err != nil {
		x.Post(reducer.HostsListed{Service: e.Service, SentAt: sentAt})
		return
	}
	x.setEtag(e.Service, etag)
	x.Post(reducer.HostsListed{Service: e.Service, SentAt: sentAt, OK: true, Unchanged: unchanged, Hosts: hosts})
}

func (c *call) loadConfiguration(ctx context.Context, e reducer.LoadConfiguration) {
	x := c.executor
	catalog, revision, err := x.FetchConfiguration(ctx, e.PeerAddress, e.HaveVersion)
	if err != nil {
		x.Logger.Warn().Err(err).Str("PeerAddress", e.PeerAddress).Msg("could not read the configuration")
		catalog = nil
	}
	x.Post(reducer.ConfigurationLoaded{Catalog: catalog, Revision: revision})
}

// sendOrder sends an order unless it has expired, which is checked last.
func (c *call) sendOrder(ctx context.Context, e reducer.SendOrder) {
	x := c.executor
	if x.sinceStart() > e.Expires {
		x.Post(reducer.OrderEnded{OrderID: e.Order.OrderID, Server: e.Server, Outcome: orderer.OutcomeNotSent})
		return
	}
	outcome, fence := x.Engine.Send(ctx, e.Address, e.Order)
	x.logOrder(e, outcome)
	x.Post(reducer.OrderEnded{OrderID: e.Order.OrderID, Server: e.Server, Outcome: outcome, Fence: fence})
}

func (c *call) poll(ctx context.Context, e reducer.PollServer) {
	x := c.executor
	sentAt := x.sinceStart()
	if e.ConnectOnly {
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		x.Post(reducer.ServerPolled{Server: e.Server, OK: x.CanConnect(ctx, e.Address), SentAt: sentAt})
		return
	}
	report, err := x.Engine.Poll(ctx, e.Address, e.Checkpoints)
	x.Post(reducer.ServerPolled{Server: e.Server, OK: err == nil, SentAt: sentAt, Report: report})
}

// renewLease renews the lease, or creates a new one if there is none or it has expired.
func (c *call) renewLease(ctx context.Context, e reducer.LeaseRenew) {
	x := c.executor
	sentAt := x.sinceStart()
	id := x.LeaseID()
	if id != 0 {
		alive, result := x.Store.KeepAlive(ctx, id)
		if result != storer.ResultOK || alive {
			x.Post(reducer.LeaseRenewed{SentAt: sentAt, Result: result})
			return
		}
		sentAt = x.sinceStart()
	}
	granted, result := x.Store.Grant(ctx, e.TimeToLive)
	if result == storer.ResultOK {
		x.setLeaseID(granted)
	}
	x.Post(reducer.LeaseRenewed{SentAt: sentAt, Result: result, Lost: true})
}

func (c *call) swap(ctx context.Context, e reducer.StoreSwap) {
	x := c.executor
	var lease int64
	if e.Leased {
		lease = x.LeaseID()
		if lease == 0 {
			x.Post(reducer.StoreSwapped{Op: e.Op, Result: storer.ResultNotSent})
			return
		}
	}
	revision, result := x.Store.Swap(ctx, e.Key, e.Value, e.Revision, lease)
	if e.Leased && result == storer.ResultNotFound {
		x.setLeaseID(0)
	}
	x.Post(reducer.StoreSwapped{Op: e.Op, Result: result, Revision: revision})
}
