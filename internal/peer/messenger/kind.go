package messenger

// A Kind is what a message is for, in metrics and logs.
type Kind string

// Kinds of messages. KindOther has the parts of the product's own interface.
const (
	KindDemand    Kind = "Demand"
	KindFleet     Kind = "Fleet"
	KindSubscribe Kind = "Subscribe"
	KindSnapshot  Kind = "Snapshot"
	KindChanges   Kind = "Changes"
	KindRelayed   Kind = "Relayed"
	KindHeartbeat Kind = "Heartbeat"
	KindEvidence  Kind = "Evidence"
	KindOrigins   Kind = "Origins"
	KindQuota     Kind = "Quota"
	KindOther     Kind = "Other"
)

// Kind returns what the message is for, by its largest part.
func (m Message) Kind() Kind {
	switch {
	case m.Feed != nil:
		return m.Feed.kind()
	case m.Demand != nil:
		return KindDemand
	case m.Fleet != nil || m.FleetRequested:
		return KindFleet
	case m.Subscribe != nil:
		return KindSubscribe
	case m.Evidence != nil:
		return KindEvidence
	case m.Origins != nil:
		return KindOrigins
	case m.QuotaAsk != nil || m.QuotaGrant != nil || m.Standing != nil:
		return KindQuota
	case m.Heartbeat != nil:
		return KindHeartbeat
	default:
		return KindOther
	}
}

func (f *Feed) kind() Kind {
	switch {
	case f.Whole:
		return KindSnapshot
	case len(f.Views) > 0:
		return KindChanges
	case f.Fleet != nil || f.Evidence != nil:
		return KindRelayed
	default:
		return KindHeartbeat
	}
}
