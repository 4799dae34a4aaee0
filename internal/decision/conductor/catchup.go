package conductor

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirewharf/internal/decision/attributor"
	"samphirewharf/internal/peer/messenger"
)

// A daemon that has just started knows only the quarantines that are recorded in the store. While the store is away none are, so the
// daemon asks others for their evidence before it sends its first request.

// A catchUpState describes whether a daemon that has just started knows what others know of requests that crash servers.
type catchUpState struct {
	// done reports whether requests may be sent.
	done bool
	// asked reports whether other daemons were asked, pending holds the names of those that haven't answered.
	asked   bool
	pending map[string]bool
	// until is when the daemon stops waiting, zero before it has a configuration and servers.
	until time.Duration
}

func (c *catchUpState) nextAt() time.Duration {
	if c.done || c.until == 0 {
		return never
	}
	return c.until
}

// tickCatchUp asks other daemons for their evidence once they are known, and ends the wait for their answers.
func (m *Machine) tickCatchUp() {
	c := &m.catchUp
	if c.done {
		return
	}
	if c.until == 0 && m.configuration != nil && m.serversLoaded {
		c.until = m.now + catchUpTimeout
	}
	if !c.asked && m.election.Loaded() {
		m.askForEvidence()
	}
	switch {
	case c.until == 0:
	case c.asked && len(c.pending) == 0:
		m.caughtUp("")
	case m.now >= c.until && !c.asked:
		m.caughtUp("the other daemons aren't known")
	case m.now >= c.until:
		m.caughtUp("no answer of " + strings.Join(slices.Sorted(maps.Keys(c.pending)), " "))
	}
}

// askForEvidence asks some daemons for their evidence. Half of them are followers, which relay what the keepers have merged. Different
// daemons ask different ones, so that none has to answer all if many start together.
func (m *Machine) askForEvidence() {
	c := &m.catchUp
	c.asked, c.pending = true, make(map[string]bool)
	message := m.newMessage()
	message.Evidence = &messenger.Evidence{Requested: true}
	for _, name := range m.evidenceSources() {
		c.pending[name] = true
		m.sendTo([]string{name}, message)
	}
}

// evidenceSources returns the names of the daemons to ask.
func (m *Machine) evidenceSources() []string {
	self := m.settings.Self.Name
	var sources []string
	for _, d := range m.upstreams() {
		if len(sources) < maxEvidenceSources/2 {
			sources = append(sources, d.Name)
		}
	}
	others := slices.DeleteFunc(m.daemonNames(), func(name string) bool { return name == self || slices.Contains(sources, name) })
	slices.SortFunc(others, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(self+" "+a), xxhash.Sum64String(self+" "+b))
	})
	return append(sources, others[:min(len(others), maxEvidenceSources-len(sources))]...)
}

// caughtUp begins to send requests.
func (m *Machine) caughtUp(missing string) {
	m.catchUp = catchUpState{done: true, asked: true}
	change := "CaughtUp"
	if missing != "" {
		change = "Incomplete"
	}
	m.emit(LogStateChange{Subject: "Evidence", Change: change, Reason: missing, Detail: itoa(int64(len(m.crashes.quarantines.quarantined))) + " quarantines", Warning: missing != ""})
	m.routeQueues()
}

// replyWithEvidence sends a daemon that has just started the evidence that this one has.
func (m *Machine) replyWithEvidence(address string) {
	traits := m.crashes.attributor.Traits()
	weight := func(t attributor.Trait) int {
		e, _ := m.crashes.attributor.Evidence(t)
		return len(e.Crashes) + maxSentTraits*boolToInt(e.Quarantined())
	}
	slices.SortStableFunc(traits, func(a, b attributor.Trait) int { return cmp.Compare(weight(b), weight(a)) })
	message := m.newMessage()
	message.Evidence = &messenger.Evidence{Reply: true, Suspects: m.suspects(traits[:min(len(traits), maxSentTraits)])}
	m.emit(SendPeer{Address: address, Message: message})
}

// evidenceReplied handles the answer to askForEvidence, whose evidence has been merged.
func (m *Machine) evidenceReplied(from string) { delete(m.catchUp.pending, from) }
