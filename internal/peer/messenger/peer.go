package messenger

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
)

// maxMergedReports is the largest number of reports in one message after merging.
const maxMergedReports = 64

// A peer sends the messages to one daemon in order, one at a time. Client.mu guards the queue.
type peer struct {
	client  *Client
	address string
	queue   []queuedMessage
}

// A queuedMessage is a message that waits to be sent.
type queuedMessage struct {
	ctx      context.Context
	message  Message
	queuedAt time.Time
}

// run sends until the queue is empty.
func (p *peer) run() {
	sender := p.client.messenger(p.address)
	for {
		next, ok := p.next()
		if !ok {
			return
		}
		p.deliver(sender, next)
	}
}

func (p *peer) deliver(sender Messenger, queued queuedMessage) {
	envelope := queued.message.Envelope()
	size := proto.Size(envelope)
	ctx, cancel := context.WithTimeout(queued.ctx, p.client.timeout(size))
	defer cancel()
	_, err := sender.Deliver(ctx, envelope)
	if p.client.OnSent != nil {
		p.client.OnSent(Delivery{Address: p.address, Message: queued.message, Size: size, Duration: time.Since(queued.queuedAt), Err: err})
	}
	if err != nil {
		p.client.logger().Debug().Err(err).Str("Address", p.address).Msg("could not deliver message to daemon")
	}
}

// next removes the oldest message from the queue and returns it. If the queue is empty, it removes the peer and returns
// false.
func (p *peer) next() (queuedMessage, bool) {
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	if len(p.queue) == 0 {
		delete(p.client.peers, p.address)
		return queuedMessage{}, false
	}
	next := p.queue[0]
	p.queue = p.queue[1:]
	return next, true
}

// mergeReports adds the reports of a message to the last queued message and reports whether it did. Both must consist of
// reports only. A daemon that starts finds many servers at once and sends a message for each.
func (p *peer) mergeReports(m Message) bool {
	if !m.isReportsOnly() || len(p.queue) == 0 {
		return false
	}
	last := &p.queue[len(p.queue)-1].message
	if !last.isReportsOnly() || len(last.Reports)+len(m.Reports) > maxMergedReports {
		return false
	}
	last.Reports = append(slices.Clip(last.Reports), m.Reports...)
	return true
}

// replaceHeartbeat replaces a queued heartbeat by a newer one and reports whether it did. Both messages must be
// heartbeats only.
func (p *peer) replaceHeartbeat(ctx context.Context, m Message) bool {
	if !m.isHeartbeatOnly() {
		return false
	}
	for i := range p.queue {
		if p.queue[i].message.isHeartbeatOnly() {
			p.queue[i] = queuedMessage{ctx, m, time.Now()}
			return true
		}
	}
	return false
}

// isReportsOnly reports whether the message has reports and no other part. It doesn't check the parts from Demand to
// Feed, which are never sent together with reports.
func (m Message) isReportsOnly() bool {
	return m.Heartbeat == nil && len(m.Reports) > 0 && m.Needs == nil && m.Placement == nil && m.Verdict == nil && len(m.Forecasts) == 0
}

// isHeartbeatOnly reports whether the message has a heartbeat and no other part. It doesn't check the parts from Demand
// to Feed, which are never sent together with a heartbeat.
func (m Message) isHeartbeatOnly() bool {
	return m.Heartbeat != nil && len(m.Reports) == 0 && m.Needs == nil && m.Placement == nil && m.Verdict == nil &&
		len(m.Forecasts) == 0
}
