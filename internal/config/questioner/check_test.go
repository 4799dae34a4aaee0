package questioner

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

// editedTemplate returns the template with one line replaced.
func editedTemplate(t *testing.T, line, replacement string) []byte {
	t.Helper()
	text := string(Template())
	if !strings.Contains(text, "\n"+line+"\n") {
		t.Fatalf("the template has no line %q", line)
	}
	return []byte(strings.Replace(text, "\n"+line+"\n", "\n"+replacement+"\n", 1))
}

// lineOf returns the number of the last line that equals the text.
func lineOf(t *testing.T, data []byte, line string) int {
	t.Helper()
	lines := strings.Split(string(data), "\n")
	for i := len(lines); i > 0; i-- {
		if lines[i-1] == line {
			return i
		}
	}
	t.Fatalf("no line %q", line)
	return 0
}

func assertEqual[T any](t *testing.T, got, want T) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestCheckOneMistake(t *testing.T) {
	tests := []struct {
		name, line, replacement string
		wantName, wantValue     string
		wantAccepted            string
	}{
		{"unknown key", `CanWaitAnswers = "10m"`, "CanWaitAnswers = \"10m\"\nColour = \"red\"", "Colour", `"red"`, "Organisation"},
		{"unknown choice", `WeighsMore = "ColdStart"`, `WeighsMore = "Both"`, "WeighsMore", `"Both"`, `"ColdStart" or "IdleHours"`},
		{"wrong type", `Servers = 4`, `Servers = "four"`, "Services[0].Servers", `"four"`, "a whole number from 1 to 10000"},
		{"out of bounds", `Servers = 4`, `Servers = 0`, "Services[0].Servers", "0", "a whole number from 1 to 10000"},
		{"not a duration", `UrgentAnswers = "20s"`, `UrgentAnswers = "soon"`, "UrgentAnswers", `"soon"`, "a duration from 100ms to 10m0s"},
		{"can-wait deadline below the urgent one", `CanWaitAnswers = "10m"`, `CanWaitAnswers = "10s"`, "CanWaitAnswers", `"10s"`, "from 20s"},
		{"not a size", `Memory = "80GB"`, `Memory = "80"`, "Services[0].Memory", `"80"`, "with a unit"},
		{"not a boolean", `ChecksFencing = true`, `ChecksFencing = 1`, "Services[0].ChecksFencing", "1", "true or false"},
		{"not a number", `LoadsPerSecond = 3.0`, `LoadsPerSecond = nan`, "Services[0].WeightStore.LoadsPerSecond", "NaN", "a number from 0.001"},
		{"unknown zone", `Zones = ["zone-a", "zone-b"]`, `Zones = ["zone-a", "zone-x"]`, "Services[0].Zones[1]", `"zone-x"`, "[[Zones]]"},
		{"unknown service", `Service = "assistant"`, `Service = "bookings"`, "Models[0].Service", `"bookings"`, "a service of kind Model"},
		{"too large", `Size = "14GB"`, `Size = "81GB"`, "Models[0].Size", `"81GB"`, "to 80GB"},
		{"too slow to load", `LoadSpeed = "10GB"`, `LoadSpeed = "2MB"`, "Models[0].Size", `"14GB"`, "less than 1h0m0s at LoadSpeed 2MB"},
		{"adapter too large", `Size = "100MB"`, `Size = "67GB"`, "Models[0].Adapters[0].Size", `"67GB"`, "to 66GB"},
		{"duplicate zone name", `OneWay = "1ms"`, "OneWay = \"1ms\"\n[[Zones]]\nRegion = \"r\"\nOneWay = \"1ms\"\nName = \"zone-a\"", "Zones[1].Name", `"zone-a"`, "no other zone"},
		{"duplicate service name", `Name = "bookings"`, `Name = "assistant"`, "Services[1].Name", `"assistant"`, "no other service"},
		{"group with the name of a model", `Name = "lookups"`, `Name = "drafts"`, "", "", ""},
		{"name in use", `Name = "drafts"`, `Name = "lookups-2"`, "Models[1].Name", `"lookups"`, "group numbers included"},
		{"invalid method", `Method = "POST"`, `Method = "post"`, "Services[1].NeverRepeat[0].Method", `"post"`, `"POST"`},
		{"relative path", `PathPrefix = "/bookings"`, `PathPrefix = "bookings"`, "Services[1].NeverRepeat[0].PathPrefix", `"bookings"`, "starts with '/'"},
		{"invalid header", `IdentityHeader = "Idempotency-Key"`, `IdentityHeader = "a b"`, "Services[1].IdentityHeader", `"a b"`, "an HTTP header name"},
		{"answer for another kind", `InFlight = 32`, "InFlight = 32\nMemory = \"1GB\"", "Services[1].Memory", `"1GB"`, "kind Model"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			data := editedTemplate(t, test.line, test.replacement)
			got := Check(data)
			if test.wantName == "" {
				assertEqual(t, got, nil)
				return
			}
			if len(got) != 1 {
				t.Fatalf("got %d mistakes %v, want 1", len(got), got)
			}
			assertEqual(t, got[0].Name, test.wantName)
			assertEqual(t, got[0].Value, test.wantValue)
			if !strings.Contains(got[0].Accepted, test.wantAccepted) {
				t.Errorf("got accepted %q, want it to contain %q", got[0].Accepted, test.wantAccepted)
			}
			// The mistakes of these two tests are not on the replaced line.
			if test.name != "name in use" && test.name != "too slow to load" {
				replacementLines := strings.Split(test.replacement, "\n")
				assertEqual(t, got[0].Line, lineOf(t, data, replacementLines[len(replacementLines)-1]))
			}
		})
	}
}

