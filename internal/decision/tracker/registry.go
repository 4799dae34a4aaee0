package tracker

// maxRegistrations bounds the number of names in a registry.
const maxRegistrations = 4096

// A registration is the last known registration of a daemon.
type registration struct {
	id       string
	instance string
	revision int64
}

// A registry has the last registration under each ID or address, including those whose key is gone.
type registry struct {
	last map[string]registration
	// ring has the names in the order of insertion; next is the index of the oldest once it is full.
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
		r.addName(name)
	}
	r.last[name] = value
}

func (r *registry) addName(name string) {
	if len(r.ring) < maxRegistrations {
		r.ring = append(r.ring, name)
		return
	}
	delete(r.last, r.ring[r.next])
	r.ring[r.next] = name
	r.next = (r.next + 1) % maxRegistrations
}
