package streamer

import (
	"errors"
	"sync"
)

// ErrWithdrawn is returned for a call that was withdrawn before anything was sent.
var ErrWithdrawn = errors.New("request was withdrawn")

// A Withdrawal ends one call if nothing of its request has been sent. The zero value is ready to use.
type Withdrawal struct {
	mu        sync.Mutex
	withdrawn bool
	// reply is that of the call, nil until it starts.
	reply *Reply
}

// Withdraw ends the call, or the one that is about to start. It has no effect if a part of the request may have been sent.
func (w *Withdrawal) Withdraw() {
	w.mu.Lock()
	w.withdrawn = true
	reply := w.reply
	w.mu.Unlock()
	if reply != nil {
		reply.withdraw()
	}
}

func (w *Withdrawal) attach(r *Reply) {
	w.mu.Lock()
	w.reply = r
	withdrawn := w.withdrawn
	w.mu.Unlock()
	if withdrawn {
		r.withdraw()
	}
}
