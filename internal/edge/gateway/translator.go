// Package gateway serves callers' requests on hosts of a platform: it finds a request's route, carries out the
// conductor's effects for it, and passes the server's answer on as it comes.
package gateway

import (
	"net/http"
	"time"

	"samphirewharf/internal/decision/conductor"
)

// A Translator reads and writes the platform's fields of requests and answers.
type Translator struct {
	// Read reads a caller's header.
	ReadHeader func(r *http.Request) RequestHeader
	// Address sets the fields that a request carries to a server.
	SetHeader func(header http.Header, s AttemptHeader)
	// Classify tells why the server with the ID didn't run a request, by its answer.
	Classify func(status int, header http.Header, server string) conductor.Cause
	// Genuine tells that an answer is the server's own to the request with the ID.
	Valid func(status int, header http.Header, id string) bool
	// NotRun tells from an answer that the server didn't run the request.
	NotRun func(status int, header http.Header) bool
	// IdentityHeader is the field that names a request.
	IdentityHeader string
}

// A RequestHeader is what a caller's header says of its request.
type RequestHeader struct {
	// ID is the caller's name for the request; each of its attempts has another.
	ID string
	// Patience is how long the caller waits; zero means that it didn't say.
	TimeLimit    time.Duration
	Model        string
	Adapter      string
	InputTokens  int
	OutputTokens int
	PromptParts  []conductor.PromptPart
	// LastEvent names the last event that the caller has of a stream which it resumes.
	LastEventID string
	// Forward are the fields to pass on, without those that only the system sets.
	Forward http.Header
}

// A AttemptHeader is what a request to a server says besides what the caller said.
type AttemptHeader struct {
	Server    string
	TimeLimit time.Duration
	// Priority orders requests at an engine, 0 first; negative means that it isn't told.
	Priority int
	// LastEvent names the last event that the caller has, if the stream is resumed.
	LastEventID string
	// Resuming tells that the caller has a part of the answer, whose header is First.
	Resuming    bool
	FirstHeader http.Header
}
