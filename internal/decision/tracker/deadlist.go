package tracker

// maxDead bounds the number of instances in a deadInstances set.
const maxDead = 4096

// deadInstances is a bounded set of dead instances. It drops the oldest one when it is full.
type deadInstances struct {
	dead map[string]bool
	// ring has the instances in the order of insertion; next is the index of the oldest once it is full.
	ring []string
	next int
}

func (l *deadInstances) add(instance string) {
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

func (l *deadInstances) contains(instance string) bool { return l.dead[instance] }
