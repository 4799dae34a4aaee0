package responder

import (
	"encoding/json"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/url"
	"path"
	"strings"

	"github.com/cespare/xxhash/v2"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/network/filter"
)

// A readFunc completes an inbound request from its path and body.
type readFunc func(in *inbound, r *http.Request, catalog *cataloger.Catalog) *refuser.Refusal

// An inbound is a caller's request, validated and copied, since nbhttp reuses its buffers.
type inbound struct {
	// event is the event to post, without the request's ID.
	event reducer.RequestArrived
	// path is the caller's path with the query; serverPath is the path to send to a backend server.
	path       string
	serverPath string
	// header is the caller's header without hop-by-hop fields.
	header http.Header
	body   []byte
}

// A modelRequest has the members of a completion request that the daemon uses.
type modelRequest struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages []modelMessage  `json:"messages"`
}

type modelMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// newInbound reads the parts that all requests have in common.
func newInbound(r *http.Request, id string) (*inbound, *refuser.Refusal) {
	limit, ok := requestTimeout(r.Header)
	if !ok {
		refusal := invalidHeader(timeoutHeader)
		return nil, &refusal
	}
	if !r.ProtoAtLeast(1, 1) {
		return nil, &refuser.Refusal{Code: refuser.CodeMalformedRequest, Detail: "HTTP/1.1 is required"}
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, &refuser.Refusal{Code: refuser.CodeMalformedRequest, Detail: "the body can't be read"}
	}
	in := &inbound{path: r.URL.RequestURI(), header: filter.EndToEnd(r.Header), body: body}
	in.serverPath = in.path
	in.header.Set(requestIDHeader, id)
	in.event = reducer.RequestArrived{
		ID:          id,
		Method:      r.Method,
		Urgent:      isUrgent(r.Header),
		Timeout:     limit,
		BodyHash:    bodyHash(r.Method, in.path, body),
		ForwardedBy: r.Header.Get(forwardedByHeader),
	}
	for _, name := range daemonHeaders {
		in.header.Del(name)
	}
	return in, nil
}

func readModelRequest(in *inbound, r *http.Request, catalog *cataloger.Catalog) *refuser.Refusal {
	if refusal := checkContent(r.Header); refusal != nil {
		return refusal
	}
	var request modelRequest
	if err := json.Unmarshal(in.body, &request); err != nil {
		return &refuser.Refusal{Code: refuser.CodeMalformedRequest, Detail: "the body is not the JSON expected: " + err.Error()}
	}
	if request.Model == "" {
		return &refuser.Refusal{Code: refuser.CodeMalformedRequest, Detail: "the body has no member \"model\""}
	}
	if _, ok := catalog.Target(request.Model); !ok {
		return unknownTarget("deployment or adapter", request.Model)
	}
	key, refusal := idempotencyKey(r.Header, idempotencyKeyHeader)
	if refusal != nil {
		return refusal
	}
	// Events are parsed while they are relayed, so they must not be compressed.
	in.header.Del("Accept-Encoding")
	in.event.Target = request.Model
	in.event.Path = r.URL.Path
	in.event.Stream = request.Stream
	in.event.Key = key
	in.event.Prefixes = prefixes(request)
	return nil
}

func readPlainRequest(in *inbound, r *http.Request, catalog *cataloger.Catalog) *refuser.Refusal {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, servicesPrefix), "/")
	service, ok := catalog.Service(name)
	if !ok || service.Kind != cataloger.KindPlain {
		return unknownTarget("plain service", name)
	}
	if !isCanonical(r.URL, servicesPrefix+name) {
		return &refuser.Refusal{Code: refuser.CodeMalformedRequest, Detail: "the path has dot segments, empty segments or an escaped service name"}
	}
	header := service.IdentityHeader
	if header == "" {
		header = idempotencyKeyHeader
	}
	key, refusal := idempotencyKey(r.Header, header)
	if refusal != nil {
		return refusal
	}
	in.serverPath = pathBelow(in.path, servicesPrefix+name)
	in.event.Target = name
	in.event.Plain = true
	in.event.Path = pathBelow(r.URL.Path, servicesPrefix+name)
	in.event.Key = key
	return nil
}

// pathBelow returns a path without a prefix, starting with a slash.
func pathBelow(path, prefix string) string {
	rest := strings.TrimPrefix(path, prefix)
	if !strings.HasPrefix(rest, "/") {
		return "/" + rest
	}
	return rest
}

func bodyHash(method, path string, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(method)
	_, _ = digest.WriteString(" " + path + "\n")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// curlDefaultType is the content type that curl -d sends by default. The body must be JSON nevertheless.
const curlDefaultType = "application/x-www-form-urlencoded"

func checkContent(header http.Header) *refuser.Refusal {
	if encoding := header.Get("Content-Encoding"); encoding != "" && encoding != "identity" {
		return &refuser.Refusal{Code: refuser.CodeUnsupportedEncoding, Detail: fmt.Sprintf("the encoding %q is not accepted", encoding)}
	}
	kind := header.Get("Content-Type")
	if kind == "" {
		return nil
	}
	media, _, err := mime.ParseMediaType(kind)
	if err != nil || media != "application/json" && media != curlDefaultType {
		return &refuser.Refusal{Code: refuser.CodeUnsupportedEncoding, Detail: fmt.Sprintf("the content type %q is not accepted", kind)}
	}
	return nil
}

// isCanonical reports whether the rules for requests that must not be repeated interpret a path below the prefix in
// the same way as any backend server. Some servers resolve dot segments and empty segments.
func isCanonical(u *url.URL, prefix string) bool {
	rest := pathBelow(u.Path, prefix)
	clean := path.Clean(rest)
	return strings.HasPrefix(u.EscapedPath(), prefix) && (rest == clean || rest == clean+"/")
}

func unknownTarget(kind, name string) *refuser.Refusal {
	return &refuser.Refusal{Code: refuser.CodeUnknownDeployment, Detail: fmt.Sprintf("no %s is named %q", kind, name)}
}
