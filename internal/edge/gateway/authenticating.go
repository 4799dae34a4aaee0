package gateway

import (
	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/entry/acceptor"
	"samphirewharf/internal/fleet/matcher"
)

// authenticate returns the workspace that has a request's key. It returns false if the route requires a key and no workspace has
// this one. On public routes and in deployments without workspaces the name of the workspace is empty.
func authenticate(c *matcher.Configuration, route matcher.Route, key []byte) (matcher.Workspace, bool) {
	if len(c.Workspaces) == 0 || route.Public {
		return matcher.Workspace{}, true
	}
	if len(key) == 0 {
		return matcher.Workspace{}, false
	}
	return c.Authenticate(key)
}

// rejectKey refuses a request without a valid key. Another daemon that has passed it on has found the key in its own version of
// the configuration, so it may ask a third daemon.
func (g *Gateway) rejectKey(w *acceptor.Writer, header RequestHeader, proved bool) {
	if header.Forward.Get(delegatorHeader) != "" {
		w.Header().Set(rejectedHeader, "1")
	}
	if proved {
		w.Header().Set("WWW-Authenticate", g.Translator.Challenge)
	}
	g.rejectForGood(w, header, proved, refuser.Refusal{Code: refuser.CodeUnauthenticated})
}
