package keeper_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"samphirewharf/internal/standin/keeper"
)

func start(t *testing.T, k *keeper.KeyValueService) *keeper.KeyValueService {
	t.Helper()
	if err := k.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Stop)
	return k
}

func post(t *testing.T, k *keeper.KeyValueService, path, body string) (status int, answer string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+k.Address()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, strings.TrimSpace(string(data))
}

func TestKeeperJSON(t *testing.T) {
	k := start(t, &keeper.KeyValueService{})
	const header = `"header":{"cluster_id":"1","member_id":"1","revision":`
	for _, test := range []struct {
		name, path, body, want string
		status                 int
	}{
		{"put", "/v3/kv/put", `{"key":"YQ==","value":"MQ=="}`, `{` + header + `"2","raft_term":"1"}}`, 200},
		{
			"range", "/v3/kv/range", `{"key":"YQ=="}`,
			`{` + header + `"2","raft_term":"1"},"kvs":[{"key":"YQ==","create_revision":"2","mod_revision":"2","version":"1","value":"MQ=="}],"count":"1"}`, 200,
		},
		{
			"failed transaction", "/v3/kv/txn",
			`{"compare":[{"target":"CREATE","key":"YQ==","create_revision":0}],"success":[{"request_put":{"key":"YQ=="}}]}`,
			`{` + header + `"2","raft_term":"1"}}`, 200,
		},
		{
			"transaction", "/v3/kv/txn",
			`{"compare":[{"target":"VALUE","key":"YQ==","value":"MQ=="}],"success":[{"request_delete_range":{"key":"YQ=="}}]}`,
			`{` + header + `"3","raft_term":"1"},"succeeded":true,"responses":[{"response_delete_range":{` + header + `"3","raft_term":"1"},"deleted":"1"}}]}`, 200,
		},
		{
			"unknown lease", "/v3/lease/revoke", `{"ID":"5"}`,
			`{"error":"etcdserver: requested lease not found","message":"etcdserver: requested lease not found","code":5}`, 404,
		},
		{"expired lease", "/v3/lease/keepalive", `{"ID":"5"}`, `{"result":{` + header + `"3","raft_term":"1"},"ID":"5"}}`, 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			status, got := post(t, k, test.path, test.body)
			if got != test.want || status != test.status {
				t.Errorf("got  %d %s\nwant %d %s", status, got, test.status, test.want)
			}
		})
	}
}

func TestKeeperRateLimit(t *testing.T) {
	k := start(t, &keeper.KeyValueService{WritesPerSecond: 1e-6})
	for _, want := range []int{http.StatusOK, http.StatusTooManyRequests} {
		if got, _ := post(t, k, "/v3/kv/put", `{"key":"YQ=="}`); got != want {
			t.Errorf("got status %d, want %d", got, want)
		}
	}
	counts := k.Counts()
	if got, want := [3]int64{counts.Put, counts.Writes, counts.Refused}, [3]int64{2, 2, 1}; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestKeeperFaultsOverHTTP(t *testing.T) {
	k := start(t, &keeper.KeyValueService{})
	status, got := post(t, k, "/stand-in/faults", `{"RefuseWrites":true,"Delay":"1ms"}`)
	if status != http.StatusOK {
		t.Fatalf("got status %d: %s", status, got)
	}
	if got, _ := post(t, k, "/v3/kv/put", `{"key":"YQ=="}`); got != http.StatusServiceUnavailable {
		t.Errorf("got status %d, want %d", got, http.StatusServiceUnavailable)
	}
	if got, _ := post(t, k, "/v3/kv/range", `{"key":"YQ=="}`); got != http.StatusOK {
		t.Errorf("got status %d, want %d", got, http.StatusOK)
	}
}
