package claimer

// A record is the last entry of a key in the store.
type record struct {
	claim       string
	kind        entryKind
	bodyHash    uint64
	status      int
	contentType string
	body        []byte
	tooLarge    bool
	// segment is the name of the record's sealed segment, empty for the active segment.
	segment string
}

// claimable reports whether the key may be claimed.
func (r record) claimable() bool { return r.kind == entryRelease }

// A segment is a sealed segment that has been read.
type segment struct {
	name     string
	revision int64
	// newestAt is the wall time of the newest entry in Unix milliseconds.
	newestAt int64
	keys     []string
}

// An index holds the state of every key of a partition, as read from its segments.
type index struct {
	// active holds the last record of each key in the active segment; it takes precedence over sealed.
	active map[string]record
	// sealed holds the last record of each key in the sealed segments.
	sealed map[string]record
	// newestAt is the wall time of the newest entry in the active segment in Unix milliseconds.
	newestAt int64
	// segments are the sealed segments that have been read, oldest first.
	segments []segment
}

// addActive applies an entry of the active segment.
func (x *index) addActive(e entry) {
	x.active[e.Key] = newRecord(e, "")
	x.newestAt = max(x.newestAt, e.At)
}

// addSegment applies a sealed segment, which must be newer than all those added before.
func (x *index) addSegment(name string, revision int64, entries []entry) {
	s := segment{name: name, revision: revision}
	for _, e := range entries {
		x.sealed[e.Key] = newRecord(e, name)
		s.keys = append(s.keys, e.Key)
		s.newestAt = max(s.newestAt, e.At)
	}
	x.segments = append(x.segments, s)
}

// removeUnlisted removes the sealed segments that are not listed and returns them.
func (x *index) removeUnlisted(listed []string) []segment {
	isListed := make(map[string]bool, len(listed))
	for _, name := range listed {
		isListed[name] = true
	}
	var kept, removed []segment
	for _, s := range x.segments {
		if isListed[s.name] {
			kept = append(kept, s)
			continue
		}
		removed = append(removed, s)
		x.removeSegment(s)
	}
	x.segments = kept
	return removed
}

func (x *index) removeSegment(s segment) {
	for _, key := range s.keys {
		if x.sealed[key].segment == s.name {
			delete(x.sealed, key)
		}
	}
}

// countExpired returns how many of the oldest sealed segments have only entries older than the cutoff.
func (x *index) countExpired(cutoff int64) int {
	for i, s := range x.segments {
		if s.newestAt >= cutoff {
			return i
		}
	}
	return len(x.segments)
}

// lookup returns the last record of a key.
func (x *index) lookup(key string) (record, bool) {
	if r, ok := x.active[key]; ok {
		return r, true
	}
	r, ok := x.sealed[key]
	return r, ok
}

// resetActive replaces the records of the active segment.
func (x *index) resetActive(entries []entry) {
	x.active = make(map[string]record, len(entries))
	x.newestAt = 0
	for _, e := range entries {
		x.addActive(e)
	}
	if x.sealed == nil {
		x.sealed = make(map[string]record)
	}
}

// sealActive turns the active segment into a sealed one.
func (x *index) sealActive(name string, revision int64) {
	s := segment{name: name, revision: revision, newestAt: x.newestAt}
	for key, r := range x.active {
		r.segment = name
		x.sealed[key] = r
		s.keys = append(s.keys, key)
	}
	x.segments = append(x.segments, s)
	x.resetActive(nil)
}

func newRecord(e entry, segment string) record {
	return record{
		claim:       e.Claim,
		kind:        e.Kind,
		bodyHash:    e.BodyHash,
		status:      e.Status,
		contentType: e.ContentType,
		body:        e.Body,
		tooLarge:    e.TooLarge,
		segment:     segment,
	}
}
