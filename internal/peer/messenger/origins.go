package messenger

// Origins reports the software versions that began streams, or asks for them. Streams are identified by the hash of the ID of
// the caller's attempt that began them.
type Origins struct {
	Origins []StreamOrigin
	Asked   []uint64
	// Completed are streams whose answer is complete, which nobody resumes.
	Completed []uint64
	// Record reports whether the receiver has to write the origins to the store.
	Record bool
}

// A StreamOrigin is the software version of the server that began a stream.
type StreamOrigin struct {
	Stream          uint64
	SoftwareVersion string
}

func encodeOrigins(o *Origins) *OriginsPart {
	if o == nil {
		return nil
	}
	return &OriginsPart{Asked: o.Asked, Completed: o.Completed, Record: o.Record, Origins: convert(o.Origins, func(s StreamOrigin) *OriginPart {
		return &OriginPart{Stream: s.Stream, SoftwareVersion: s.SoftwareVersion}
	})}
}

func decodeOrigins(p *OriginsPart) *Origins {
	if p == nil {
		return nil
	}
	return &Origins{Asked: p.GetAsked(), Completed: p.GetCompleted(), Record: p.GetRecord(), Origins: convert(p.GetOrigins(), func(s *OriginPart) StreamOrigin {
		return StreamOrigin{Stream: s.GetStream(), SoftwareVersion: s.GetSoftwareVersion()}
	})}
}
