package messenger

import "time"

// Origins reports the software versions that began streams, or asks for them. Streams are identified by the hash of the ID of
// the caller's attempt that began them.
type Origins struct {
	Origins []StreamOrigin
	Asked   []uint64
	// Completed are streams whose answer is complete, which nobody resumes.
	Completed []uint64
	// Record reports whether the receiver has to write the origins to the store.
	Record bool
	// Inquiry asks for the versions of a service, Versions answers that.
	Inquiry  *VersionsInquiry
	Versions *ServiceVersions
}

// A VersionsInquiry asks which software versions a service has had lately.
type VersionsInquiry struct {
	Number  uint64
	Service string
}

// ServiceVersions are the software versions that a service has had lately, to the knowledge of one daemon.
type ServiceVersions struct {
	// Inquiry is the number of the inquiry that is answered.
	Inquiry uint64
	Service string
	Seen    []SeenVersion
	// MixedFor is for how much longer streams of several versions may be resumed, 0 if there is one version.
	MixedFor time.Duration
	// Fresh reports whether the daemon's view of the store is up to date.
	Fresh bool
}

// A SeenVersion is a software version with the time since a server of it was last registered.
type SeenVersion struct {
	SoftwareVersion string
	Ago             time.Duration
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
	p := &OriginsPart{Asked: o.Asked, Completed: o.Completed, Record: o.Record, Origins: convert(o.Origins, func(s StreamOrigin) *OriginPart {
		return &OriginPart{Stream: s.Stream, SoftwareVersion: s.SoftwareVersion}
	})}
	if q := o.Inquiry; q != nil {
		p.Inquiry = &VersionsInquiryPart{Number: q.Number, Service: q.Service}
	}
	if v := o.Versions; v != nil {
		p.Versions = &ServiceVersionsPart{
			Inquiry: v.Inquiry, Service: v.Service, MixedForNanoseconds: int64(v.MixedFor), Fresh: v.Fresh,
			Seen: convert(v.Seen, func(s SeenVersion) *SeenVersionPart {
				return &SeenVersionPart{SoftwareVersion: s.SoftwareVersion, AgoNanoseconds: int64(s.Ago)}
			}),
		}
	}
	return p
}

func decodeOrigins(p *OriginsPart) *Origins {
	if p == nil {
		return nil
	}
	o := &Origins{Asked: p.GetAsked(), Completed: p.GetCompleted(), Record: p.GetRecord(), Origins: convert(p.GetOrigins(), func(s *OriginPart) StreamOrigin {
		return StreamOrigin{Stream: s.GetStream(), SoftwareVersion: s.GetSoftwareVersion()}
	})}
	if q := p.GetInquiry(); q != nil {
		o.Inquiry = &VersionsInquiry{Number: q.GetNumber(), Service: q.GetService()}
	}
	if v := p.GetVersions(); v != nil {
		o.Versions = &ServiceVersions{
			Inquiry: v.GetInquiry(), Service: v.GetService(), MixedFor: time.Duration(v.GetMixedForNanoseconds()), Fresh: v.GetFresh(),
			Seen: convert(v.GetSeen(), func(s *SeenVersionPart) SeenVersion {
				return SeenVersion{SoftwareVersion: s.GetSoftwareVersion(), Ago: time.Duration(s.GetAgoNanoseconds())}
			}),
		}
	}
	return o
}
