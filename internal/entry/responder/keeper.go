package responder

import "samphirewharf/internal/decision/reducer"

// An answerBuffer stores the bytes of an answer, up to reducer.MaxStoredAnswerBytes. The zero value stores nothing.
type answerBuffer struct {
	enabled  bool
	overflow bool
	bytes    []byte
}

func (b *answerBuffer) add(p []byte) {
	if !b.enabled || b.overflow {
		return
	}
	if len(b.bytes)+len(p) > reducer.MaxStoredAnswerBytes {
		b.overflow = true
		b.bytes = nil
		return
	}
	b.bytes = append(b.bytes, p...)
}

// content returns the stored bytes: nil if the answer was too large, and not nil if it was empty.
func (b *answerBuffer) content() []byte {
	if b.overflow {
		return nil
	}
	return append([]byte{}, b.bytes...)
}
