package responder

import (
	"net/http"
	"strings"
	"testing"
)

func TestIsUrgent(t *testing.T) {
	tests := map[string]bool{"": true, "u=3": true, "u=4": false, "i, u=7": false, "u=0;x": true, "u=9": true, "u=x": true}
	for value, want := range tests {
		t.Run(value, func(t *testing.T) {
			assertEqual(t, "urgent", isUrgent(http.Header{"Priority": {value}}), want)
		})
	}
}

func TestIdempotencyKey(t *testing.T) {
	tests := []struct {
		value, want string
		ok          bool
	}{
		{`"a b"`, "a b", true},
		{`"a\"\\"`, `a"\`, true},
		{"bare-1", "bare-1", true},
		{`""`, "", false},
		{`"a`, "", false},
		{`"a"b"`, "", false},
		{`"a\b"`, "", false},
		{"a\x01", "", false},
		{strings.Repeat("k", maxKeyBytes+1), "", false},
	}
	for _, test := range tests {
		t.Run(test.value, func(t *testing.T) {
			got, refusal := idempotencyKey(http.Header{idempotencyKeyHeader: {test.value}}, idempotencyKeyHeader)
			assertEqual(t, "key", got, test.want)
			assertEqual(t, "accepted", refusal == nil, test.ok)
		})
	}
}

func TestPrefixes(t *testing.T) {
	shared := strings.Repeat("s", 600)
	first := prefixes(modelRequest{Model: "small", Prompt: []byte(shared + strings.Repeat("a", 600))})
	second := prefixes(modelRequest{Model: "small", Prompt: []byte(shared + strings.Repeat("b", 600))})
	other := prefixes(modelRequest{Model: "dizi", Prompt: []byte(shared)})
	assertEqual(t, "count", len(first), 3)
	assertEqual(t, "512 bytes are equal", first[1] == second[1], true)
	assertEqual(t, "1024 bytes are equal", first[2] == second[2], false)
	assertEqual(t, "models are equal", first[0] == other[0], false)
}
