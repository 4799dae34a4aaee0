package responder

import "samphirewharf/internal/decision/reducer"

// A keeper keeps the bytes of an answer up to reducer.MaxStoredAnswerBytes. The zero value keeps nothing.
type keeper struct {
	on       bool
	overflow bool
	bytes    []byte
}

func (k *keeper) add(p []byte) {
	if !k.on || k.overflow {
		return
	}
	if len(k.bytes)+len(p) > reducer.MaxStoredAnswerBytes {
		k.overflow = true
		k.bytes = nil
		return
	}
	k.bytes = append(k.bytes, p...)
}

// answer returns the bytes kept, not nil if the answer was empty, and nil if it was too large.
func (k *keeper) answer() []byte {
	if k.overflow {
		return nil
	}
	return append([]byte{}, k.bytes...)
}
