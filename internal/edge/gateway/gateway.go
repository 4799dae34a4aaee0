package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/entry/acceptor"
	"samphirewharf/internal/entry/streamer"
	"samphirewharf/internal/fleet/matcher"
	"samphirewharf/internal/network/filter"
)

const (
	// maxBufferedBytes is the size up to which an answer that isn't streamed is held back until it is whole.
	maxBufferedBytes = 1 << 20
	// startRetry is when a daemon that has no configuration yet is worth asking again.
	noConfigurationRetryDelay = 500 * time.Millisecond
)

// A Gateway is the handler of callers' connections. Set the function fields before it is used.
type Gateway struct {
	// Open begins a request and returns the channel that its effects come on.
	Open func() (reducer.RequestID, <-chan conductor.Effect)
	// Close ends a request. Effects that come later have nobody to carry them out.
	Close func(reducer.RequestID)
	// Post passes an event to the conductor. It is called by many goroutines at once.
	Post func(conductor.Event)
	// Configuration returns the one in force, nil if there is none.
	Configuration func() *matcher.Configuration
	// Draw returns a random number from 0 up to but not including 1.
	Random func() float64
	// Count is told of each answer.
	Count func(Outcome)

	Translator Translator
	Client     *streamer.Client
	Logger     *log.Logger
}

// An Outcome is how a request ended, for metrics.
type Outcome struct {
	Kind matcher.Kind
	// Route is empty if there was none.
	Route  string
	Code   refuser.Code
	Status int
	// First is the time to the answer or its first event, Total to its end; First is zero if there was no answer.
	FirstLatency time.Duration
	TotalLatency time.Duration
	// Pause is the longest between two events of a stream, zero if there were fewer than two.
	LongestPause time.Duration
	// Attempts is how many servers the request was sent to.
	Attempts int
}

// ServeHTTP answers one request. The writer must be an *acceptor.Writer.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	writer, ok := w.(*acceptor.Writer)
	if !ok {
		http.Error(w, "unexpected server", http.StatusInternalServerError)
		return
	}
	header := g.Translator.ReadHeader(r)
	if header.ID != "" {
		writer.Header().Set(g.Translator.IdentityHeader, header.ID)
	}
	configuration := g.Configuration()
	if configuration == nil {
		g.reject(writer, header.ID, refuser.Refusal{Code: refuser.CodeNoConfiguration, RetryAfter: noConfigurationRetryDelay})
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := configuration.Match(hostOf(r), path)
	if !ok {
		g.reject(writer, header.ID, refuser.Refusal{Code: refuser.CodeUnknownPath, Detail: "no route of " + hostOf(r) + " begins the path"})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		g.reject(writer, header.ID, refuser.Refusal{Code: refuser.CodeMalformedRequest, Detail: "the body can't be read"})
		return
	}
	x := &exchange{gateway: g, writer: writer, callerCtx: r.Context(), header: header, method: r.Method, uri: r.RequestURI, body: body, start: time.Now()}
	x.header.Forward = filter.EndToEnd(header.Forward)
	x.host = r.Host
	x.arrived = newRequestArrived(header, route, configuration.Version, r, body)
	x.arrived.Service = route.PickService(g.Random())
	x.id, x.effects = g.Open()
	defer g.Close(x.id)
	x.run()
}

// newRequestArrived returns the event for a request, but for its number and service.
func newRequestArrived(h RequestHeader, route matcher.Route, version int64, r *http.Request, body []byte) conductor.RequestArrived {
	e := conductor.RequestArrived{
		ID: h.ID, Route: route, Version: version, Model: h.Model, Adapter: h.Adapter,
		InputTokens: h.InputTokens, OutputTokens: h.OutputTokens, Parts: h.PromptParts, TimeLimit: h.TimeLimit,
	}
	if e.TimeLimit <= 0 {
		e.TimeLimit = route.Timeout
	}
	e.Fingerprint = fingerprint(r, body)
	return e
}

// fingerprint is equal for requests that ask the same of the same path.
func fingerprint(r *http.Request, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(r.Method + " " + r.Host + r.RequestURI + "\n")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

// reject answers a request that the conductor never sees.
func (g *Gateway) reject(w *acceptor.Writer, id string, refusal refuser.Refusal) {
	g.Logger.Info().Str("Request", id).Str("Action", "Reject").Str("Reason", refusal.Code.String()).Str("Detail", refusal.Detail).Msg("request")
	g.Count(Outcome{Code: refusal.Code, Status: refusal.Code.HTTPStatus()})
	g.writeRefusal(w, refusal)
}

func (g *Gateway) writeRefusal(w *acceptor.Writer, refusal refuser.Refusal) {
	body := refusal.Problem()
	refusal.SetHeader(w.Header())
	if refusal.RetryAfter > 0 {
		// Callers of a platform wait for fractions of a second too.
		w.Header().Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	g.logCallerLeft(w.WriteWhole(refusal.Code.HTTPStatus(), body))
}

// logCallerLeft logs that a caller left before its answer.
func (g *Gateway) logCallerLeft(err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) {
		g.Logger.Debug().Err(err).Msg("caller left before its answer")
	}
}
