package messenger

import (
	"reflect"
	"testing"
	"time"
)

// Guards against a part of a message about streams' origins that gets lost on its way.
func TestOriginsAreDecoded(t *testing.T) {
	for _, want := range []*Origins{
		nil,
		{Origins: []StreamOrigin{{Stream: 1 << 63, SoftwareVersion: "v1"}}, Asked: []uint64{7}, Completed: []uint64{8}, Record: true},
		{Inquiry: &VersionsInquiry{Number: 1 << 62, Service: "s"}},
		{Versions: &ServiceVersions{Inquiry: 9, Service: "s", Seen: []SeenVersion{{}, {SoftwareVersion: "v2", Ago: time.Second}}, MixedFor: time.Minute, Fresh: true}},
	} {
		if got := decodeOrigins(encodeOrigins(want)); !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
}
