// Package gateway serves callers' requests on hosts of a platform. It finds the route of a request, carries out the
// conductor's effects for it, and streams the server's answer to the caller.
package gateway

import (
	"net/http"
	"time"

	"samphirewharf/internal/decision/conductor"
)

// A Translator reads and writes the platform's header fields of requests and answers.
type Translator struct {
	// ReadHeader reads a caller's header.
	ReadHeader func(r *http.Request) RequestHeader
	// SetHeader sets the header fields of a request to a server.
	SetHeader func(header http.Header, attempt AttemptHeader)
	// DropCredentials removes a caller's key and workspace from the header of a request. It is not called in a deployment without
	// workspaces, where the fields have no meaning to a daemon.
	DropCredentials func(header http.Header)
	// Classify returns why the server with the given ID didn't run a request, according to its answer.
	Classify func(status int, header http.Header, server string) conductor.Cause
	// Valid reports whether an answer was made by the server for the request with the given ID.
	Valid func(status int, header http.Header, id string) bool
	// NotRun reports whether an answer states that the server didn't run the request.
	NotRun func(status int, header http.Header) bool
	// PromisesNotRun reports whether an answer's status tells callers that the request has not run and never will.
	PromisesNotRun func(status int) bool
	// ReadAdvice returns what a server asks for in the header of an answer.
	ReadAdvice func(status int, header http.Header) conductor.Advice
	// IdentityHeader is the name of the header field with the request's ID.
	IdentityHeader string
	// FirstEventID is the number of a stream's first event.
	FirstEventID int
	// Challenge names the scheme of keys, for callers without a valid one.
	Challenge string
}

// A RequestHeader is the parsed header of a caller's request.
type RequestHeader struct {
	// ID is the caller's name for the request. A caller that retries uses another ID for each of its attempts.
	ID string
	// TimeLimit bounds the time until the whole answer; zero means that the caller set no limit.
	TimeLimit    time.Duration
	Model        string
	Adapter      string
	InputTokens  int
	OutputTokens int
	PromptParts  []conductor.PromptPart
	// LastEventID is the ID of the last event that the caller has of a stream that it resumes.
	LastEventID string
	// OriginID is the ID of the caller's attempt that brought the first event of that stream.
	OriginID string
	// Key is the caller's key, nil if there is none or it is malformed. It must not be logged or passed on to a server.
	Key []byte
	// Forward holds the fields to pass on to the server, without those that only the system may set.
	Forward http.Header
}

// An AttemptHeader holds the values of header fields that the gateway sets for one attempt at a server.
type AttemptHeader struct {
	// Server is empty if another daemon chooses it.
	Server    string
	TimeLimit time.Duration
	// Priority orders requests at an engine, 0 first; a negative priority is not sent.
	Priority int
	// LastEventID is the ID of the last event that the caller has, if the stream is resumed.
	LastEventID string
	// Resuming reports whether the caller already has a part of the answer, whose header is FirstHeader.
	Resuming    bool
	FirstHeader http.Header
	// OriginID is the ID of the caller's attempt that brought the first event, set if another daemon resumes the stream.
	OriginID string
	// Workspace is the name of the caller's workspace, empty for none.
	Workspace string
	// Key is the caller's key, set if another daemon serves the request of a workspace.
	Key []byte
}
