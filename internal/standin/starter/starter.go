// Package starter starts the stand-ins of all external systems in one process: the key-value service,
// the host list and the backend servers of some services.
package starter

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/external/lister"
	"samphirewharf/internal/standin/announcer"
	"samphirewharf/internal/standin/booker"
	"samphirewharf/internal/standin/inferrer"
	"samphirewharf/internal/standin/keeper"
	"samphirewharf/internal/standin/loader"
)

const (
	defaultHost     = "127.0.0.1"
	registerTimeout = 5 * time.Second
)

var errUnknownKind = errors.New("unknown service kind")

// A Starter starts and stops the stand-ins.
type Starter struct {
	settings        Settings
	keyValueService *keeper.KeyValueService
	hostList        *announcer.HostList
	weightStore     *loader.Store
	engines         []*inferrer.Engine
	plainServers    []*booker.PlainServer
	addresses       Addresses
	// nextPort is the next port to listen on; 0 means that free ports are selected.
	nextPort int
}

// New returns a starter for the settings. Nothing is started yet.
func New(settings Settings) *Starter {
	return &Starter{
		settings:        settings,
		keyValueService: &keeper.KeyValueService{WritesPerSecond: settings.WritesPerSecond, ReadsPerSecond: settings.ReadsPerSecond, Seed: settings.Seed},
		hostList:        &announcer.HostList{},
		weightStore: &loader.Store{
			LoadsPerSecond:    settings.Store.LoadsPerSecond / settings.timeScale(),
			FullSpeedLoads:    settings.Store.FullSpeedLoads,
			FullSpeedAdapters: settings.Store.FullSpeedAdapters,
		},
		nextPort: settings.BasePort,
	}
}

// Addresses returns the addresses of the started parts.
func (s *Starter) Addresses() Addresses { return s.addresses }

// HostList returns the stand-in for the host list.
func (s *Starter) HostList() *announcer.HostList { return s.hostList }

// PlainServers returns the stand-ins for the servers of all plain services.
func (s *Starter) PlainServers() []*booker.PlainServer { return s.plainServers }

// Engines returns the stand-ins for the engines of all model services.
func (s *Starter) Engines() []*inferrer.Engine { return s.engines }

// KeyValueService returns the stand-in for the key-value service.
func (s *Starter) KeyValueService() *keeper.KeyValueService { return s.keyValueService }

// Start starts all parts of the settings. After an error, none is running. A starter must not be started twice.
func (s *Starter) Start() error {
	if err := s.start(); err != nil {
		s.Stop()
		return fmt.Errorf("start stand-ins: %w", err)
	}
	return nil
}

// Stop stops all parts.
func (s *Starter) Stop() {
	for _, e := range s.engines {
		e.Stop()
	}
	for _, server := range s.plainServers {
		server.Stop()
	}
	s.hostList.Stop()
	s.keyValueService.Stop()
}

// Store returns the stand-in for the weight store.
func (s *Starter) Store() *loader.Store { return s.weightStore }

func (s *Starter) start() error {
	keyValueAddress, hostListAddress := s.nextAddress(), s.nextAddress()
	if s.settings.includes(PartKeyValueService) {
		if err := s.keyValueService.Start(keyValueAddress); err != nil {
			return err
		}
		s.addresses.KeyValueService = s.keyValueService.Address()
	}
	if s.settings.includes(PartHostList) {
		if err := s.hostList.Start(hostListAddress); err != nil {
			return err
		}
		s.addresses.HostList = s.hostList.Address()
	}
	if s.settings.includes(PartServers) {
		for _, service := range s.settings.Services {
			if err := s.startService(service); err != nil {
				return fmt.Errorf("service %s: %w", service.Name, err)
			}
		}
	}
	return s.register()
}

// nextAddress returns the next address to listen on.
func (s *Starter) nextAddress() string {
	host := s.settings.Host
	if host == "" {
		host = defaultHost
	}
	port := s.nextPort
	if port != 0 {
		s.nextPort++
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}

func (s *Starter) startService(service Service) error {
	for number := range service.Servers {
		host := lister.Host{
			Server:      fmt.Sprintf("%s-%02d", service.Name, number+1),
			Service:     service.Name,
			Zone:        s.settings.zone(service, number),
			MemoryBytes: service.MemoryBytes,
			State:       lister.HostLive,
		}
		address, err := s.startServer(service, host.Server)
		if err != nil {
			return err
		}
		host.Address = address
		s.addresses.Servers = append(s.addresses.Servers, host)
	}
	return nil
}

// startServer starts one backend server and returns its address.
func (s *Starter) startServer(service Service, name string) (string, error) {
	switch service.Kind {
	case cataloger.KindModel:
		engine := s.newEngine(service, name)
		s.engines = append(s.engines, engine)
		err := engine.Start(s.nextAddress())
		return engine.Address(), err
	case cataloger.KindPlain:
		server := &booker.PlainServer{
			Server:         name,
			IdentityHeader: service.IdentityHeader,
			RunTime:        service.RunTime.D(),
			RestartAfter:   s.settings.Engine.RestartAfter.D(),
		}
		s.plainServers = append(s.plainServers, server)
		err := server.Start(s.nextAddress())
		return server.Address(), err
	}
	return "", fmt.Errorf("%w %q", errUnknownKind, service.Kind)
}

func (s *Starter) newEngine(service Service, name string) *inferrer.Engine {
	e := s.settings.Engine
	return &inferrer.Engine{
		Server:            name,
		MemoryBytes:       service.MemoryBytes,
		ChecksFencing:     service.ChecksFencing,
		Store:             s.weightStore,
		TimeScale:         s.settings.timeScale(),
		AdapterLoad:       time.Duration(float64(s.settings.Store.AdapterLoad) * s.settings.timeScale()),
		UnloadTime:        e.UnloadTime.D(),
		PromptTime:        e.PromptTime.D(),
		TokenInterval:     e.TokenInterval.D(),
		ReportLag:         e.ReportLag.D(),
		EventDelay:        e.EventDelay.D(),
		EventLossShare:    e.EventLossShare,
		RestartAfter:      e.RestartAfter.D(),
		MemoryCheckpoints: e.MemoryCheckpoints,
		DiskCheckpoints:   e.DiskCheckpoints,
		Seed:              s.settings.Seed + uint64(len(s.engines)),
	}
}

// register adds the servers to the host list of this starter and to the one at RegisterAt.
func (s *Starter) register() error {
	change := announcer.Change{Add: s.addresses.Servers}
	s.hostList.Apply(change)
	s.hostList.SetFaults(announcer.Faults{Lag: s.settings.HostLag})
	if s.settings.RegisterAt == "" {
		return nil
	}
	body, err := json.Marshal(change)
	if err != nil {
		return fmt.Errorf("register at %s: %w", s.settings.RegisterAt, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
	defer cancel()
	target := "http://" + s.settings.RegisterAt + "/stand-in/hosts"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("register at %s: %w", s.settings.RegisterAt, err)
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return fmt.Errorf("register at %s: %w", s.settings.RegisterAt, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("register at %s: status %d", s.settings.RegisterAt, response.StatusCode)
	}
	return nil
}
