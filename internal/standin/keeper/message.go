package keeper

import (
	"fmt"
	"strconv"
	"strings"
)

// An Int64 is an int64 that is encoded as a JSON string, and decoded from a string or a number.
type Int64 int64

// MarshalJSON encodes the number as a string.
func (i Int64) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(i), 10) + `"`), nil
}

// UnmarshalJSON decodes a number or a string.
func (i *Int64) UnmarshalJSON(data []byte) error {
	n, err := strconv.ParseInt(strings.Trim(string(data), `"`), 10, 64)
	if err != nil {
		return fmt.Errorf("parse int64: %w", err)
	}
	*i = Int64(n)
	return nil
}

// A Header is the header of each answer.
type Header struct {
	ClusterID Int64 `json:"cluster_id"`
	MemberID  Int64 `json:"member_id"`
	Revision  Int64 `json:"revision"`
	RaftTerm  Int64 `json:"raft_term"`
}

// A KeyValue is a key with its value. Byte slices are base64 in JSON.
type KeyValue struct {
	Key            []byte `json:"key"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
	Version        Int64  `json:"version,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          Int64  `json:"lease,omitempty"`
}

// A RangeRequest is the body of /v3/kv/range.
type RangeRequest struct {
	Key       []byte `json:"key"`
	RangeEnd  []byte `json:"range_end,omitempty"`
	Limit     Int64  `json:"limit,omitempty"`
	KeysOnly  bool   `json:"keys_only,omitempty"`
	CountOnly bool   `json:"count_only,omitempty"`
}

// A RangeResponse answers a RangeRequest. KVs are ordered by key.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  Int64      `json:"count,omitempty"`
}

// A PutRequest is the body of /v3/kv/put.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease Int64  `json:"lease,omitempty"`
}

// A PutResponse answers a PutRequest.
type PutResponse struct {
	Header Header `json:"header"`
}

// A DeleteRangeRequest is the body of /v3/kv/deleterange.
type DeleteRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// A DeleteRangeResponse answers a DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  Header `json:"header"`
	Deleted Int64  `json:"deleted,omitempty"`
}

// A Compare is one condition of a transaction.
type Compare struct {
	// Result is EQUAL (also if empty), NOT_EQUAL, GREATER or LESS.
	Result string `json:"result,omitempty"`
	// Target is VERSION (also if empty), CREATE, MOD or VALUE.
	Target         string `json:"target,omitempty"`
	Key            []byte `json:"key"`
	Version        Int64  `json:"version,omitempty"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
	Value          []byte `json:"value,omitempty"`
}

// A RequestOp is one operation of a transaction. Exactly one field is set.
type RequestOp struct {
	Range       *RangeRequest       `json:"request_range,omitempty"`
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// A ResponseOp answers a RequestOp.
type ResponseOp struct {
	Range       *RangeResponse       `json:"response_range,omitempty"`
	Put         *PutResponse         `json:"response_put,omitempty"`
	DeleteRange *DeleteRangeResponse `json:"response_delete_range,omitempty"`
}

// A TxnRequest is the body of /v3/kv/txn.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// A TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// A LeaseRequest is the body of the calls below /v3/lease. TTL is in seconds.
type LeaseRequest struct {
	ID  Int64 `json:"ID,omitempty"`
	TTL Int64 `json:"TTL,omitempty"`
}

// A LeaseResponse answers a LeaseRequest. A TTL of 0 means that the lease does not exist.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     Int64  `json:"ID,omitempty"`
	TTL    Int64  `json:"TTL,omitempty"`
}

// A KeepAliveResult is one message of the stream that answers /v3/lease/keepalive.
type KeepAliveResult struct {
	Result LeaseResponse `json:"result"`
}

// A WatchCreateRequest starts a watch.
type WatchCreateRequest struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision Int64  `json:"start_revision,omitempty"`
}

// A WatchRequest is the body of /v3/watch.
type WatchRequest struct {
	Create WatchCreateRequest `json:"create_request"`
}

// An Event is one change. An empty Type is a put, DELETE a deletion.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// A WatchResponse is one part of a watch's stream.
type WatchResponse struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision Int64   `json:"compact_revision,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// A WatchResult is one message of the stream that answers /v3/watch.
type WatchResult struct {
	Result WatchResponse `json:"result"`
}

// An ErrorResponse is the answer to a call that failed. Code is the gRPC status code.
type ErrorResponse struct {
	Error   string `json:"error"`
	Message string `json:"message"`
	Code    int    `json:"code"`
}
