package questioner

import (
	"embed"
	"fmt"
	"strings"
)

// Sizes of the questionnaire that TwoYears returns. Every service whose index is a multiple of
// twoYearPlainEvery is a plain service.
const (
	twoYearRegions          = 3
	twoYearZones            = 7
	twoYearServices         = 60
	twoYearServers          = 50
	twoYearModels           = 560
	twoYearAdapters         = 18_000
	twoYearPlainEvery       = 4
	twoYearModelGigabytes   = 6
	twoYearServerGigabytes  = 80
	twoYearAdapterMegabytes = 50
)

//go:embed examples/*.toml
var examples embed.FS

//go:embed template.toml
var template []byte

// Example returns the example questionnaire examples/NAME.toml.
func Example(name string) ([]byte, error) {
	data, err := examples.ReadFile("examples/" + name + ".toml")
	if err != nil {
		return nil, fmt.Errorf("reading example questionnaire %q: %w", name, err)
	}
	return data, nil
}

// ExampleNames returns the names of the example questionnaires, sorted.
func ExampleNames() []string {
	entries, err := examples.ReadDir("examples")
	if err != nil {
		return nil
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}

// Template returns a commented questionnaire for a new team to fill in. It has no mistakes.
func Template() []byte { return append([]byte(nil), template...) }

// TwoYears returns a questionnaire of the size expected in two years: 60 services of 50 servers,
// 560 models and 18,000 adapters in 3 regions with 7 availability zones.
func TwoYears() []byte {
	var b strings.Builder
	b.WriteString("Organisation = \"Two years on\"\nWeighsMore = \"ColdStart\"\nUrgentAnswers = \"20s\"\nCanWaitAnswers = \"10m\"\n")
	for i := range twoYearZones {
		fmt.Fprintf(&b, "[[Zones]]\nName = \"zone-%d\"\nRegion = \"region-%d\"\nOneWay = \"1ms\"\n", i, i%twoYearRegions)
	}
	var models []string
	for i := range twoYearServices {
		name := fmt.Sprintf("service-%02d", i)
		fmt.Fprintf(&b, "[[Services]]\nName = %q\nZones = [\"zone-%d\"]\nServers = %d\n", name, i%twoYearZones, twoYearServers)
		if i%twoYearPlainEvery == 0 {
			b.WriteString("Kind = \"Plain\"\nInFlight = 64\nKeysRememberedFor = \"24h\"\n")
			b.WriteString("[[Services.NeverRepeat]]\nMethod = \"POST\"\nPathPrefix = \"/bookings\"\n")
			continue
		}
		models = append(models, name)
		fmt.Fprintf(&b, "Kind = \"Model\"\nMemory = \"%dGB\"\nChecksFencing = %t\n", twoYearServerGigabytes, i%2 == 1)
		b.WriteString("[Services.WeightStore]\nLoadsPerSecond = 3\nFullSpeedLoads = 4\nLoadSpeed = \"10GB\"\n")
		b.WriteString("FullSpeedAdapters = 32\nAdapterLoad = \"8ms\"\n")
	}
	for i := range twoYearModels {
		adapters := (i+1)*twoYearAdapters/twoYearModels - i*twoYearAdapters/twoYearModels
		fmt.Fprintf(&b, "[[Models]]\nName = \"model-%03d\"\nService = %q\nSize = \"%dGB\"\n", i, models[i%len(models)], twoYearModelGigabytes)
		fmt.Fprintf(&b, "[[Models.Adapters]]\nName = \"adapter\"\nCount = %d\nSize = \"%dMB\"\n", adapters, twoYearAdapterMegabytes)
	}
	return []byte(b.String())
}
