package responder

import "samphirewharf/internal/decision/reducer"

// An answerBuffer stores the bytes of an answer, up to reducer.MaxStoredAnswerBytes. The zero value stores nothing.
type answerBuffer struct {
	enabled  bool
	overflow bool
	bytes    []byte
}

func (k *answerBuffer) add(p []byte) {
	if !k.enabled || k.overflow {
		return
	}
	if len(k.bytes)+len(p) > reducer.MaxStoredAnswerBytes {
		k.overflow = true
		k.bytes = nil
		return
	}
	k.bytes = append(k.bytes, p...)
}

// content returns the stored bytes: nil if the answer was too large, and not nil if it was empty.
func (k *answerBuffer) content() []byte {
	if k.overflow {
		return nil
	}
	return append([]byte{}, k.bytes...)
}
