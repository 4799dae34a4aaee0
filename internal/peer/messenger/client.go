package messenger

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"samphirewharf/internal/config/cataloger"
)

const (
	// queueLength bounds the messages that wait for one daemon; more are dropped.
	queueLength = 256
	// deliverTimeout bounds one delivery.
	deliverTimeout = time.Second
	// fetchTimeout bounds the reading of a configuration.
	fetchTimeout = 10 * time.Second
	// senderLife is how long a sender without messages is kept.
	senderLife = time.Minute
	// maxConfigurationBytes bounds the configuration that a peer may send.
	maxConfigurationBytes = 64 << 20
)

// A Client sends messages to other daemons. The zero value is ready to use.
type Client struct {
	mu      sync.Mutex
	senders map[string]*sender
	http    http.Client
}

// FetchConfiguration returns the configuration of the daemon at an address, nil if it is not newer than haveVersion.
func (c *Client) FetchConfiguration(ctx context.Context, address string, haveVersion int64) (*cataloger.Configuration, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	client := NewMessengerProtobufClient("http://"+address, &c.http)
	reply, err := client.FetchConfiguration(ctx, &ConfigurationRequest{HaveVersion: haveVersion})
	if err != nil {
		return nil, fmt.Errorf("ask for configuration: %w", err)
	}
	if reply.GetVersion() <= haveVersion {
		return nil, nil //nolint:nilnil // No newer configuration is no error.
	}
	return decodeConfiguration(reply.GetGzipJson())
}

// Post queues a message for the daemon at an address. It does not block; a message may be lost.
func (c *Client) Post(address string, m Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.senders[address]
	if !ok {
		s = &sender{owner: c, address: address, queue: make(chan Message, queueLength)}
		if c.senders == nil {
			c.senders = make(map[string]*sender)
		}
		c.senders[address] = s
		go s.run()
	}
	select {
	case s.queue <- m:
	default:
	}
}

// retire forgets a sender unless a message came in the meantime.
func (c *Client) retire(s *sender) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(s.queue) > 0 {
		return false
	}
	delete(c.senders, s.address)
	return true
}

// A sender delivers the messages for one daemon in order.
type sender struct {
	owner   *Client
	address string
	queue   chan Message
}

// run delivers messages until none came for senderLife.
func (s *sender) run() {
	client := NewMessengerProtobufClient("http://"+s.address, &s.owner.http)
	idle := time.NewTimer(senderLife)
	defer idle.Stop()
	for {
		select {
		case m := <-s.queue:
			s.deliver(client, m)
			idle.Reset(senderLife)
		case <-idle.C:
			if s.owner.retire(s) {
				return
			}
			idle.Reset(senderLife)
		}
	}
}

// deliver hands one message over; a message that fails is lost.
func (s *sender) deliver(client Messenger, m Message) {
	ctx, cancel := context.WithTimeout(context.Background(), deliverTimeout)
	defer cancel()
	_, _ = client.Deliver(ctx, newEnvelope(m))
}

func decodeConfiguration(data []byte) (*cataloger.Configuration, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	var configuration cataloger.Configuration
	if err := json.NewDecoder(io.LimitReader(reader, maxConfigurationBytes)).Decode(&configuration); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	return &configuration, nil
}
