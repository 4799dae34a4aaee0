package claimer

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// An entryKind is what an entry records.
type entryKind string

const (
	entryClaim   entryKind = "Claim"
	entryResult  entryKind = "Result"
	entryRelease entryKind = "Release"
)

// An entry is one record of a segment. The last entry of a key determines the key's state.
type entry struct {
	Kind     entryKind
	Key      string
	BodyHash uint64
	// Claim identifies the claim: DAEMON/INSTANCE/NUMBER. It is never reused.
	Claim string
	// At is the writer's wall time in Unix milliseconds.
	At          int64
	Status      int    `json:",omitempty"`
	ContentType string `json:",omitempty"`
	Body        []byte `json:",omitempty"`
	// TooLarge reports whether the answer was too large to record.
	TooLarge bool `json:",omitempty"`
}

// A header is the first line of an active segment.
type header struct {
	// Sealed holds the names of the sealed segments, oldest first.
	Sealed []string
}

// encode returns the entry as one line of a segment.
func (e entry) encode() ([]byte, error) {
	line, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode entry of claim %s: %w", e.Claim, err)
	}
	return append(line, '\n'), nil
}

// compact returns the body with only the last entry of each key, in the same order. A body that can't
// be decoded is returned unchanged.
func compact(body []byte) []byte {
	entries, err := decodeBody(body)
	if err != nil {
		return body
	}
	last := make(map[string]int, len(entries))
	for i, e := range entries {
		last[e.Key] = i
	}
	kept := make([]byte, 0, len(body))
	i := 0
	for line := range bytes.Lines(body) {
		if last[entries[i].Key] == i {
			kept = append(kept, line...)
		}
		i++
	}
	return kept
}

// encodeActive returns the value of an active segment.
func encodeActive(sealed []string, body []byte) ([]byte, error) {
	line, err := json.Marshal(header{Sealed: sealed})
	if err != nil {
		return nil, fmt.Errorf("encode header: %w", err)
	}
	value := make([]byte, 0, len(line)+1+len(body))
	value = append(value, line...)
	value = append(value, '\n')
	return append(value, body...), nil
}

// decodeActive returns the header and the body of an active segment.
func decodeActive(value []byte) (header, []byte, error) {
	line, body, found := bytes.Cut(value, []byte{'\n'})
	if !found {
		return header{}, nil, fmt.Errorf("decode active segment: header line is missing")
	}
	var h header
	if err := json.Unmarshal(line, &h); err != nil {
		return header{}, nil, fmt.Errorf("decode header: %w", err)
	}
	return h, body, nil
}

// decodeBody returns the entries of a segment's body, oldest first.
func decodeBody(body []byte) ([]entry, error) {
	var entries []entry
	for len(body) > 0 {
		line, rest, _ := bytes.Cut(body, []byte{'\n'})
		var e entry
		if err := json.Unmarshal(line, &e); err != nil {
			return nil, fmt.Errorf("decode entry: %w", err)
		}
		entries = append(entries, e)
		body = rest
	}
	return entries, nil
}
