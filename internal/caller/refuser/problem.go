package refuser

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ProblemType is the media type of a refusal's body, as defined by RFC 9457.
const ProblemType = "application/problem+json"

// A problem is the body of a refusal. The members defined by RFC 9457 are in lower case.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`

	Code                   Code
	Ran                    string
	RetryAfterMilliseconds int64 `json:",omitempty"`
}

// Problem returns the refusal as problem JSON as defined by RFC 9457.
func (r Refusal) Problem() []byte {
	body, err := json.Marshal(problem{
		Type:                   "urn:samphirewharf:result:" + strconv.Itoa(int(r.Code)),
		Title:                  r.Code.String(),
		Status:                 r.Code.HTTPStatus(),
		Detail:                 r.Detail,
		Code:                   r.Code,
		Ran:                    r.Ran.String(),
		RetryAfterMilliseconds: ceil(r.RetryAfter, time.Millisecond),
	})
	if err != nil {
		return nil
	}
	return body
}

// SetHeader sets the header fields that accompany the refusal's problem JSON.
func (r Refusal) SetHeader(header http.Header) {
	header.Set("Content-Type", ProblemType)
	header.Set("Cache-Control", "no-store")
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt(ceil(r.RetryAfter, time.Second), 10))
	}
}

// errNoCode is returned for a problem that names no refusal. A member that is left out is zero, which would be CodeOK.
var errNoCode = errors.New("problem JSON has no code of a refusal")

// ParseProblem parses the output of Problem.
func ParseProblem(body []byte) (Refusal, error) {
	var p problem
	if err := json.Unmarshal(body, &p); err != nil {
		return Refusal{}, fmt.Errorf("parse problem JSON: %w", err)
	}
	if p.Code <= CodeOK {
		return Refusal{}, fmt.Errorf("%w: %d", errNoCode, p.Code)
	}
	refusal := Refusal{
		Code:       p.Code,
		Ran:        MayHaveRun,
		RetryAfter: time.Duration(p.RetryAfterMilliseconds) * time.Millisecond,
		Detail:     p.Detail,
	}
	for _, state := range []RunState{NotRun, DidRun} {
		if p.Ran == state.String() {
			refusal.Ran = state
		}
	}
	return refusal, nil
}

func ceil(d, unit time.Duration) int64 {
	return int64(math.Ceil(float64(d) / float64(unit)))
}
