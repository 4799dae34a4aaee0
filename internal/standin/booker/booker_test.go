package booker_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"samphirewharf/internal/standin/booker"
)

func start(t *testing.T, s *booker.PlainServer) *booker.PlainServer {
	t.Helper()
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

func call(t *testing.T, s *booker.PlainServer, key, body string) (booker.Receipt, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+s.Address()+"/holds/7", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.GetBody = nil
	r.Header.Set("Idempotency-Key", key)
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return booker.Receipt{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var receipt booker.Receipt
	return receipt, json.NewDecoder(response.Body).Decode(&receipt)
}

func assertRuns(t *testing.T, s *booker.PlainServer, key string, want int) {
	t.Helper()
	if got := s.Counts().Runs[key]; got != want {
		t.Errorf("got %d runs of %s, want %d", got, key, want)
	}
}

func TestBooker(t *testing.T) {
	t.Run("counts each run and answers with a receipt", func(t *testing.T) {
		s := start(t, &booker.PlainServer{Server: "s1"})
		for n := int64(1); n <= 2; n++ {
			got, err := call(t, s, "k", "x")
			want := booker.Receipt{Server: "s1", Number: n, Method: "PUT", Path: "/holds/7", Key: "k", Body: "x"}
			if err != nil || got != want {
				t.Errorf("got %v, %v, want %v", got, err, want)
			}
		}
		assertRuns(t, s, "k", 2)
		if got, want := s.Counts().Bodies["PUT /holds/7 x"], 2; got != want {
			t.Errorf("got %d runs of the body, want %d", got, want)
		}
	})
	for _, test := range []struct {
		name   string
		faults booker.Faults
		want   int
	}{
		{"crashes before the run", booker.Faults{CrashBeforeRun: 1}, 0},
		{"crashes after the run", booker.Faults{CrashAfterRun: 1}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := start(t, &booker.PlainServer{RestartAfter: time.Millisecond})
			s.SetFaults(test.faults)
			if receipt, err := call(t, s, "k", "x"); err == nil {
				t.Errorf("got %v, want an error", receipt)
			}
			assertRuns(t, s, "k", test.want)
			for _, err := call(t, s, "again", "x"); err != nil; {
				_, err = call(t, s, "again", "x")
			}
			assertRuns(t, s, "again", 1)
			if got, want := s.Counts().Crashes, int64(1); got != want {
				t.Errorf("got %d crashes, want %d", got, want)
			}
		})
	}
}
