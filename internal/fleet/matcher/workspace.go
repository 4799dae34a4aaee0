package matcher

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"unicode"
)

// ErrInvalidWorkspace is wrapped by the errors for invalid workspaces.
var ErrInvalidWorkspace = errors.New("workspace is invalid")

// A KeyDigest is the SHA-256 digest of a workspace's key. The key itself isn't kept.
type KeyDigest [sha256.Size]byte

// MarshalText returns the digest in hexadecimal.
func (d KeyDigest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText sets the digest from the output of MarshalText.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("digest of a key has %d characters: %w", len(text), ErrInvalidWorkspace)
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return fmt.Errorf("digest of a key: %w", err)
	}
	return nil
}

// DigestKey returns the digest of a key.
func DigestKey(key []byte) KeyDigest { return sha256.Sum256(key) }

// A Workspace is a customer of the deployment, whose callers identify themselves by one of its keys.
type Workspace struct {
	Name string
	// KeyDigests identify the workspace's keys. It may be empty.
	KeyDigests []KeyDigest
	// Priority replaces that of the route, valid if HasPriority.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// WithPriorityOf returns the route with the priority of a workspace, if that has one.
func (r Route) WithPriorityOf(w Workspace) Route {
	if w.HasPriority {
		r.Priority = w.Priority
	}
	return r
}

// A Quota limits what the servers run for a workspace, over all daemons together. The zero value sets no limit.
type Quota struct {
	// Tokens reports whether tokens are counted instead of requests.
	Tokens bool
	// PlainTokens is what a request of unknown size counts, valid if Tokens.
	PlainTokens int
	// PerSecond is the rate at which the quota is restored, 0 for no limit, Burst what may be used in addition.
	PerSecond float64
	Burst     float64
}

// Limited reports whether the quota sets a limit.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Cost returns what a request with the given numbers of tokens counts. Sized reports whether they are known.
func (q Quota) Cost(inputTokens, outputTokens int, sized bool) float64 {
	switch {
	case !q.Tokens:
		return 1
	case sized:
		return float64(inputTokens) + float64(outputTokens)
	default:
		return float64(q.PlainTokens)
	}
}

// WithWorkspaces returns the configuration with the given workspaces. It returns an error if two workspaces have the same name or
// key, a name is empty, or a quota is not a number of at least 0.
func (c *Configuration) WithWorkspaces(list []Workspace) (*Configuration, error) {
	updated := *c
	updated.Workspaces = make(map[string]Workspace, len(list))
	updated.workspaceNames = make(map[KeyDigest]string)
	for _, w := range list {
		if err := updated.add(w); err != nil {
			return nil, fmt.Errorf("configuration %d, workspace %q: %w", c.Version, w.Name, err)
		}
	}
	return &updated, nil
}

func (c *Configuration) add(w Workspace) error {
	switch _, known := c.Workspaces[w.Name]; {
	case w.Name == "":
		return fmt.Errorf("no name: %w", ErrInvalidWorkspace)
	case strings.ContainsFunc(w.Name, unicode.IsControl):
		return fmt.Errorf("name has control characters, which the header of a request can't hold: %w", ErrInvalidWorkspace)
	case known:
		return fmt.Errorf("another one has the same name: %w", ErrInvalidWorkspace)
	case !validRate(w.Quota.PerSecond) || !validRate(w.Quota.Burst) || w.Quota.PlainTokens < 0:
		return fmt.Errorf("quota is out of range: %w", ErrInvalidWorkspace)
	}
	for _, digest := range w.KeyDigests {
		if name, taken := c.workspaceNames[digest]; taken && name != w.Name {
			return fmt.Errorf("workspace %q has the same key: %w", name, ErrInvalidWorkspace)
		}
		c.workspaceNames[digest] = w.Name
	}
	c.Workspaces[w.Name] = w
	return nil
}

func validRate(n float64) bool { return n >= 0 && !math.IsInf(n, 0) }

// Authenticate returns the workspace that has a key. The time that it takes depends on no key: the lookup is by digest, and
// digests are compared in constant time.
func (c *Configuration) Authenticate(key []byte) (Workspace, bool) {
	digest := DigestKey(key)
	name, ok := c.workspaceNames[digest]
	if !ok {
		return Workspace{}, false
	}
	w := c.Workspaces[name]
	for _, d := range w.KeyDigests {
		if subtle.ConstantTimeCompare(d[:], digest[:]) == 1 {
			return w, true
		}
	}
	return Workspace{}, false
}

// WorkspaceNames returns the names of the workspaces, sorted.
func (c *Configuration) WorkspaceNames() []string { return slices.Sorted(maps.Keys(c.Workspaces)) }
