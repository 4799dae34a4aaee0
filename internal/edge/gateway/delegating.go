package gateway

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/fleet/matcher"
)

// The header fields between daemons, on requests that one without links to the servers has passed on to another one.
const (
	// daemonFieldPrefix begins the names of all of them.
	daemonFieldPrefix = "Samphirewharf-"
	// delegatorHeader holds the name of the daemon that has passed a request on.
	delegatorHeader = "Samphirewharf-Delegated-By"
	// serverHeader names the server that has answered, as ID and start of its incarnation, so that the daemon in between learns
	// what the server asks for in its answer.
	serverHeader = "Samphirewharf-Server"
	// originHeader holds the software version, escaped as in a query, that a stream is bound to: of a request that is passed on, or of
	// the server that has answered.
	originHeader = "Samphirewharf-Origin"
	// rejectedHeader marks the refusal of a daemon that can't serve the requests of others, which didn't run the request.
	rejectedHeader = "Samphirewharf-Rejected"
	// keyedHeader marks a request with the key of a workspace, which a daemon whose configuration has no workspaces yet must not
	// pass on to a server.
	keyedHeader = "Samphirewharf-Keyed"
	// versionHeader holds the version of the configuration by which a request was passed on.
	versionHeader = "Samphirewharf-Configuration"
)

// takeDelegator returns the daemon that has passed a request on, and removes its name from the header that servers get.
func takeDelegator(header http.Header) string {
	name := header.Get(delegatorHeader)
	header.Del(delegatorHeader)
	header.Del(versionHeader)
	return name
}

// hasOlder reports whether a configuration is older than the one by which another daemon has passed a request on. It may be nil.
func hasOlder(c *matcher.Configuration, header http.Header) bool {
	if header.Get(delegatorHeader) == "" {
		return false
	}
	version, err := strconv.ParseInt(header.Get(versionHeader), 10, 64)
	return c == nil || err == nil && c.Version < version
}

// takeKeyed reports whether a request has the key of a workspace according to another daemon, and removes the mark.
func takeKeyed(header http.Header) bool {
	keyed := header.Get(keyedHeader) != ""
	header.Del(keyedHeader)
	return keyed
}

// takeServer returns the server that has answered another daemon, and removes it from the header that callers get. It returns an
// empty ID if the daemon has answered itself.
func takeServer(header http.Header) (id string, startedAt int64) {
	id, start, _ := strings.Cut(header.Get(serverHeader), " ")
	header.Del(serverHeader)
	startedAt, err := strconv.ParseInt(start, 10, 64)
	if err != nil {
		return "", 0
	}
	return id, startedAt
}

// setOrigin names the software version that a stream is bound to, if it is known.
func setOrigin(header http.Header, origin conductor.Origin) {
	if origin.Known {
		header.Set(originHeader, url.QueryEscape(origin.SoftwareVersion))
	}
}

// takeOrigin returns the software version that another daemon names, and removes it from the header.
func takeOrigin(header http.Header) conductor.Origin {
	values, ok := header[originHeader]
	header.Del(originHeader)
	if !ok {
		return conductor.Origin{}
	}
	version, err := url.QueryUnescape(values[0])
	return conductor.Origin{SoftwareVersion: version, Known: err == nil}
}

// setDelegator sets the header of a request that is passed on to another daemon.
func (a *attempt) setDelegator(header http.Header, attempt *AttemptHeader) {
	header.Set(delegatorHeader, a.exchange.gateway.Name)
	header.Set(versionHeader, strconv.FormatInt(a.exchange.arrived.Version, 10))
	setOrigin(header, a.send.Origin)
	attempt.Server, attempt.Workspace = "", ""
	if a.exchange.arrived.Workspace != "" {
		attempt.Key = a.exchange.header.Key
		header.Set(keyedHeader, "1")
	}
	if attempt.Resuming {
		attempt.OriginID = a.exchange.header.OriginID
		if attempt.OriginID == "" {
			attempt.OriginID = a.exchange.header.ID
		}
	}
}

// nameServer tells a daemon that has passed the request on which server answers.
func (a *attempt) nameServer() {
	if x := a.exchange; x.delegatedBy != "" {
		x.writer.Header().Set(serverHeader, a.server+" "+strconv.FormatInt(a.startedAt, 10))
		setOrigin(x.writer.Header(), a.origin)
	}
}

// markRejection marks the refusal of a request that another daemon has passed on, if a third one may serve it.
func (x *exchange) markRejection(e conductor.Refuse) {
	if x.delegatedBy != "" && !e.MayHaveRun && (e.Reason == conductor.RefusedLink || e.Reason == conductor.RefusedStopping) {
		x.writer.Header().Set(rejectedHeader, "1")
	}
}
