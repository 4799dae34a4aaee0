package explainer

import (
	"errors"
	"strings"
	"testing"
)

func explain(t *testing.T, request string, logs ...string) (string, error) {
	t.Helper()
	e := Explainer{Request: request}
	for _, text := range logs {
		if err := e.Read(strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	var b strings.Builder
	err := e.Write(&b)
	return b.String(), err
}

func assertText(t *testing.T, got string, want ...string) {
	t.Helper()
	for _, w := range want {
		if !strings.Contains(got, w) {
			t.Errorf("got\n%s\nwant it to contain %q", got, w)
		}
	}
}

const (
	daemonA = `  1.0 edge-a {"time":"2026-09-06T10:04:35.888Z","level":"info","Request":"f1","Action":"Queue","Service":"llm","Model":"m1","Reason":"Cold","WaitedMs":0,"LeftMs":6769,"BeliefAgeMs":312,"Configuration":4,"message":"request"}
{"time":"2026-09-06T10:04:36.500Z","Request":"f1","Action":"Send","Service":"llm","Model":"m1","Server":"i-1","Attempt":1,"Score":0.2,"Other":"i-2","OtherScore":0.5,"WaitedMs":612,"LeftMs":6100,"message":"request"}
{"time":"2026-09-06T10:04:36.700Z","Request":"f1","Action":"Failed","Server":"i-1","Attempt":1,"Reason":"Broken","WaitedMs":812,"message":"request"}
{"time":"2026-09-06T10:04:36.701Z","Request":"f1","Action":"Refuse","Reason":"Broken","WaitedMs":813,"message":"request"}
this line is cut {"time":
`
	daemonB = `edge-b {"time":"2026-09-06T10:04:36.690Z","Subject":"Server i-1","Change":"Suspected","Reason":"Broken","message":"belief"}
edge-b {"time":"2026-09-06T10:04:36.000Z","Subject":"Server i-3","Change":"OrderLoad","Reason":"NoReplica","Detail":"m1 from Disk","message":"belief"}
edge-b {"time":"2026-09-06T10:04:36.100Z","Subject":"Server i-9","Change":"Seen","message":"belief"}
`
)

func TestExplain(t *testing.T) {
	t.Run("the forecast of the request's model only", func(t *testing.T) {
		got, err := explain(t, "f1", daemonA, `edge-b {"time":"2026-09-06T10:04:36.010Z","Subject":"Model m1","Change":"Delayed","Reason":"OthersMoreWanted","Detail":"9.4s","message":"belief"}
edge-b {"time":"2026-09-06T10:04:36.020Z","Subject":"Model m11","Change":"Delayed","Reason":"EnginesBusy","Detail":"1s","message":"belief"}
edge-b {"time":"2026-09-06T10:04:36.030Z","Subject":"Model m1/a7","Change":"Delayed","Reason":"EnginesBusy","Detail":"1s","message":"belief"}
`)
		if err != nil {
			t.Fatal(err)
		}
		assertText(t, got, "10:04:36.010 edge-b Model m1: Delayed, OthersMoreWanted, 9.4s")
		if strings.Contains(got, "m11") || strings.Contains(got, "a7") {
			t.Errorf("got\n%s\nwant no forecast of another model or adapter", got)
		}
	})
	t.Run("the request's decisions and the view changes during the request, in order", func(t *testing.T) {
		got, err := explain(t, "f1", daemonB, daemonA)
		if err != nil {
			t.Fatal(err)
		}
		assertText(t, got,
			"Request f1, service llm model m1, configuration 4",
			"waits: no server has the model or adapter loaded",
			"sent to i-1 (attempt 1, score 0.20; next best i-2, 0.50",
			"attempt 1 at i-1 failed after 812 ms: the connection to the server broke off",
			"refused after 813 ms",
			"10:04:36.000 edge-b Server i-3: OrderLoad, NoReplica, m1 from Disk\n10:04:36.690 edge-b Server i-1: Suspected, Broken",
			"1 lines could not be parsed",
		)
		if strings.Contains(got, "i-9") {
			t.Errorf("got\n%s\nwant nothing about a server that doesn't concern the request", got)
		}
	})
	t.Run("a request beyond its workspace's quota", func(t *testing.T) {
		got, err := explain(t, "q1", `{"time":"2026-09-06T10:04:36.701Z","Request":"q1","Action":"Refuse","Reason":"Quota","WaitedMs":4,"Detail":"workspace w, counts 900","message":"request"}
{"time":"2026-09-06T10:04:36.700Z","Subject":"Quota","Change":"HandedOver","message":"belief"}
`)
		if err != nil {
			t.Fatal(err)
		}
		assertText(t, got, "refused after 4 ms: it exceeds the quota of its workspace; workspace w, counts 900", "Quota: HandedOver")
	})
	t.Run("an answer that was given up as invalid", func(t *testing.T) {
		got, err := explain(t, "v1", `{"time":"2026-09-06T10:04:36.701Z","Request":"v1","Action":"Failed","Server":"i-1","Attempt":1,"Reason":"Invalid","WaitedMs":4,"Detail":"after event 5: event without a number","message":"request"}
`)
		if err != nil {
			t.Fatal(err)
		}
		assertText(t, got, "attempt 1 at i-1 failed after 4 ms: the data received was not the server's response to it; after event 5: event without a number")
	})
	t.Run("a stream that was taken up", func(t *testing.T) {
		got, err := explain(t, "s1", `{"time":"2026-09-06T10:04:36.701Z","Request":"s1","Action":"CallerLeft","WaitedMs":900,"LeftMs":100,"message":"request"}
{"time":"2026-09-06T10:04:37.000Z","Request":"s2","Origin":"s1","Action":"Refuse","Reason":"Cold","WaitedMs":0,"message":"request"}
`)
		if err != nil {
			t.Fatal(err)
		}
		assertText(t, got, "the caller left after 900 ms", "taken up by s2: refused after 0 ms: no server has the model or adapter loaded")
	})
	t.Run("an unknown request", func(t *testing.T) {
		if _, err := explain(t, "f2", daemonA); !errors.Is(err, ErrUnknownRequest) {
			t.Errorf("got %v, want %v", err, ErrUnknownRequest)
		}
	})
}
