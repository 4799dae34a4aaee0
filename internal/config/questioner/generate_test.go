package questioner

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"samphirewharf/internal/config/cataloger"
)

func mustParse(t testing.TB, data []byte) Questionnaire {
	t.Helper()
	q, err := Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	return q
}

func mustParseExample(t testing.TB, name string) Questionnaire {
	t.Helper()
	data, err := Example(name)
	if err != nil {
		t.Fatal(err)
	}
	return mustParse(t, data)
}

// assertValid checks the invariants of every generated configuration.
func assertValid(t *testing.T, q Questionnaire, c cataloger.Configuration) {
	t.Helper()
	services := make(map[string]Service)
	for _, s := range q.Services {
		services[s.Name] = s
	}
	names := make(map[string]bool)
	for _, d := range c.Deployments {
		s := services[d.Service]
		if d.ReplicaBytes() > s.Memory || d.MaxReplicas < 1 || d.MaxReplicas > s.Servers {
			t.Errorf("got %s with %d bytes and %d replicas, want it to fit %d servers of %d bytes",
				d.Name, d.ReplicaBytes(), d.MaxReplicas, s.Servers, s.Memory)
		}
		if d.LoadFromMemory > d.LoadFromDisk || d.LoadFromDisk > d.Load || d.MaxInFlight < 1 || d.MaxQueue < 1 {
			t.Errorf("got %+v, want ordered load times and bounds", d)
		}
		names[d.Name] = true
		for _, a := range d.Adapters {
			names[a.Name] = true
			if d.AdapterSlots < 1 || a.Bytes > d.AdapterBytes {
				t.Errorf("got %d slots of %d bytes in %s, want room for %d", d.AdapterSlots, d.AdapterBytes, d.Name, a.Bytes)
			}
		}
	}
	if got, want := len(names), countElements(c).deployments+countElements(c).adapters; got != want {
		t.Errorf("got %d different names, want %d", got, want)
	}
	if c.Limits.MinKeepAlive > c.Limits.MaxKeepAlive {
		t.Errorf("got keep-alive from %v to %v", c.Limits.MinKeepAlive.D(), c.Limits.MaxKeepAlive.D())
	}
}

type counts struct{ zones, services, deployments, adapters int }

func countElements(c cataloger.Configuration) counts {
	n := counts{zones: len(c.Zones), services: len(c.Services), deployments: len(c.Deployments)}
	for _, d := range c.Deployments {
		n.adapters += len(d.Adapters)
	}
	return n
}

func TestGenerateSizes(t *testing.T) {
	tests := []struct {
		name string
		q    Questionnaire
		want counts
	}{
		{"birlik", mustParseExample(t, "birlik"), counts{4, 2, 40, 80}},
		{"bellmouth", mustParseExample(t, "bellmouth"), counts{3, 2, 45, 100}},
		{"demo", mustParseExample(t, "demo"), counts{2, 3, 6, 8}},
		{"template", mustParse(t, Template()), counts{2, 2, 4, 7}},
		{"two years", mustParse(t, TwoYears()), counts{7, 60, 560, 18_000}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, explanations := Generate(test.q)
			assertEqual(t, countElements(got), test.want)
			assertValid(t, test.q, got)
			for _, e := range explanations {
				if e.Name == "" || e.Value == "" || e.Reason == "" {
					t.Errorf("got incomplete explanation %+v", e)
				}
			}
		})
	}
}

// TestDocumentation checks that docs/CONFIGURATION.md documents each derived value and each answer.
func TestDocumentation(t *testing.T) {
	page, err := os.ReadFile("../../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	_, explanations := Generate(mustParseExample(t, "demo"))
	for _, e := range explanations {
		names = append(names, e.Name[strings.LastIndex(e.Name, ".")+1:])
	}
	for _, answer := range regexp.MustCompile(`(?m)^[A-Z]\w+`).FindAll(Template(), -1) {
		names = append(names, string(answer))
	}
	for _, want := range names {
		if !strings.Contains(string(page), want+"`") {
			t.Errorf("the page doesn't name `%s`", want)
		}
	}
}

func TestGenerateValues(t *testing.T) {
	birlik, _ := Generate(mustParseExample(t, "birlik"))
	bellmouth, _ := Generate(mustParseExample(t, "bellmouth"))
	t.Run("load from size and weight store", func(t *testing.T) {
		assertEqual(t, birlik.Deployments[0].Load.D(), 1400*time.Millisecond)
		assertEqual(t, birlik.Deployments[0].LoadFromDisk.D(), 466*time.Millisecond)
	})
	t.Run("replicas by weighting", func(t *testing.T) {
		assertEqual(t, birlik.Deployments[0].MaxReplicas, 6)
		assertEqual(t, bellmouth.Deployments[0].MaxReplicas, 5)
	})
	t.Run("keep-alive by weighting", func(t *testing.T) {
		assertEqual(t, birlik.Limits.MaxKeepAlive.D(), 12*time.Hour)
		assertEqual(t, bellmouth.Limits.MaxKeepAlive.D(), 2*time.Minute)
		assertEqual(t, birlik.Limits.MinKeepAlive.D(), 5*time.Hour)
		assertEqual(t, bellmouth.Limits.MinKeepAlive.D(), 72*time.Second)
	})
	t.Run("claims", func(t *testing.T) {
		want := cataloger.Service{
			Name: "exchange-desk", Kind: cataloger.KindPlain, IdentityHeader: "Swap-Reference",
			NonIdempotent:  []cataloger.Rule{{Method: "POST", PathPrefix: "/swaps"}, {Method: "POST", PathPrefix: "/holds"}},
			ClaimRetention: cataloger.Duration(48 * time.Hour), MaxInFlight: 64, Deadline: cataloger.Duration(15 * time.Second),
		}
		assertEqual(t, bellmouth.Services[1], want)
	})
	t.Run("names", func(t *testing.T) {
		assertEqual(t, birlik.Deployments[0].Name, "rate-explanation-01")
		assertEqual(t, birlik.Deployments[0].Adapters[2].Name, "rate-explanation-01-guild-3")
	})
	t.Run("fencing", func(t *testing.T) {
		demo, _ := Generate(mustParseExample(t, "demo"))
		assertEqual(t, []bool{demo.Services[0].ChecksFencing, demo.Services[1].ChecksFencing}, []bool{true, false})
	})
}

func BenchmarkGenerateTwoYears(b *testing.B) {
	data := TwoYears()
	for b.Loop() {
		Generate(mustParse(b, data))
	}
}
