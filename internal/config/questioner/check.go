package questioner

import (
	"fmt"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"samphirewharf/internal/config/cataloger"
)

// Bounds of answers, and texts that describe accepted answers.
const (
	maxOrganisationLength = 200
	maxServers            = 10_000
	maxModels             = 10_000
	maxAdapters           = 100_000
	maxInFlight           = 10_000
	maxLoadsPerSecond     = 10_000
	maxFullSpeedLoads     = 10_000
	minLoadsPerSecond     = 0.001
	minBytes              = 1_000
	maxBytes              = 10_000_000_000_000
	minAnswerTime         = 100 * time.Millisecond
	maxUrgentAnswerTime   = 10 * time.Minute
	maxCanWaitAnswerTime  = 24 * time.Hour
	maxLoadTime           = time.Hour
	maxOneWayDelay        = 500 * time.Millisecond
	minAdapterLoadTime    = 100 * time.Microsecond
	maxAdapterLoadTime    = time.Minute
	minKeyRetention       = time.Minute
	maxKeyRetention       = 30 * 24 * time.Hour
	acceptedMethod        = `an HTTP method in upper case, or "*" for all`
	acceptedPathPrefix    = "a path that starts with '/', below the service's name"
	acceptedVersion       = "a version of the weights of up to 100 printable characters"
	reasonPlainOnly       = "it concerns services of kind Plain"
	reasonModelOnly       = "it concerns services of kind Model"
	acceptedUniqueNames   = "a name that no other model or adapter has, group numbers included"
)

// Check returns every mistake of the TOML questionnaire, sorted by line. A document that isn't
// valid TOML has one mistake, because the parser stops at it.
func Check(data []byte) []Mistake {
	_, mistakes := read(data)
	return mistakes
}

// Parse decodes and checks a TOML questionnaire. If it has mistakes, the error wraps a *CheckError with all of them.
func Parse(data []byte) (Questionnaire, error) {
	q, mistakes := read(data)
	if len(mistakes) > 0 {
		return Questionnaire{}, fmt.Errorf("checking questionnaire: %w", &CheckError{Mistakes: mistakes})
	}
	return q, nil
}

func read(data []byte) (Questionnaire, []Mistake) {
	d := newDocument(data)
	if len(d.mistakes) > 0 {
		return Questionnaire{}, d.mistakes
	}
	q := readQuestionnaire(newTable(d, "", d.root))
	sortMistakes(d.mistakes)
	return q, d.mistakes
}

func readQuestionnaire(t *table) Questionnaire {
	q := Questionnaire{
		Organisation: t.text("Organisation", "a name of up to 200 characters", func(s string) bool {
			return strings.TrimSpace(s) != "" && utf8.RuneCountInString(s) <= maxOrganisationLength
		}),
		WeighsMore: cataloger.Weighting(t.oneOf("WeighsMore",
			string(cataloger.WeightColdStart), string(cataloger.WeightIdleHours))),
		UrgentAnswers: t.duration("UrgentAnswers", minAnswerTime, maxUrgentAnswerTime),
	}
	q.CanWaitAnswers = t.duration("CanWaitAnswers", q.UrgentAnswers, maxCanWaitAnswerTime)
	zones := make(map[string]bool)
	for _, element := range t.tables("Zones", 1) {
		q.Zones = append(q.Zones, readZone(element, zones))
	}
	services := make(map[string]Service)
	for _, element := range t.tables("Services", 1) {
		s := readService(element, zones)
		if _, usedNames := services[s.Name]; !usedNames {
			services[s.Name] = s
		} else if s.Name != "" {
			element.reject("Name", "a name that no other service has")
		}
		q.Services = append(q.Services, s)
	}
	usedNames := make(map[string]bool)
	for _, element := range t.tables("Models", 0) {
		q.Models = append(q.Models, readModelGroup(element, services, usedNames))
	}
	t.rejectUnknown()
	return q
}

func readZone(t *table, zones map[string]bool) Zone {
	z := Zone{
		Name:   t.name("Name"),
		Region: t.name("Region"),
		OneWay: t.duration("OneWay", 0, maxOneWayDelay),
	}
	if zones[z.Name] && z.Name != "" {
		t.reject("Name", "a name that no other zone has")
	}
	zones[z.Name] = true
	t.rejectUnknown()
	return z
}

func readService(t *table, zones map[string]bool) Service {
	s := Service{
		Name: t.name("Name"),
		Kind: cataloger.ServiceKind(t.oneOf("Kind", string(cataloger.KindModel), string(cataloger.KindPlain))),
		Zones: t.textList("Zones", "the name of a zone in [[Zones]]", func(name string) bool {
			return name != "" && zones[name]
		}),
		Servers: t.positiveInteger("Servers", maxServers),
	}
	switch s.Kind {
	case cataloger.KindModel:
		readModelService(t, &s)
	case cataloger.KindPlain:
		readPlainService(t, &s)
	default:
		return s
	}
	t.rejectUnknown()
	return s
}

