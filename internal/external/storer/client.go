package storer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"samphirewharf/internal/network/bounder"
	"samphirewharf/internal/network/sender"
)

const (
	defaultTimeout = 2 * time.Second
	// maxResponseBytes bounds the size of one response.
	maxResponseBytes = 32 << 20
	// errorCodeNotFound is the gRPC status code for a lease that does not exist.
	errorCodeNotFound = 5
)

// ErrCompacted is returned by watches that start at a compacted revision, whose changes are no longer available.
var ErrCompacted = errors.New("revision is compacted")

// A Client calls the key-value service. Only Address must be set. It sends each call once: after ResultUnknown, the
// caller must read the data to find out what happened.
//
// It uses net/http and not nbhttp: the client of nbhttp returns a response only when it is complete, and the response
// of a watch never ends.
type Client struct {
	// Address is the service's IP and port.
	Address string
	// Timeout bounds each call except watches; zero means two seconds.
	Timeout time.Duration

	sender sender.Sender
}

// Close closes idle connections.
func (c *Client) Close() { c.sender.Close() }

// Delete deletes a key if its revision matches.
func (c *Client) Delete(ctx context.Context, key string, revision int64) Result {
	request := txnRequest{
		Compare: []compare{modEquals(key, revision)},
		Success: []requestOp{{DeleteRange: &rangeRequest{Key: []byte(key)}}},
		Failure: []requestOp{{Range: &rangeRequest{Key: []byte(key)}}},
	}
	var response txnResponse
	result := c.call(ctx, "/v3/kv/txn", request, &response)
	if result != ResultOK || response.Succeeded {
		return result
	}
	if len(response.Responses) == 1 && response.Responses[0].Range != nil && len(response.Responses[0].Range.KVs) == 0 {
		return ResultNotFound
	}
	return ResultConflict
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (Entry, Result) {
	var response rangeResponse
	result := c.call(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &response)
	if result != ResultOK {
		return Entry{}, result
	}
	if len(response.KVs) == 0 {
		return Entry{}, ResultNotFound
	}
	return response.KVs[0].entry(), ResultOK
}

// Grant creates a lease. The TTL is rounded up to whole seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (leaseID int64, result Result) {
	seconds := (ttl + time.Second - 1) / time.Second
	var response leaseResponse
	result = c.call(ctx, "/v3/lease/grant", leaseRequest{TTL: stringInt64(seconds)}, &response)
	return int64(response.ID), result
}

// KeepAlive renews a lease. It returns false with ResultOK if the lease doesn't exist.
func (c *Client) KeepAlive(ctx context.Context, leaseID int64) (alive bool, result Result) {
	var response keepAliveResponse
	result = c.call(ctx, "/v3/lease/keepalive", leaseRequest{ID: stringInt64(leaseID)}, &response)
	return result == ResultOK && response.Result.TTL > 0, result
}

// List reads all keys with a prefix, sorted by key.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, Result) {
	entries, _, result := c.ListWithRevision(ctx, prefix)
	return entries, result
}

// ListWithRevision is like List and also returns the service's revision at that time. A watch from the next revision
// on reports all later changes. Unlike the revisions of the entries, it is never older than the last change, so that
// the watch doesn't fail with ErrCompacted.
func (c *Client) ListWithRevision(ctx context.Context, prefix string) (entries []Entry, revision int64, result Result) {
	var response rangeResponse
	request := rangeRequest{Key: prefixStart(prefix), RangeEnd: prefixEnd(prefix)}
	result = c.call(ctx, "/v3/kv/range", request, &response)
	if result != ResultOK {
		return nil, 0, result
	}
	entries = make([]Entry, len(response.KVs))
	for i, kv := range response.KVs {
		entries[i] = kv.entry()
	}
	return entries, int64(response.Header.Revision), ResultOK
}

// Revoke revokes a lease and deletes its keys. It returns ResultNotFound if the lease doesn't exist.
func (c *Client) Revoke(ctx context.Context, leaseID int64) Result {
	var response leaseResponse
	return c.call(ctx, "/v3/lease/revoke", leaseRequest{ID: stringInt64(leaseID)}, &response)
}

// Swap writes a key if its revision matches; revision 0 means that the key must not exist. A lease ID other than 0
// attaches the key to the lease; ResultNotFound then means that the lease doesn't exist and nothing changed.
func (c *Client) Swap(ctx context.Context, key string, value []byte, revision, leaseID int64) (newRevision int64, result Result) {
	request := txnRequest{
		Compare: []compare{modEquals(key, revision)},
		Success: []requestOp{{Put: &putRequest{Key: []byte(key), Value: value, Lease: stringInt64(leaseID)}}},
	}
	var response txnResponse
	result = c.call(ctx, "/v3/kv/txn", request, &response)
	if result != ResultOK {
		return 0, result
	}
	if !response.Succeeded {
		return 0, ResultConflict
	}
	return int64(response.Header.Revision), ResultOK
}

// Watch reports changes to keys with a prefix, in order, starting at a revision; 0 means only new changes. It blocks
// until the context ends or the stream breaks; it doesn't reconnect. The error wraps ErrCompacted if changes since the
// revision are no longer available. A deleted entry has no value, and its revision is that of the deletion.
func (c *Client) Watch(ctx context.Context, prefix string, fromRevision int64, report func(e Entry, deleted bool)) error {
	request := watchRequest{Create: watchCreate{
		Key:           prefixStart(prefix),
		RangeEnd:      prefixEnd(prefix),
		StartRevision: stringInt64(fromRevision),
	}}
	response, err := c.post(ctx, "/v3/watch", request)
	if err != nil {
		return fmt.Errorf("watch %s: %w", prefix, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := statusError(response); err != nil {
		return fmt.Errorf("watch %s: %w", prefix, err)
	}
	decoder := json.NewDecoder(response.Body)
	body, bounded := response.Body.(*bounder.Body)
	for {
		if bounded {
			// A watch goes on without end; each of its messages is bounded.
			body.Reset()
		}
		var message watchMessage
		if err := decoder.Decode(&message); err != nil {
			return fmt.Errorf("watch %s: %w", prefix, err)
		}
		if err := message.deliver(report); err != nil {
			return fmt.Errorf("watch %s: %w", prefix, err)
		}
	}
}

// call sends one call and decodes the response.
func (c *Client) call(ctx context.Context, path string, request, answer any) Result {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := c.post(ctx, path, request)
	if errors.Is(err, sender.ErrNotSent) {
		return ResultNotSent
	}
	if err != nil {
		return ResultUnknown
	}
	defer func() { _ = response.Body.Close() }()
	var apiErr *apiError
	if err := statusError(response); errors.As(err, &apiErr) && apiErr.Code == errorCodeNotFound {
		return ResultNotFound
	} else if err != nil {
		return ResultUnknown
	}
	body := io.LimitReader(response.Body, maxResponseBytes)
	if json.NewDecoder(body).Decode(answer) != nil {
		return ResultUnknown
	}
	// Reading to the end lets the connection be reused.
	_, _ = io.Copy(io.Discard, body)
	return ResultOK
}
