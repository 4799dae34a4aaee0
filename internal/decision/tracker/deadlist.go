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

func (d *deadInstances) add(instance string) {
	if d.dead[instance] {
		return
	}
	if d.dead == nil {
		d.dead = make(map[string]bool)
	}
	if len(d.ring) < maxDead {
		d.ring = append(d.ring, instance)
	} else {
		delete(d.dead, d.ring[d.next])
		d.ring[d.next] = instance
		d.next = (d.next + 1) % maxDead
	}
	d.dead[instance] = true
}

func (d *deadInstances) contains(instance string) bool { return d.dead[instance] }
