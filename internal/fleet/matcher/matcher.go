package matcher

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// ErrInvalidRoute is wrapped by the errors for invalid routes.
var ErrInvalidRoute = errors.New("route is invalid")

// New returns a configuration. It returns an error for a route whose prefix doesn't begin and end with a slash, or
// whose services are unknown.
func New(version int64, routes []Route, services []Service, limits Limits) (*Configuration, error) {
	c := &Configuration{Version: version, Limits: limits, Services: make(map[string]Service, len(services)), routes: make(map[string][]Route), numbered: make(map[string]bool)}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		if err := c.validate(r); err != nil {
			return nil, fmt.Errorf("configuration %d, route %q: %w", version, r.Name, err)
		}
		c.routes[r.Host] = append(c.routes[r.Host], r)
		for _, s := range r.Shares {
			c.numbered[s.Service] = c.numbered[s.Service] || r.Kind == KindStream && r.Resumable
		}
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c, nil
}

// Match returns the host's route with the longest prefix of the path.
func (c *Configuration) Match(host, path string) (Route, bool) {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// NumbersEvents reports whether a service's servers number the events of their streams. They do so on all routes if streams of one of
// them may be resumed.
func (c *Configuration) NumbersEvents(service string) bool { return c.numbered[service] }

// WithNumbersOf returns the configuration with the services that number their events according to an earlier one, which may be nil: a
// change of routes doesn't change what servers write.
func (c *Configuration) WithNumbersOf(earlier *Configuration) *Configuration {
	if earlier == nil {
		return c
	}
	updated := *c
	updated.numbered = maps.Clone(earlier.numbered)
	for service, numbered := range c.numbered {
		updated.numbered[service] = updated.numbered[service] || numbered
	}
	maps.DeleteFunc(updated.numbered, func(service string, _ bool) bool {
		_, ok := c.Services[service]
		return !ok
	})
	return &updated
}

func (c *Configuration) validate(r Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("prefix %q: %w", r.Prefix, ErrInvalidRoute)
	}
	if len(r.Shares) == 0 {
		return fmt.Errorf("no service: %w", ErrInvalidRoute)
	}
	for _, s := range r.Shares {
		if _, ok := c.Services[s.Service]; !ok {
			return fmt.Errorf("service %q: %w", s.Service, ErrInvalidRoute)
		}
	}
	return nil
}
