package generator

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/standin/inferrer"
)

// errNoTargets is returned if no deployment, adapter or plain service matches the settings.
var errNoTargets = errors.New("no deployment or service matches the settings")

// A target is a deployment or one of its adapters.
type target struct {
	name            string
	deployment      string
	adapter         string
	urgentDeadline  time.Duration
	canWaitDeadline time.Duration
}

// A service is a plain service with non-idempotent requests.
type service struct {
	name     string
	path     string
	header   string
	deadline time.Duration
}

// A request is one request of the load.
type request struct {
	number int
	caller int
	// direct is true if the request is sent directly to the engine.
	direct bool
	// booking is true for a non-idempotent request to a plain service.
	booking bool
	target  target
	service service
	urgent  bool
	stream  bool
	chat    bool
	timeout time.Duration
	// key is the idempotency key of a booking.
	key string
	// duplicated is true for a booking that is sent twice.
	duplicated bool
	body       []byte
	// wantText is the correct text of a completion.
	wantText string
}

// A mix generates random requests. It is immutable.
type mix struct {
	settings Settings
	models   []target
	adapters []target
	services []service
}

func newMix(s Settings) (*mix, error) {
	m := &mix{settings: s}
	for _, d := range s.Configuration.Deployments {
		t := target{d.Name, d.Name, "", d.UrgentDeadline.D(), d.CanWaitDeadline.D()}
		if m.selected(t.name) {
			m.models = append(m.models, t)
		}
		for _, a := range d.Adapters {
			t.name, t.adapter = a.Name, a.Name
			if m.selected(t.name) {
				m.adapters = append(m.adapters, t)
			}
		}
	}
	for _, c := range s.Configuration.Services {
		if c.Kind == cataloger.KindPlain && len(c.NonIdempotent) > 0 {
			m.services = append(m.services, newService(c))
		}
	}
	if s.BookingShare < 1 && len(m.models)+len(m.adapters) == 0 || s.BookingShare > 0 && len(m.services) == 0 {
		return nil, errNoTargets
	}
	return m, nil
}

func newService(c cataloger.Service) service {
	s := service{c.Name, "/services/" + c.Name + c.NonIdempotent[0].PathPrefix, c.IdentityHeader, c.Deadline.D()}
	if s.header == "" {
		s.header = "Idempotency-Key"
	}
	return s
}

func (m *mix) selected(name string) bool {
	return len(m.settings.Models) == 0 || slices.Contains(m.settings.Models, name)
}

// draw returns the request with a number. The result depends only on the settings and the number.
func (m *mix) draw(number int) request {
	random := rand.New(rand.NewPCG(m.settings.Seed, uint64(number)))
	r := request{number: number, caller: random.IntN(m.settings.Callers)}
	r.urgent = random.Float64() < m.settings.UrgentShare
	if random.Float64() < m.settings.BookingShare {
		m.drawBooking(&r, random)
	} else {
		m.drawCompletion(&r, random)
	}
	if m.settings.Timeout > 0 {
		r.timeout = m.settings.Timeout
	}
	return r
}

func (m *mix) drawBooking(r *request, random *rand.Rand) {
	r.booking = true
	r.service = m.services[random.IntN(len(m.services))]
	r.key = fmt.Sprintf("load-%d-%d", m.settings.Seed, r.number)
	r.duplicated = random.Float64() < m.settings.DuplicateShare
	r.body = fmt.Appendf(nil, `{"Booking":%d,"Check":%d}`, r.number, random.Uint32())
	r.timeout = r.service.deadline
}

func (m *mix) drawCompletion(r *request, random *rand.Rand) {
	r.direct = m.settings.Engine != "" && (len(m.settings.Daemons) == 0 || r.number%2 == 0)
	r.target = m.drawTarget(random)
	r.stream = random.Float64() < m.settings.StreamShare
	r.chat = random.Float64() < m.settings.ChatShare
	r.timeout = r.target.canWaitDeadline
	if r.urgent {
		r.timeout = r.target.urgentDeadline
	}
	prompt := m.prompt(r.number)
	body := completionBody{Model: r.target.name, MaxTokens: m.settings.Tokens, Stream: r.stream}
	if r.chat {
		body.Messages = []inferrer.ChatMessage{{Role: "user", Content: prompt}}
		prompt = inferrer.ChatPrompt(body.Messages)
	} else {
		body.Prompt = prompt
	}
	// Encoding strings, numbers and bools can't fail.
	r.body, _ = json.Marshal(body)
	r.wantText = inferrer.Text(r.target.deployment, r.target.adapter, prompt, m.settings.Tokens)
}

// drawTarget returns a deployment or an adapter, drawn uniformly among those of its kind.
func (m *mix) drawTarget(random *rand.Rand) target {
	useAdapter := random.Float64() < m.settings.AdapterShare
	if len(m.models) == 0 || useAdapter && len(m.adapters) > 0 {
		return m.adapters[random.IntN(len(m.adapters))]
	}
	return m.models[random.IntN(len(m.models))]
}

// prompt returns a prompt that is unique to the request.
func (m *mix) prompt(number int) string {
	prompt := fmt.Sprintf("%d/%d ", m.settings.Seed, number)
	if missing := m.settings.PromptBytes - len(prompt); missing > 0 {
		prompt += strings.Repeat("w", missing)
	}
	return prompt
}

// A completionBody is the body of a completion request.
type completionBody struct {
	Model     string                 `json:"model"`
	Prompt    string                 `json:"prompt,omitempty"`
	Messages  []inferrer.ChatMessage `json:"messages,omitempty"`
	MaxTokens int                    `json:"max_tokens"`
	Stream    bool                   `json:"stream,omitempty"`
}

func (r *request) path() string {
	switch {
	case r.booking:
		return r.service.path
	case r.chat:
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

// lookupName returns the name whose addresses the caller looks up.
func (r *request) lookupName() string {
	if r.booking {
		return r.service.name
	}
	return r.target.name
}

// id returns the X-Request-Id of one attempt.
func (r *request) id(seed uint64, attempt string) string {
	return fmt.Sprintf("load-%d-%d-%s", seed, r.number, attempt)
}

func (r *request) setHeader(header http.Header) {
	header.Set("Content-Type", "application/json")
	header.Set("Priority", "u=1")
	if !r.urgent {
		header.Set("Priority", "u=5")
	}
	if r.booking {
		header.Set(r.service.header, r.key)
	}
}
