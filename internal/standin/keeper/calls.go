package keeper

import (
	"net/http"
	"time"

	"samphirewharf/internal/standin/responder"
)

func (k *KeyValueService) serveRange(w http.ResponseWriter, r *http.Request) {
	var request RangeRequest
	c := callKind{count: &k.counts.Range}
	if !responder.ReadJSON(w, r, &request) || !k.admit(w, c) {
		return
	}
	k.mu.Lock()
	response := k.store.findRange(request)
	response.Header = k.header()
	k.mu.Unlock()
	k.answer(w, c, response, nil)
}

func (k *KeyValueService) servePut(w http.ResponseWriter, r *http.Request) {
	var request PutRequest
	c := callKind{count: &k.counts.Put, write: true}
	if !responder.ReadJSON(w, r, &request) || !k.admit(w, c) {
		return
	}
	txn, err := k.executeTxn(TxnRequest{Success: []RequestOp{{Put: &request}}})
	k.answer(w, c, PutResponse{Header: txn.Header}, err)
}

func (k *KeyValueService) serveDeleteRange(w http.ResponseWriter, r *http.Request) {
	var request DeleteRangeRequest
	c := callKind{count: &k.counts.DeleteRange, write: true}
	if !responder.ReadJSON(w, r, &request) || !k.admit(w, c) {
		return
	}
	txn, err := k.executeTxn(TxnRequest{Success: []RequestOp{{DeleteRange: &request}}})
	response := DeleteRangeResponse{Header: txn.Header}
	if err == nil {
		response.Deleted = txn.Responses[0].DeleteRange.Deleted
	}
	k.answer(w, c, response, err)
}

func (k *KeyValueService) serveTxn(w http.ResponseWriter, r *http.Request) {
	var request TxnRequest
	if !responder.ReadJSON(w, r, &request) {
		return
	}
	c := callKind{count: &k.counts.Txn, write: request.writes()}
	if !k.admit(w, c) {
		return
	}
	response, err := k.executeTxn(request)
	k.answer(w, c, response, err)
}

func (r TxnRequest) writes() bool {
	for _, ops := range [][]RequestOp{r.Success, r.Failure} {
		for _, op := range ops {
			if op.Put != nil || op.DeleteRange != nil {
				return true
			}
		}
	}
	return false
}

func (k *KeyValueService) executeTxn(request TxnRequest) (TxnResponse, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	response, err := k.store.executeTxn(request)
	response.Header = k.header()
	for _, op := range response.Responses {
		switch {
		case op.Put != nil:
			op.Put.Header = response.Header
		case op.DeleteRange != nil:
			op.DeleteRange.Header = response.Header
		case op.Range != nil:
			op.Range.Header = response.Header
		}
	}
	return response, err
}

func (k *KeyValueService) serveGrant(w http.ResponseWriter, r *http.Request) {
	var request LeaseRequest
	c := callKind{count: &k.counts.Grant, write: true}
	if !responder.ReadJSON(w, r, &request) || !k.admit(w, c) {
		return
	}
	ttl := max(1, request.TTL)
	k.mu.Lock()
	id := k.store.grant(int64(request.ID), time.Duration(ttl)*time.Second, k.now())
	response := LeaseResponse{Header: k.header(), ID: Int64(id), TTL: ttl}
	k.mu.Unlock()
	k.answer(w, c, response, nil)
}

func (k *KeyValueService) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	var request LeaseRequest
	c := callKind{count: &k.counts.KeepAlive, write: true}
	if !responder.ReadJSON(w, r, &request) || !k.admit(w, c) {
		return
	}
	k.mu.Lock()
	now := k.now()
	k.store.expire(now)
	ttl := k.store.keepAlive(int64(request.ID), now)
	response := LeaseResponse{Header: k.header(), ID: request.ID, TTL: Int64(ttl / time.Second)}
	k.mu.Unlock()
	k.answer(w, c, KeepAliveResult{response}, nil)
}

func (k *KeyValueService) serveRevoke(w http.ResponseWriter, r *http.Request) {
	var request LeaseRequest
	c := callKind{count: &k.counts.Revoke, write: true}
	if !responder.ReadJSON(w, r, &request) || !k.admit(w, c) {
		return
	}
	k.mu.Lock()
	var err error
	if !k.store.revoke(int64(request.ID)) {
		err = errLeaseNotFound
	}
	response := LeaseResponse{Header: k.header()}
	k.mu.Unlock()
	k.answer(w, c, response, err)
}
