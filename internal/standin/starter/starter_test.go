package starter_test

import (
	"strconv"
	"strings"
	"testing"

	"samphirewharf/internal/backend/orderer"
	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/external/lister"
	"samphirewharf/internal/external/storer"
	"samphirewharf/internal/standin/starter"
)

func start(t *testing.T, settings starter.Settings) *starter.Starter {
	t.Helper()
	s := starter.New(settings)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

func assertListed(t *testing.T, address, service string, want []lister.Host) {
	t.Helper()
	client := &lister.Client{Address: address}
	got, _, _, err := client.List(t.Context(), service, "")
	if err != nil {
		t.Fatal(err)
	}
	if len(got) != len(want) {
		t.Fatalf("got %d hosts, want %d", len(got), len(want))
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("got %v, want %v", got[i], want[i])
		}
	}
}

var services = []starter.Service{
	{Name: "m", Kind: cataloger.KindModel, Servers: 3, MemoryBytes: 100, ChecksFencing: true},
	{Name: "p", Kind: cataloger.KindPlain, Servers: 1, Zones: []string{"c"}},
}

func TestStarter(t *testing.T) {
	t.Run("starts all parts", func(t *testing.T) {
		s := start(t, starter.Settings{Zones: []string{"a", "b"}, Services: services, TimeScale: 0.01})
		addresses := s.Addresses()
		assertListed(t, addresses.HostList, "m", addresses.Servers[:3])
		assertListed(t, addresses.HostList, "p", addresses.Servers[3:])
		_, got := (&storer.Client{Address: addresses.KeyValueService}).Get(t.Context(), "a")
		if got != storer.ResultNotFound {
			t.Errorf("got result %d, want %d", got, storer.ResultNotFound)
		}
		for i, want := range []string{"a", "b", "a", "c"} {
			if got := addresses.Servers[i].Zone; got != want {
				t.Errorf("got zone %q, want %q", got, want)
			}
		}
		report, err := (&orderer.Client{}).Poll(t.Context(), addresses.Servers[0].Address, 0)
		if got, want := report.MemoryBytes, int64(100); err != nil || got != want {
			t.Errorf("got %d bytes, %v, want %d", got, err, want)
		}
	})
	t.Run("registers servers at a host list of another starter", func(t *testing.T) {
		list := start(t, starter.Settings{Parts: []starter.Part{starter.PartHostList}})
		servers := start(t, starter.Settings{
			Parts:      []starter.Part{starter.PartServers},
			Services:   services,
			RegisterAt: list.Addresses().HostList,
		})
		assertListed(t, list.Addresses().HostList, "m", servers.Addresses().Servers[:3])
		if got := servers.Addresses().KeyValueService; got != "" {
			t.Errorf("got a key-value service at %s, want none", got)
		}
	})
	t.Run("uses the ports from the base port on", func(t *testing.T) {
		first := start(t, starter.Settings{Parts: []starter.Part{starter.PartKeyValueService}})
		_, port, _ := strings.Cut(first.Addresses().KeyValueService, ":")
		base, err := strconv.Atoi(port)
		if err != nil {
			t.Fatal(err)
		}
		second := starter.New(starter.Settings{BasePort: base})
		if err := second.Start(); err == nil {
			t.Errorf("got no error, want one for port %d, which is taken", base)
			second.Stop()
		}
	})
	t.Run("refuses an unknown kind of service", func(t *testing.T) {
		s := starter.New(starter.Settings{Services: []starter.Service{{Name: "x", Servers: 1}}})
		if err := s.Start(); err == nil {
			t.Error("got no error, want one")
			s.Stop()
		}
	})
}
