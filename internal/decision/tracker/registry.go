package tracker

// maxRegistrations bounds the registrations that a registry remembers.
const maxRegistrations = 4096

// A registration is the last key that a daemon was seen to register with.
type registration struct {
	id       string
	instance string
	revision int64
}

// A registry remembers the last registration under each ID or address, also after the key is gone.
type registry struct {
	last map[string]registration
	// ring holds the names in the order in which they were first seen; next is the oldest once it
	// is full.
	ring []string
	next int
}

func (r *registry) get(name string) (registration, bool) {
	found, ok := r.last[name]
	return found, ok
}

func (r *registry) put(name string, value registration) {
	if r.last == nil {
		r.last = make(map[string]registration)
	}
	if _, ok := r.last[name]; !ok {
		r.remember(name)
	}
	r.last[name] = value
}

func (r *registry) remember(name string) {
	if len(r.ring) < maxRegistrations {
		r.ring = append(r.ring, name)
		return
	}
	delete(r.last, r.ring[r.next])
	r.ring[r.next] = name
	r.next = (r.next + 1) % maxRegistrations
}
