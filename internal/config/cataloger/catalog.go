package cataloger

import (
	"encoding/json"
	"fmt"
)

// A Catalog is an immutable index of a configuration. The zero value is an empty configuration.
type Catalog struct {
	// Configuration is the indexed configuration. It must not be modified.
	Configuration Configuration

	services    map[string]*Service
	deployments map[string]*Deployment
	adapters    map[string]adapterRef
}

// An adapterRef is an adapter with the deployment that it belongs to.
type adapterRef struct {
	deployment *Deployment
	adapter    *Adapter
}

// A Target is the deployment, and the adapter if any, that the model name of a request refers to.
type Target struct {
	Deployment *Deployment
	// Adapter is nil if the name is that of a deployment.
	Adapter *Adapter
}

// NewCatalog indexes a configuration. The caller must not modify the configuration afterwards.
func NewCatalog(c Configuration) *Catalog {
	catalog := &Catalog{
		Configuration: c,
		services:      make(map[string]*Service, len(c.Services)),
		deployments:   make(map[string]*Deployment, len(c.Deployments)),
		adapters:      make(map[string]adapterRef),
	}
	for i := range c.Services {
		catalog.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Deployments {
		d := &c.Deployments[i]
		catalog.deployments[d.Name] = d
		for j := range d.Adapters {
			catalog.adapters[d.Adapters[j].Name] = adapterRef{d, &d.Adapters[j]}
		}
	}
	return catalog
}

// Deployment returns the deployment with the name.
func (c *Catalog) Deployment(name string) (*Deployment, bool) {
	d, ok := c.deployments[name]
	return d, ok
}

// Service returns the service with the name.
func (c *Catalog) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Target resolves the model name of a request.
func (c *Catalog) Target(name string) (Target, bool) {
	if d, ok := c.deployments[name]; ok {
		return Target{Deployment: d}, true
	}
	if ref, ok := c.adapters[name]; ok {
		return Target{Deployment: ref.deployment, Adapter: ref.adapter}, true
	}
	return Target{}, false
}

// Version returns the version of the configuration.
func (c *Catalog) Version() int64 { return c.Configuration.Version }

// UnmarshalJSON decodes a catalog that was encoded by encoding/json, and rebuilds the index.
func (c *Catalog) UnmarshalJSON(data []byte) error {
	var stored struct{ Configuration Configuration }
	if err := json.Unmarshal(data, &stored); err != nil {
		return fmt.Errorf("decode catalog: %w", err)
	}
	*c = *NewCatalog(stored.Configuration)
	return nil
}
