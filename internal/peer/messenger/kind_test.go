package messenger

import "testing"

func TestKind(t *testing.T) {
	for _, c := range []struct {
		message Message
		want    Kind
	}{
		{Message{}, KindOther},
		{Message{Heartbeat: &Heartbeat{}}, KindHeartbeat},
		{Message{Demand: &Demand{}}, KindDemand},
		{Message{Fleet: &Fleet{}}, KindFleet},
		{Message{Subscribe: &Subscribe{}}, KindSubscribe},
		{Message{Evidence: &Evidence{}}, KindEvidence},
		{Message{Origins: &Origins{}}, KindOrigins},
		{Message{QuotaAsk: &QuotaAsk{}}, KindQuota},
		{Message{QuotaGrant: &QuotaGrant{}}, KindQuota},
		{Message{Standing: &Standing{}}, KindQuota},
		{Message{Feed: &Feed{}}, KindHeartbeat},
		{Message{Feed: &Feed{Fleet: &Fleet{}}}, KindRelayed},
		{Message{Feed: &Feed{Views: []View{{}}, Fleet: &Fleet{}}}, KindChanges},
		{Message{Feed: &Feed{Whole: true}}, KindSnapshot},
	} {
		if got := c.message.Kind(); got != c.want {
			t.Errorf("got kind %s of %+v, want %s", got, c.message, c.want)
		}
	}
}
