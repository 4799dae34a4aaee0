// Package responder implements the callers' HTTP interface: it validates requests, carries out the effects that
// concern them and posts events.
package responder

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/entry/acceptor"
	"samphirewharf/internal/entry/streamer"
)

const (
	// DefaultMaxBufferedBytes is the default of Responder.MaxBufferedBytes.
	DefaultMaxBufferedBytes = 1 << 20
	// twirpPrefix is the path prefix of messages between daemons.
	twirpPrefix = "/twirp/"
	// servicesPrefix is followed by the name of a plain service.
	servicesPrefix = "/services/"
	// leastFirstEvent and mostFirstEvent are the numbers with which engines may begin their streams. X-Resume-From is how many events
	// the caller has, so that it says nothing of the first one's number.
	leastFirstEvent, mostFirstEvent = 0, 1
)

// A Responder is the handler of a daemon's acceptor.Server. Set the function fields before use.
type Responder struct {
	// Open opens a request and returns the channel of its effects.
	Open func() (reducer.RequestID, <-chan reducer.Effect)
	// Close closes a request. Later effects are not carried out.
	Close func(reducer.RequestID)
	// Post passes an event to the reducer. It must be safe for concurrent use.
	Post func(reducer.Event)
	// Catalog returns the configuration in force, nil if there is none.
	Catalog func() *cataloger.Catalog
	// Ready reports whether the daemon accepts requests.
	Ready func() bool
	// WriteMetrics writes the metrics page.
	WriteMetrics func(io.Writer)
	// PeerHandler handles the requests below /twirp/; nil means that there are none.
	PeerHandler http.Handler
	// Daemon is the daemon's ID, which is added to forwarded requests.
	Daemon string
	// MaxBufferedBytes is the size up to which a response that isn't streamed is buffered until it is complete; zero
	// means DefaultMaxBufferedBytes.
	MaxBufferedBytes int
	// Client sends requests to backend servers and daemons.
	Client streamer.Client
	// Logger may be nil for log.DefaultLogger.
	Logger *log.Logger
}

// ServeHTTP responds to one request. The writer must be an *acceptor.Writer.
func (h *Responder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	writer, ok := w.(*acceptor.Writer)
	if !ok {
		http.Error(w, "unexpected server", http.StatusInternalServerError)
		return
	}
	if strings.HasPrefix(r.URL.Path, twirpPrefix) && h.PeerHandler != nil {
		h.PeerHandler.ServeHTTP(w, r)
		return
	}
	id, ok := requestID(r.Header)
	writer.Header().Set("X-Request-Id", id)
	if !ok {
		h.refuse(writer, invalidHeader("X-Request-Id"))
		return
	}
	h.route(writer, r, id)
}

func (h *Responder) bufferedBytes() int {
	if h.MaxBufferedBytes > 0 {
		return h.MaxBufferedBytes
	}
	return DefaultMaxBufferedBytes
}

// exchange opens a request, runs its exchange and closes it.
func (h *Responder) exchange(w *acceptor.Writer, r *http.Request, in *inbound) {
	x := &exchange{responder: h, writer: w, inbound: in, callerCtx: r.Context()}
	x.position = x.position.WithFirst(leastFirstEvent, mostFirstEvent)
	x.id, x.effects = h.Open()
	defer h.Close(x.id)
	x.run()
}

func (h *Responder) logger() *log.Logger {
	if h.Logger == nil {
		return &log.DefaultLogger
	}
	return h.Logger
}

// refuse writes a refusal to a caller that has received nothing yet.
func (h *Responder) refuse(w *acceptor.Writer, refusal refuser.Refusal) {
	countRefusal(refusal.Code)
	body := refusal.Problem()
	refusal.SetHeader(w.Header())
	w.Header().Set(refusalHeader, refusal.Code.String())
	if err := w.WriteWhole(refusal.Code.HTTPStatus(), body); err != nil {
		h.logger().Debug().Err(err).Int("Code", int(refusal.Code)).Msg("caller disconnected before the refusal")
	}
}

func (h *Responder) route(w *acceptor.Writer, r *http.Request, id string) {
	switch path := r.URL.Path; {
	case path == "/v1/completions" || path == "/v1/chat/completions":
		h.serveModel(w, r, id)
	case strings.HasPrefix(path, servicesPrefix):
		h.servePlain(w, r, id)
	case !isPage(path):
		h.refuse(w, refuser.Refusal{Code: refuser.CodeUnknownPath, Detail: "the path " + path + " is not known"})
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		h.refuse(w, methodNotAllowed(r))
	default:
		h.servePage(w, r, id)
	}
}

func (h *Responder) serveModel(w *acceptor.Writer, r *http.Request, id string) {
	if r.Method != http.MethodPost {
		h.refuse(w, methodNotAllowed(r))
		return
	}
	h.serve(w, r, id, readModelRequest)
}

func (h *Responder) servePlain(w *acceptor.Writer, r *http.Request, id string) {
	h.serve(w, r, id, readPlainRequest)
}

func (h *Responder) serve(w *acceptor.Writer, r *http.Request, id string, read readFunc) {
	catalog := h.Catalog()
	if catalog == nil || catalog.Version() == 0 {
		h.refuse(w, refuser.Refusal{Code: refuser.CodeNoConfiguration, RetryAfter: time.Second, Detail: "the daemon has no configuration yet"})
		return
	}
	in, refusal := newInbound(r, id)
	if refusal == nil {
		refusal = read(in, r, catalog)
	}
	if refusal != nil {
		h.refuse(w, *refusal)
		return
	}
	h.exchange(w, r, in)
}

// requestID returns the caller's X-Request-Id or a new one, and false if the caller's is not accepted.
func requestID(header http.Header) (string, bool) {
	id := header.Get("X-Request-Id")
	if id == "" {
		return uuid.NewString(), true
	}
	if !isPrintable(id, maxRequestIDBytes) {
		return uuid.NewString(), false
	}
	return id, true
}
