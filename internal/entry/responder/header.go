package responder

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"samphirewharf/internal/caller/refuser"
)

const (
	forwardedByHeader = "X-Samphirewharf-Forwarded-By"
	// refusalHeader marks a daemon's own refusals, so that a daemon that forwarded the request can distinguish them
	// from a service's responses.
	refusalHeader        = "X-Samphirewharf-Refusal"
	requestIDHeader      = "X-Request-Id"
	timeoutHeader        = "X-Request-Timeout-Ms"
	resumeHeader         = "X-Resume-From"
	replicaHeader        = "X-Replica"
	adapterHeader        = "X-Adapter"
	prefixHeader         = "X-Prefix-Hash"
	priorityHeader       = "Priority"
	idempotencyKeyHeader = "Idempotency-Key"

	maxRequestIDBytes = 128
	maxKeyBytes       = 255
	maxTimeout        = 24 * time.Hour
	// maxUrgentLevel is the highest urgency level of RFC 9218 that counts as urgent.
	maxUrgentLevel = 3
)

// daemonHeaders are set only by daemons and are removed from callers' requests.
var daemonHeaders = []string{replicaHeader, adapterHeader, resumeHeader, prefixHeader, forwardedByHeader, refusalHeader, timeoutHeader}

// idempotencyKey returns the key in a header, which is quoted as specified in the Idempotency-Key draft, or unquoted.
func idempotencyKey(header http.Header, name string) (string, *refuser.Refusal) {
	values := header[http.CanonicalHeaderKey(name)]
	if len(values) == 0 {
		return "", nil
	}
	key, ok := unquote(strings.TrimSpace(values[0]))
	if len(values) > 1 || !ok || !isPrintable(key, maxKeyBytes) {
		return "", &refuser.Refusal{Code: refuser.CodeIdempotencyKeyInvalid, Detail: "the header " + name + " is empty, too long, repeated or not printable"}
	}
	return key, nil
}

func invalidHeader(name string) refuser.Refusal {
	return refuser.Refusal{Code: refuser.CodeInvalidHeader, Detail: "the value of the header " + name + " is not accepted"}
}

func isPrintable(s string, limit int) bool {
	if s == "" || len(s) > limit {
		return false
	}
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// isUrgent reports whether a Priority header has an urgent level. A value that can't be parsed is ignored, as RFC 9218
// requires.
func isUrgent(header http.Header) bool {
	for member := range strings.SplitSeq(strings.Join(header.Values(priorityHeader), ","), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(member), "u=")
		if !found {
			continue
		}
		value, _, _ = strings.Cut(value, ";")
		if urgency, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && urgency >= 0 && urgency <= 7 {
			return urgency <= maxUrgentLevel
		}
	}
	return true
}

// longestPrefix returns the hash of the longest prefix as sent to engines, empty if there is none.
func longestPrefix(prefixes []uint64) string {
	if len(prefixes) == 0 {
		return ""
	}
	return strconv.FormatUint(prefixes[len(prefixes)-1], 10)
}

func methodNotAllowed(r *http.Request) refuser.Refusal {
	return refuser.Refusal{Code: refuser.CodeMethodNotAllowed, Detail: "the path " + r.URL.Path + " does not take " + r.Method}
}

func setContentLength(header http.Header, n int) { header.Set("Content-Length", strconv.Itoa(n)) }

// setOrDelete sets a header field, or deletes it if the value is empty.
func setOrDelete(header http.Header, name, value string) {
	if value == "" {
		header.Del(name)
		return
	}
	header.Set(name, value)
}

// requestTimeout returns the duration in X-Request-Timeout-Ms, zero if the header is absent, and false if it is
// invalid.
func requestTimeout(header http.Header) (time.Duration, bool) {
	text := header.Get(timeoutHeader)
	if text == "" {
		return 0, true
	}
	ms, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// unquote returns the content of a string as defined by RFC 8941, or an unquoted value as it is.
func unquote(s string) (string, bool) {
	if !strings.HasPrefix(s, `"`) {
		return s, true
	}
	if len(s) < 2 || !strings.HasSuffix(s, `"`) {
		return "", false
	}
	var b strings.Builder
	inner := s[1 : len(s)-1]
	for i := 0; i < len(inner); i++ {
		switch {
		case inner[i] == '"':
			return "", false
		case inner[i] != '\\':
		case i+1 < len(inner) && (inner[i+1] == '"' || inner[i+1] == '\\'):
			i++
		default:
			return "", false
		}
		b.WriteByte(inner[i])
	}
	return b.String(), true
}
