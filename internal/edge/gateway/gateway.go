package gateway

import (
	"context"
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
	"samphirewharf/internal/decision/validator"
	"samphirewharf/internal/decision/verifier"
	"samphirewharf/internal/entry/acceptor"
	"samphirewharf/internal/entry/streamer"
	"samphirewharf/internal/fleet/matcher"
	"samphirewharf/internal/network/bounder"
	"samphirewharf/internal/network/filter"
)

const (
	// maxBufferedBytes is the size up to which an answer that isn't streamed is buffered until it is complete.
	maxBufferedBytes = 1 << 20
	// smallAnswerBytes is the size up to which an answer is buffered without room in Gateway.answers.
	smallAnswerBytes = 32 << 10
	// noConfigurationRetryDelay is the Retry-After of a daemon that has no configuration yet, or can't tell whether it is in force.
	noConfigurationRetryDelay = 500 * time.Millisecond
)

// A Gateway is the HTTP handler for callers. Set the function fields before using it.
type Gateway struct {
	// Name is the daemon's name.
	Name string
	// Open registers a request and returns the channel that receives its effects.
	Open func() (reducer.RequestID, <-chan conductor.Effect)
	// Close unregisters a request. Later effects for it are not carried out.
	Close func(reducer.RequestID)
	// Post passes an event to the conductor. It must be safe for concurrent use.
	Post func(conductor.Event)
	// Configuration returns the current configuration, nil if there is none.
	Configuration func() *matcher.Configuration
	// AwaitProofs waits while the configuration and the servers' entries may still be proved, if they are too old to act on. It reports whether
	// they aren't. It may be nil.
	AwaitProofs func(ctx context.Context) bool
	// ConfigurationProof returns as of when the configuration is known to have been the newest, and how long ago that was. It may be nil.
	ConfigurationProof func() (p verifier.Proof, age time.Duration)
	// Random returns a random number in the half-open interval [0, 1).
	Random func() float64
	// Count is called with the outcome of each request.
	Count func(Outcome)

	// AllowLine reports whether a line of a kind that callers without a key can cause may be written now, and how many were omitted
	// since the last one. It may be nil for no limit.
	AllowLine func(kind string) (omitted int, ok bool)

	Translator Translator
	Client     *streamer.Client
	Logger     *log.Logger

	// answers is what answers larger than smallAnswerBytes and events larger than streamer.SmallEventBytes take up.
	answers bounder.Budget
}

