package responder

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"samphirewharf/internal/caller/refuser"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/decision/reducer"
	"samphirewharf/internal/entry/acceptor"
)

const jsonType = "application/json"

// An addressList is the response of GET /v1/addresses.
type addressList struct {
	Addresses              []address
	TimeToLiveMilliseconds int64
}

type address struct {
	Address          string
	AvailabilityZone string
}

// A modelList is the response of GET /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// serveAddresses responds to a lookup of the daemons to use.
func (h *Responder) serveAddresses(w *acceptor.Writer, r *http.Request) {
	query := r.URL.Query()
	target := query.Get("Deployment")
	if target == "" {
		h.refuse(w, refuser.Refusal{Code: refuser.CodeMalformedRequest, Detail: "the query has no Deployment"})
		return
	}
	id, effects := h.Open()
	defer h.Close(id)
	h.Post(reducer.AddressesAsked{Request: id, Target: target, Zone: query.Get("AvailabilityZone")})
	for {
		select {
		case <-r.Context().Done():
			return
		case effect := <-effects:
			switch e := effect.(type) {
			case reducer.Addresses:
				h.writeAddresses(w, e)
				return
			case reducer.Refuse:
				h.refuse(w, e.Refusal)
				return
			}
		}
	}
}

func (h *Responder) servePage(w *acceptor.Writer, r *http.Request, _ string) {
	switch r.URL.Path {
	case "/healthz":
		h.writeText(w, http.StatusOK, "ok\n")
	case "/readyz":
		h.writeReady(w)
	case "/metrics":
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		h.WriteMetrics(w)
	case "/v1/models":
		h.writeModels(w)
	case "/v1/addresses":
		h.serveAddresses(w, r)
	}
}

func (h *Responder) writeAddresses(w *acceptor.Writer, e reducer.Addresses) {
	list := addressList{Addresses: make([]address, 0, len(e.Addresses)), TimeToLiveMilliseconds: e.TimeToLive.Milliseconds()}
	for _, a := range e.Addresses {
		list.Addresses = append(list.Addresses, address{Address: a.Address, AvailabilityZone: a.Zone})
	}
	w.Header().Set("Cache-Control", fmt.Sprintf("max-age=%d", int64(e.TimeToLive/time.Second)))
	h.writeJSON(w, list)
}

func (h *Responder) writeJSON(w *acceptor.Writer, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		h.logger().Error().Err(err).Msg("could not encode the response")
		w.Abort()
		return
	}
	w.Header().Set("Content-Type", jsonType)
	if err := w.WriteWhole(http.StatusOK, body); err != nil {
		h.logger().Debug().Err(err).Msg("caller disconnected before the response")
	}
}

func (h *Responder) writeModels(w *acceptor.Writer) {
	list := modelList{Object: "list", Data: []model{}}
	catalog := h.Catalog()
	if catalog == nil {
		catalog = &cataloger.Catalog{}
	}
	for _, d := range catalog.Configuration.Deployments {
		list.Data = append(list.Data, model{ID: d.Name, Object: "model"})
		for _, a := range d.Adapters {
			list.Data = append(list.Data, model{ID: a.Name, Object: "model"})
		}
	}
	h.writeJSON(w, list)
}

func (h *Responder) writeReady(w *acceptor.Writer) {
	if h.Ready() {
		h.writeText(w, http.StatusOK, "ready\n")
		return
	}
	h.writeText(w, http.StatusServiceUnavailable, "not ready\n")
}

func (h *Responder) writeText(w *acceptor.Writer, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if err := w.WriteWhole(status, []byte(text)); err != nil {
		h.logger().Debug().Err(err).Msg("caller disconnected before the response")
	}
}

func isPage(path string) bool {
	switch path {
	case "/healthz", "/readyz", "/metrics", "/v1/models", "/v1/addresses":
		return true
	}
	return false
}