func TestCheckEveryMistake(t *testing.T) {
	data := []byte(`WeighsMore = 1
UrgentAnswers = "1s"
Extra = true
Zones = [{Name = "a", Region = "r", OneWay = "x"}, 3]
[[Services]]
Name = "s"
Kind = "Model"
Zones = ["a"]
[[Models]]
Name = "Upper"
Service = "s"
Size = "1GB"
`)
	var got []string
	for _, m := range Check(data) {
		got = append(got, m.Name)
	}
	want := []string{
		"CanWaitAnswers", "Organisation", "WeighsMore", "Extra", "Zones[0].OneWay", "Zones[1]",
		"Services[0].ChecksFencing", "Services[0].Memory", "Services[0].Servers", "Services[0].WeightStore", "Models[0].Name",
	}
	assertEqual(t, got, want)
}

func TestCheckSyntax(t *testing.T) {
	got := Check([]byte("Organisation = \"a\"\nWeighsMore = \n"))
	if len(got) != 1 || got[0].Line != 2 {
		t.Errorf("got %v, want one mistake in line 2", got)
	}
}

func TestParseError(t *testing.T) {
	_, err := Parse(nil)
	var check *CheckError
	if !errors.As(err, &check) || len(check.Mistakes) != 6 {
		t.Fatalf("got %v, want a CheckError with 6 mistakes", err)
	}
	if got := check.Error(); !strings.Contains(got, "line 1: Organisation is missing or empty; accepted: a name") {
		t.Errorf("got %q, want line, name and what is accepted", got)
	}
}

func FuzzQuestionnaire(f *testing.F) {
	f.Add(Template())
	for _, name := range ExampleNames() {
		data, err := Example(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("a.b = 1\n[[x]]\n[x.y]\n[[x.z]]\nq = [[1], {k = 2}]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		q, err := Parse(data)
		mistakes := Check(data)
		if (err == nil) != (len(mistakes) == 0) {
			t.Fatalf("got error %v and mistakes %v", err, mistakes)
		}
		lines := strings.Count(string(data), "\n") + 1
		for _, m := range mistakes {
			if m.Line < 1 || m.Line > lines || m.Accepted == "" || m.Name == "" {
				t.Fatalf("got mistake %+v in %d lines", m, lines)
			}
		}
		if err != nil {
			return
		}
		configuration, explanations := Generate(q)
		again, explanationsAgain := Generate(q)
		assertEqual(t, again, configuration)
		assertEqual(t, explanationsAgain, explanations)
		assertValid(t, q, configuration)
	})
}
