package messenger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/twitchtv/twirp"

	"samphirewharf/internal/network/bounder"
	"samphirewharf/internal/network/dialer"
	"samphirewharf/internal/network/inspector"
)

const (
	// DefaultTimeout is the time limit for the delivery of one small message. A large one has the time in addition that it takes at
	// minDeliveryRate bytes a second, which is a fifth of a link of 10 Mbit/s.
	DefaultTimeout  = 500 * time.Millisecond
	minDeliveryRate = 250_000
	// DefaultQueueLimit is the number of messages that may be queued for one daemon.
	DefaultQueueLimit = 32
	// maxAnswerBytes bounds an answer of another daemon, the largest of which is a compressed configuration.
	maxAnswerBytes = 8 << 20
)

// ErrQueueFull means that a daemon receives messages more slowly than they are sent to it.
var ErrQueueFull = errors.New("message queue is full")

// A Client sends messages to other daemons, with a queue for each daemon. The zero value is ready to use.
type Client struct {
	// Timeout is the time limit for the delivery of one small message; zero means DefaultTimeout.
	Timeout time.Duration
	// QueueLimit is the number of messages that may be queued for one daemon; zero means DefaultQueueLimit.
	QueueLimit int
	// Transport sends the requests; nil means by TCP.
	Transport http.RoundTripper
	// OnSent is called after each message that was sent. It may be nil.
	OnSent func(d Delivery)
	// Logger is the logger; nil means log.DefaultLogger.
	Logger *log.Logger

	once sync.Once

	mu sync.Mutex
	// peers are the daemons with queued or pending messages, by address.
	peers map[string]*peer
}

// A Delivery is the outcome of sending one message.
type Delivery struct {
	// Address is that of the receiver.
	Address string
	Message Message
	// Size is the encoded size in bytes.
	Size int
	// Duration is the time from queueing to the answer or the error.
	Duration time.Duration
	// Err is not nil if the message may not have arrived.
	Err error
}

// Do sends a request without the header fields that daemons don't need. It is called by the twirp client only.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	c.once.Do(c.initTransport)
	r.Header.Set("User-Agent", "")
	r.Header.Del("Accept")
	response, err := c.Transport.RoundTrip(r)
	if err != nil {
		return nil, fmt.Errorf("send to daemon: %w", err)
	}
	response.Body = bounder.NewBody(response.Body, maxAnswerBytes)
	return response, nil
}

// FetchConfiguration returns the configuration in force at a daemon: its version, and its chunks if it is newer than
// haveVersion.
func (c *Client) FetchConfiguration(ctx context.Context, address string, haveVersion int64) (int64, [][]byte, error) {
	reply, err := c.messenger(address).FetchConfiguration(ctx, &ConfigurationRequest{HaveVersion: haveVersion})
	if err != nil {
		return 0, nil, fmt.Errorf("fetch configuration from %s: %w", address, err)
	}
	return reply.GetVersion(), reply.GetChunks(), nil
}

// Send queues a message for the daemon at the address. A heartbeat replaces one that is still queued, and reports are
// merged into queued ones. The error is ErrQueueFull, or the context's. A message whose context ends while it is queued
// is dropped; lost messages are logged.
func (c *Client) Send(ctx context.Context, address string, m Message) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("send message to %s: %w", address, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[address]
	if ok && p.replaceHeartbeat(ctx, m) {
		return nil
	}
	if ok && p.mergeReports(m) {
		return nil
	}
	if ok && len(p.queue) >= c.queueLimit() {
		return fmt.Errorf("send message to %s: %w", address, ErrQueueFull)
	}
	if ok {
		p.queue = append(p.queue, queuedMessage{ctx, m, time.Now()})
		return nil
	}
	if c.peers == nil {
		c.peers = make(map[string]*peer)
	}
	p = &peer{client: c, address: address, queue: []queuedMessage{{ctx, m, time.Now()}}}
	c.peers[address] = p
	go p.run()
	return nil
}

func (c *Client) logger() *log.Logger {
	if c.Logger == nil {
		return &log.DefaultLogger
	}
	return c.Logger
}

func (c *Client) messenger(address string) Messenger {
	return NewMessengerProtobufClient("http://"+address, c, twirp.WithClientPathPrefix(PathPrefix))
}

func (c *Client) queueLimit() int {
	if c.QueueLimit > 0 {
		return c.QueueLimit
	}
	return DefaultQueueLimit
}

func (c *Client) initTransport() {
	if c.Transport != nil {
		return
	}
	c.Transport = newTransport(dialer.Dialer{}.Dial)
}

// newTransport returns a Transport whose connections are opened by a function.
func newTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) http.RoundTripper {
	return inspector.NewTransport(&http.Transport{
		DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: bounder.MaxHeaderBytes, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute,
	})
}

// timeout returns the time limit for the delivery of a message of a size in bytes.
func (c *Client) timeout(size int) time.Duration {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	return timeout + time.Duration(size)*time.Second/minDeliveryRate
}