// An Outcome describes how a request ended, for metrics.
type Outcome struct {
	Kind matcher.Kind
	// Route is empty if there was none.
	Route string
	// Workspace is the name of the caller's workspace, empty for none.
	Workspace string
	Code      refuser.Code
	Status    int
	// FirstLatency is the time to the answer or its first event, TotalLatency to its end. FirstLatency is zero if there was
	// no answer.
	FirstLatency time.Duration
	TotalLatency time.Duration
	// LongestPause is the longest time between two events of a stream, zero if there were fewer than two.
	LongestPause time.Duration
	// Attempts counts the attempts at servers.
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
	proved := g.AwaitProofs == nil || g.AwaitProofs(r.Context())
	configuration := g.Configuration()
	if hasOlder(configuration, header.Forward) {
		writer.Header().Set(rejectedHeader, "1")
		g.reject(writer, header.ID, refuser.Refusal{Code: refuser.CodeNoConfiguration, RetryAfter: noConfigurationRetryDelay, Detail: "the daemon that has passed the request on has a newer one"})
		return
	}
	if configuration == nil {
		g.reject(writer, header.ID, refuser.Refusal{Code: refuser.CodeNoConfiguration, RetryAfter: noConfigurationRetryDelay})
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := configuration.Match(hostOf(r), path)
	if !ok {
		g.rejectForGood(writer, header, proved, refuser.Refusal{Code: refuser.CodeUnknownPath, Detail: "no route of " + hostOf(r) + " begins the path"})
		return
	}
	workspace, ok := authenticate(configuration, route, header.Key)
	if !ok {
		g.rejectKey(writer, header, proved)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		g.reject(writer, header.ID, refuser.Refusal{Code: refuser.CodeMalformedRequest, Detail: "the body can't be read"})
		return
	}
	x := &exchange{gateway: g, writer: writer, callerCtx: r.Context(), header: header, method: r.Method, uri: r.RequestURI, body: body, start: time.Now()}
	x.header.Forward = filter.EndToEnd(header.Forward)
	if keyed := takeKeyed(x.header.Forward); keyed || len(configuration.Workspaces) > 0 {
		g.Translator.DropCredentials(x.header.Forward)
	}
	x.delegatedBy = takeDelegator(x.header.Forward)
	origin := takeOrigin(x.header.Forward)
	x.host = r.Host
	x.arrived = newRequestArrived(header, route.WithPriorityOf(workspace), configuration.Version, r, body)
	x.arrived.Workspace = workspace.Name
	x.arrived.Service = route.PickService(g.Random())
	if x.arrived.Delegated = x.delegatedBy != ""; x.arrived.Delegated {
		x.arrived.Origin = origin
	}
	if x.position, ok = g.positionOf(x, configuration); !ok {
		g.reject(writer, header.ID, refuser.Refusal{Code: refuser.CodeMalformedRequest, Detail: "the last event's ID is not the number of an event"})
		return
	}
	x.id, x.effects = g.Open()
	defer g.Close(x.id)
	x.run()
}

// positionOf returns what the caller has of a stream. It returns false if the route may be resumed and the caller names no event.
func (g *Gateway) positionOf(x *exchange, c *matcher.Configuration) (position validator.Position, ok bool) {
	if x.arrived.Route.Kind != matcher.KindStream {
		return position, true
	}
	numbered := c.NumbersEvents(x.arrived.Service)
	if numbered {
		position = position.WithNumbers(g.Translator.FirstEventID)
	}
	if x.header.LastEventID == "" {
		return position, true
	}
	last, ok := validator.ParseNumber(x.header.LastEventID)
	if ok && (numbered || last > 0) {
		position = position.WithLast(last)
	}
	return position, ok || !x.arrived.Route.Resumable
}

// newRequestArrived returns the event for a request. The caller sets Request and Service.
func newRequestArrived(h RequestHeader, route matcher.Route, version int64, r *http.Request, body []byte) conductor.RequestArrived {
	e := conductor.RequestArrived{
		ID: h.ID, Route: route, Version: version, Model: h.Model, Adapter: h.Adapter,
		InputTokens: h.InputTokens, OutputTokens: h.OutputTokens, Parts: h.PromptParts, TimeLimit: h.TimeLimit,
		Resumes: h.LastEventID != "", OriginID: h.OriginID,
	}
	if e.TimeLimit <= 0 {
		e.TimeLimit = route.Timeout
	}
	e.Fingerprint = fingerprint(r, body)
	return e
}

// fingerprint returns a hash of the method, host, URI and body. It is the same for retries of a request, which have
// different IDs.
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

// reject refuses a request without passing it to the conductor.
func (g *Gateway) reject(w *acceptor.Writer, id string, refusal refuser.Refusal) {
	g.logRejection(id, refusal)
	g.Count(Outcome{Code: refusal.Code, Status: refusal.Code.HTTPStatus()})
	g.writeRefusal(w, refusal)
}

// rejectForGood refuses a request for what the configuration says. Callers don't repeat it, so a daemon that can't tell whether its
// configuration is in force asks them to try again.
func (g *Gateway) rejectForGood(w *acceptor.Writer, header RequestHeader, proved bool, refusal refuser.Refusal) {
	if !proved {
		if header.Forward.Get(delegatorHeader) != "" {
			w.Header().Set(rejectedHeader, "1")
		}
		refusal = refuser.Refusal{Code: refuser.CodeConfigurationUnproved, RetryAfter: noConfigurationRetryDelay, Detail: refusal.Detail}
	}
	g.reject(w, header.ID, refusal)
}

// logRejection logs a refusal. Of those of requests without a valid key it logs some a second, since anyone can send them.
func (g *Gateway) logRejection(id string, refusal refuser.Refusal) {
	omitted := 0
	if refusal.Code == refuser.CodeUnauthenticated && g.AllowLine != nil {
		var ok bool
		if omitted, ok = g.AllowLine(refusal.Code.String()); !ok {
			return
		}
	}
	line := g.Logger.Info().Str("Request", id).Str("Action", "Reject").Str("Reason", refusal.Code.String()).Str("Detail", refusal.Detail)
	if configuration := g.Configuration(); configuration != nil && g.ConfigurationProof != nil {
		proof, age := g.ConfigurationProof()
		line = line.Int64("Configuration", configuration.Version).Str("Source", proof.Source).Int64("ProvedMs", age.Milliseconds())
	}
	if omitted > 0 {
		line = line.Int("Omitted", omitted)
	}
	line.Msg("request")
}

func (g *Gateway) writeRefusal(w *acceptor.Writer, refusal refuser.Refusal) {
	body := refusal.Problem()
	refusal.SetHeader(w.Header())
	if refusal.RetryAfter > 0 {
		// Callers of a platform accept fractions of a second.
		w.Header().Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	g.logCallerLeft(w.WriteWhole(refusal.Code.HTTPStatus(), body))
}

// logCallerLeft logs the error of an answer that the caller left without reading.
func (g *Gateway) logCallerLeft(err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) {
		g.Logger.Debug().Err(err).Msg("caller left before its answer")
	}
}
