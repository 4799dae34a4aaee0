package messenger

import "time"

// A Subscribe asks the receiver to relay updates of the key-value service. The subscription expires after a few seconds.
type Subscribe struct {
	// Stream and Sequence are those of the last feed that was received; empty and 0 if there was none.
	Stream   string
	Sequence int64
	// Compressed reports whether the sender takes compressed views. Daemons of earlier versions don't.
	Compressed bool
	// Token identifies this message to its sender. It is 0 from daemons of earlier versions.
	Token uint64
}

// A Feed is an update of the sender's view of the key-value service.
type Feed struct {
	// Stream identifies the sender's process. Sequence counts its feeds to one subscriber without gaps.
	Stream   string
	Sequence int64
	// Fresh reports whether the sender has a complete view and the key-value service answers it.
	Fresh bool
	// Whole reports whether the views are a complete snapshot. Otherwise they hold the changes since the previous feed.
	Whole bool
	Views []View
	// CompressedViews are the views in the form that a Compressor returns. If they are set, a sent message lacks the views, and a
	// received one has both. Damaged reports whether they couldn't be read.
	CompressedViews []byte
	Damaged         bool
	// Token is that of the latest Subscribe that the sender has received. Proved is, by prefix, as of when the sender's view is known to
	// hold all that the service had accepted: the time since that Subscribe was received, which is negative for a time before. Both are
	// missing from daemons of earlier versions.
	Token    uint64
	Proved   map[string]time.Duration
	Fleet    *Fleet
	Evidence *Evidence
}

// A View holds the entries with one prefix in the key-value service, as of a revision.
type View struct {
	Prefix   string
	Revision int64
	Entries  []ViewEntry
}

// A ViewEntry is one entry, or the removal of one.
type ViewEntry struct {
	Key      string
	Value    []byte
	Revision int64
	Removed  bool
}

func encodeSubscribe(s *Subscribe) *SubscribePart {
	if s == nil {
		return nil
	}
	return &SubscribePart{Stream: s.Stream, Sequence: s.Sequence, Compressed: s.Compressed, Token: s.Token}
}

func decodeSubscribe(p *SubscribePart) *Subscribe {
	if p == nil {
		return nil
	}
	return &Subscribe{Stream: p.GetStream(), Sequence: p.GetSequence(), Compressed: p.GetCompressed(), Token: p.GetToken()}
}

func encodeFeed(f *Feed) *FeedPart {
	if f == nil {
		return nil
	}
	fleet, changes := encodeFleets(f.Fleet)
	part := &FeedPart{
		Stream: f.Stream, Sequence: f.Sequence, Fresh: f.Fresh, Whole: f.Whole, CompressedViews: f.CompressedViews,
		Fleet: fleet, FleetChanges: changes, Evidence: encodeEvidence(f.Evidence), Token: f.Token, ProvedNanoseconds: encodeTimes(f.Proved),
	}
	if len(f.CompressedViews) == 0 {
		part.Views = convert(f.Views, encodeView)
	}
	return part
}

func decodeFeed(p *FeedPart) *Feed {
	if p == nil {
		return nil
	}
	f := &Feed{
		Stream: p.GetStream(), Sequence: p.GetSequence(), Fresh: p.GetFresh(), Whole: p.GetWhole(), CompressedViews: p.GetCompressedViews(),
		Views: convert(p.GetViews(), decodeView), Fleet: decodeFleets(p.GetFleet(), p.GetFleetChanges()), Evidence: decodeEvidence(p.GetEvidence()),
		Token: p.GetToken(), Proved: decodeTimes(p.GetProvedNanoseconds()),
	}
	if len(f.CompressedViews) > 0 {
		views, err := decompressViews(f.CompressedViews)
		f.Views, f.Damaged = views, err != nil
	}
	return f
}

func encodeTimes(times map[string]time.Duration) map[string]int64 {
	if len(times) == 0 {
		return nil
	}
	encoded := make(map[string]int64, len(times))
	for prefix, at := range times {
		encoded[prefix] = int64(at)
	}
	return encoded
}

func decodeTimes(encoded map[string]int64) map[string]time.Duration {
	if len(encoded) == 0 {
		return nil
	}
	times := make(map[string]time.Duration, len(encoded))
	for prefix, at := range encoded {
		times[prefix] = time.Duration(at)
	}
	return times
}

func encodeView(v View) *ViewPart {
	return &ViewPart{Prefix: v.Prefix, Revision: v.Revision, Entries: convert(v.Entries, func(e ViewEntry) *ViewEntryPart {
		return &ViewEntryPart{Key: e.Key, Value: e.Value, Revision: e.Revision, Removed: e.Removed}
	})}
}

func decodeView(p *ViewPart) View {
	return View{Prefix: p.GetPrefix(), Revision: p.GetRevision(), Entries: convert(p.GetEntries(), func(e *ViewEntryPart) ViewEntry {
		return ViewEntry{Key: e.GetKey(), Value: e.GetValue(), Revision: e.GetRevision(), Removed: e.GetRemoved()}
	})}
}