func readModelService(t *table, s *Service) {
	s.Memory = t.size("Memory", maxBytes)
	s.ChecksFencing = t.boolean("ChecksFencing")
	for _, name := range []string{"InFlight", "NeverRepeat", "IdentityHeader", "KeysRememberedFor"} {
		t.forbid(name, reasonPlainOnly)
	}
	store := t.table("WeightStore")
	if store == nil {
		return
	}
	s.WeightStore = WeightStore{
		LoadsPerSecond:    store.float("LoadsPerSecond", minLoadsPerSecond, maxLoadsPerSecond),
		FullSpeedLoads:    store.positiveInteger("FullSpeedLoads", maxFullSpeedLoads),
		LoadSpeed:         store.size("LoadSpeed", maxBytes),
		FullSpeedAdapters: store.positiveInteger("FullSpeedAdapters", maxFullSpeedLoads),
		AdapterLoad:       store.duration("AdapterLoad", minAdapterLoadTime, maxAdapterLoadTime),
	}
	store.rejectUnknown()
}

func readPlainService(t *table, s *Service) {
	for _, name := range []string{"Memory", "ChecksFencing", "WeightStore"} {
		t.forbid(name, reasonModelOnly)
	}
	s.InFlight = t.positiveInteger("InFlight", maxInFlight)
	for _, rule := range t.tables("NeverRepeat", 0) {
		s.NeverRepeat = append(s.NeverRepeat, readRule(rule))
	}
	if !t.has("NeverRepeat") {
		t.forbid("IdentityHeader", "no request is in [[Services.NeverRepeat]]")
		t.forbid("KeysRememberedFor", "no request is in [[Services.NeverRepeat]]")
		return
	}
	if t.has("IdentityHeader") {
		s.IdentityHeader = t.text("IdentityHeader", acceptedHeader, headerPattern.MatchString)
	}
	t.knownNames["IdentityHeader"] = true
	s.KeysRememberedFor = t.duration("KeysRememberedFor", minKeyRetention, maxKeyRetention)
}

func readRule(t *table) cataloger.Rule {
	rule := cataloger.Rule{
		Method: t.oneOf("Method", "*", http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodGet),
		PathPrefix: t.text("PathPrefix", acceptedPathPrefix, func(s string) bool {
			return strings.HasPrefix(s, "/") && !strings.ContainsAny(s, "?# \t\r\n")
		}),
	}
	t.rejectUnknown()
	return rule
}

// readModelGroup reads one group of models and checks that they fit the servers of their service.
func readModelGroup(t *table, services map[string]Service, usedNames map[string]bool) ModelGroup {
	g := ModelGroup{Name: t.name("Name"), Count: 1, Version: "1"}
	t.knownNames["Count"], t.knownNames["Version"] = true, true
	if t.has("Count") {
		g.Count = t.positiveInteger("Count", maxModels)
	}
	if t.has("Version") {
		g.Version = t.text("Version", acceptedVersion, func(s string) bool {
			return s != "" && len(s) <= maxNameLength && strings.IndexFunc(s, notPrintable) < 0
		})
	}
	g.Service = t.text("Service", "the name of a service of kind Model", func(name string) bool {
		s, known := services[name]
		return name != "" && known && s.Kind != cataloger.KindPlain
	})
	maxSize := services[g.Service].Memory
	if maxSize < minBytes {
		maxSize = maxBytes
	}
	g.Size = t.size("Size", maxSize)
	if speed := services[g.Service].WeightStore.LoadSpeed; speed > 0 && g.Size/speed >= int64(maxLoadTime/time.Second) {
		t.reject("Size", fmt.Sprintf("a size that loads in less than %v at LoadSpeed %s", maxLoadTime, formatSize(speed)))
	}
	for _, element := range t.tables("Adapters", 0) {
		g.Adapters = append(g.Adapters, readAdapterGroup(element, maxSize-g.Size))
	}
	t.rejectUnknown()
	reserveNames(t, g, usedNames)
	return g
}

func readAdapterGroup(t *table, maxSize int64) AdapterGroup {
	g := AdapterGroup{Name: t.name("Name"), Count: 1}
	t.knownNames["Count"] = true
	if t.has("Count") {
		g.Count = t.positiveInteger("Count", maxAdapters)
	}
	g.Size = t.size("Size", maxSize)
	t.rejectUnknown()
	return g
}

// reserveNames adds the names of the group's models and adapters to usedNames. It records a mistake if one is
// in use already.
func reserveNames(t *table, g ModelGroup, usedNames map[string]bool) {
	if g.Name == "" {
		return
	}
	adapters := 0
	for _, a := range g.Adapters {
		adapters += a.Count
	}
	if adapters*g.Count > maxAdapters {
		t.reject("Count", fmt.Sprintf("a count that makes at most %d adapters with [[Models.Adapters]]", maxAdapters))
		return
	}
	for _, model := range g.names() {
		names := []string{model}
		for _, a := range g.Adapters {
			if a.Name != "" {
				names = append(names, a.names(model)...)
			}
		}
		for _, name := range names {
			if usedNames[name] {
				t.reject("Name", acceptedUniqueNames)
				return
			}
			usedNames[name] = true
		}
	}
}

// notPrintable reports whether the rune is not a printable ASCII character.
func notPrintable(r rune) bool { return r < ' ' || r > '~' }
