package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"samphirewharf/internal/network/sender"
)

// maxErrorBytes bounds how much of an error response is read.
const maxErrorBytes = 4096

// A stringInt64 is an int64 that the service encodes as a JSON string.
type stringInt64 int64

// MarshalJSON encodes the number as a string.
func (n stringInt64) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(n), 10) + `"`), nil
}

// UnmarshalJSON decodes a string or a number.
func (n *stringInt64) UnmarshalJSON(data []byte) error {
	value, err := strconv.ParseInt(strings.Trim(string(data), `"`), 10, 64)
	if err != nil {
		return fmt.Errorf("parse number: %w", err)
	}
	*n = stringInt64(value)
	return nil
}

type header struct {
	Revision stringInt64 `json:"revision"`
}

type keyValue struct {
	Key         []byte      `json:"key"`
	Value       []byte      `json:"value"`
	ModRevision stringInt64 `json:"mod_revision"`
}

func (kv keyValue) entry() Entry {
	return Entry{Key: string(kv.Key), Value: kv.Value, Revision: int64(kv.ModRevision)}
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	KVs    []keyValue `json:"kvs"`
}

type putRequest struct {
	Key   []byte      `json:"key"`
	Value []byte      `json:"value"`
	Lease stringInt64 `json:"lease,omitempty"`
}

type compare struct {
	Result      string      `json:"result"`
	Target      string      `json:"target"`
	Key         []byte      `json:"key"`
	ModRevision stringInt64 `json:"mod_revision"`
}

func modEquals(key string, revision int64) compare {
	return compare{Result: "EQUAL", Target: "MOD", Key: []byte(key), ModRevision: stringInt64(revision)}
}

type requestOp struct {
	Range       *rangeRequest `json:"request_range,omitempty"`
	Put         *putRequest   `json:"request_put,omitempty"`
	DeleteRange *rangeRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
	Failure []requestOp `json:"failure,omitempty"`
}

type txnResponse struct {
	Header    header       `json:"header"`
	Succeeded bool         `json:"succeeded"`
	Responses []responseOp `json:"responses"`
}

type responseOp struct {
	Range *rangeResponse `json:"response_range"`
}

type leaseRequest struct {
	ID  stringInt64 `json:"ID,omitempty"`
	TTL stringInt64 `json:"TTL,omitempty"`
}

type leaseResponse struct {
	ID  stringInt64 `json:"ID"`
	TTL stringInt64 `json:"TTL"`
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
}

type watchCreate struct {
	Key           []byte      `json:"key"`
	RangeEnd      []byte      `json:"range_end,omitempty"`
	StartRevision stringInt64 `json:"start_revision,omitempty"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchMessage struct {
	Result watchResponse `json:"result"`
	Error  *apiError     `json:"error"`
}

type watchResponse struct {
	Canceled        bool         `json:"canceled"`
	CancelReason    string       `json:"cancel_reason"`
	CompactRevision stringInt64  `json:"compact_revision"`
	Events          []watchEvent `json:"events"`
}

type watchEvent struct {
	Type string   `json:"type"`
	KV   keyValue `json:"kv"`
}

// deliver reports the events of a message, or returns an error if the watch has ended.
func (m watchMessage) deliver(report func(e Entry, deleted bool)) error {
	if m.Error != nil {
		return m.Error
	}
	if m.Result.CompactRevision > 0 {
		return fmt.Errorf("%w before %d", ErrCompacted, m.Result.CompactRevision)
	}
	if m.Result.Canceled {
		return fmt.Errorf("cancelled by the service: %s", m.Result.CancelReason)
	}
	for _, e := range m.Result.Events {
		report(e.KV.entry(), e.Type == "DELETE")
	}
	return nil
}

// An apiError is the service's response to a failed call. Code is the gRPC status code.
type apiError struct {
	Status  int    `json:"-"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// Error returns the service's message with the status codes.
func (e *apiError) Error() string {
	return fmt.Sprintf("status %d, code %d: %s", e.Status, e.Code, e.Message)
}

// statusError returns the error in a response, nil if the status is 200.
func statusError(response *http.Response) error {
	if response.StatusCode == http.StatusOK {
		return nil
	}
	apiErr := &apiError{}
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if json.Unmarshal(body, apiErr) != nil {
		apiErr = &apiError{Message: string(body)}
	}
	apiErr.Status = response.StatusCode
	return apiErr
}

func (c *Client) post(ctx context.Context, path string, request any) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("post %s: %w: %w", path, sender.ErrNotSent, err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("post %s: %w: %w", path, sender.ErrNotSent, err)
	}
	r.Header.Set("Content-Type", "application/json")
	return c.sender.Stream(r, maxResponseBytes)
}

// prefixEnd returns the end of the range of keys with the prefix. A single zero byte means that the range has no end.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// prefixStart returns the start of the range of keys with the prefix. The service doesn't accept an empty key.
func prefixStart(prefix string) []byte {
	if prefix == "" {
		return []byte{0}
	}
	return []byte(prefix)
}
