package tracker

// maxDead bounds the instances that a deadList remembers.
const maxDead = 4096

// A deadList remembers the instances that were last seen to be dead.
type deadList struct {
	dead map[string]bool
	// ring holds the remembered instances; next is the oldest once it is full.
	ring []string
	next int
}

func (l *deadList) add(instance string) {
	if l.dead[instance] {
		return
	}
	if l.dead == nil {
		l.dead = make(map[string]bool)
	}
	if len(l.ring) < maxDead {
		l.ring = append(l.ring, instance)
	} else {
		delete(l.dead, l.ring[l.next])
		l.ring[l.next] = instance
		l.next = (l.next + 1) % maxDead
	}
	l.dead[instance] = true
}

func (l *deadList) has(instance string) bool { return l.dead[instance] }
