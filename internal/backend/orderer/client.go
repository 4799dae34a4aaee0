package orderer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"samphirewharf/internal/network/sender"
)

const (
	defaultTimeout = 2 * time.Second
	// maxReportBytes bounds the response of an engine.
	maxReportBytes = 4 << 20
)

// RefusedStaleFence is the value of Refusal.Refused for an order with a stale fencing token.
const RefusedStaleFence = "StaleFence"

// A Refusal is an engine's response to an order that it refuses.
type Refusal struct {
	// Refused is the reason, never empty.
	Refused string
	// Fence is the engine's fencing token, if it checks them.
	Fence int64 `json:",omitempty"`
}

// A Client polls engines and sends them orders. The zero value is ready to use.
type Client struct {
	// Timeout bounds each call; zero means two seconds.
	Timeout time.Duration

	sender sender.Sender
}

// Close closes idle connections.
func (c *Client) Close() { c.sender.Close() }

// Poll reads the state of the engine at an IP and port. The report has Checkpoints only if their version differs from
// the given one.
func (c *Client) Poll(ctx context.Context, address string, checkpointsVersion int64) (Report, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	target := "http://" + address + "/control/state?Checkpoints=" + strconv.FormatInt(checkpointsVersion, 10)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return Report{}, fmt.Errorf("poll %s: %w", address, err)
	}
	status, body, err := c.do(r)
	if err != nil {
		return Report{}, fmt.Errorf("poll %s: %w", address, err)
	}
	if status != http.StatusOK {
		return Report{}, fmt.Errorf("poll %s: status %d", address, status)
	}
	var report Report
	if err := json.Unmarshal(body, &report); err != nil {
		return Report{}, fmt.Errorf("poll %s: %w", address, err)
	}
	return report, nil
}

// Send sends an order once to the engine at an IP and port. The returned fence is the engine's fencing token if the
// outcome is OutcomeStaleFence. Any response that doesn't clearly come from the engine, such as an error status
// without a Refusal, is OutcomeUnknown.
func (c *Client) Send(ctx context.Context, address string, order Order) (outcome Outcome, fence int64) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return OutcomeNotSent, 0
	}
	target := "http://" + address + "/control/orders"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return OutcomeNotSent, 0
	}
	r.Header.Set("Content-Type", "application/json")
	status, answer, err := c.do(r)
	if errors.Is(err, sender.ErrNotSent) {
		return OutcomeNotSent, 0
	}
	if err != nil {
		return OutcomeUnknown, 0
	}
	return parseOutcome(status, answer)
}

func parseOutcome(status int, answer []byte) (outcome Outcome, fence int64) {
	if status == http.StatusOK || status == http.StatusAccepted {
		return OutcomeAccepted, 0
	}
	var refusal Refusal
	if json.Unmarshal(answer, &refusal) != nil || refusal.Refused == "" {
		return OutcomeUnknown, 0
	}
	if refusal.Refused == RefusedStaleFence {
		return OutcomeStaleFence, refusal.Fence
	}
	return OutcomeRefused, 0
}

func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.Timeout == 0 {
		return context.WithTimeout(ctx, defaultTimeout)
	}
	return context.WithTimeout(ctx, c.Timeout)
}

// do sends a request once and reads the complete response.
func (c *Client) do(r *http.Request) (status int, body []byte, err error) {
	response, err := c.sender.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	return response.StatusCode, body, err
}
