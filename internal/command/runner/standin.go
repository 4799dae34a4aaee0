package runner

import (
	"fmt"
	"io"
	"math"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"samphirewharf/internal/config/cataloger"
	"samphirewharf/internal/config/questioner"
	"samphirewharf/internal/standin/starter"
)

// maxTimeScale bounds --time-scale.
const maxTimeScale = 1000

// A standinCommand runs stand-ins for the platform and the backend servers until SIGTERM or SIGINT.
type standinCommand struct {
	Questionnaire string        `arg:"" optional:"" help:"Questionnaire whose services are started; the demo's by default." type:"existingfile"`
	Part          []string      `help:"Part to start (KeyValueService, HostList, Servers); all by default." enum:"KeyValueService,HostList,Servers" env:"SAMPHIREWHARF_STANDIN_PART"`
	Host          string        `help:"IP to listen on; it must be a loopback address." default:"127.0.0.1" env:"SAMPHIREWHARF_STANDIN_HOST"`
	BasePort      int           `help:"Port of the key-value service; the host list has the next one and the servers those after it. 0 picks free ports." default:"7300" env:"SAMPHIREWHARF_STANDIN_BASE_PORT"`
	RegisterAt    string        `help:"IP and port of a host list started elsewhere." env:"SAMPHIREWHARF_STANDIN_REGISTER_AT"`
	TimeScale     float64       `help:"Factor on load times." default:"1" env:"SAMPHIREWHARF_STANDIN_TIME_SCALE"`
	TokenInterval time.Duration `help:"Time between two tokens of an engine." default:"10ms" env:"SAMPHIREWHARF_STANDIN_TOKEN_INTERVAL"`
	RestartAfter  time.Duration `help:"Delay until a crashed server restarts." default:"2s" env:"SAMPHIREWHARF_STANDIN_RESTART_AFTER"`
	HostLag       time.Duration `help:"Delay until changes appear in the host list." env:"SAMPHIREWHARF_STANDIN_HOST_LAG"`
	Seed          uint64        `help:"Seed of random choices." default:"1" env:"SAMPHIREWHARF_STANDIN_SEED"`
}

// Run runs the stand-ins.
func (c *standinCommand) Run(r *Runner) error {
	questionnaire, err := c.readQuestionnaire()
	if err != nil {
		return err
	}
	if err := c.validate(questionnaire); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	parts := starter.New(c.settings(questionnaire))
	if err := parts.Start(); err != nil {
		return fmt.Errorf("starting stand-ins: %w", err)
	}
	defer parts.Stop()
	addresses := parts.Addresses()
	if _, err := io.WriteString(r.Stdout, describeParts(addresses)); err != nil {
		return fmt.Errorf("writing output: %w", err)
	}
	<-signals
	return nil
}

// describeParts returns one line with the address of each part, and a last line "ready".
func describeParts(addresses starter.Addresses) string {
	var b strings.Builder
	fmt.Fprintf(&b, "KeyValueService %s\nHostList %s\n", addresses.KeyValueService, addresses.HostList)
	for _, h := range addresses.Servers {
		fmt.Fprintf(&b, "Server %s %s %s %s\n", h.Server, h.Service, h.Zone, h.Address)
	}
	b.WriteString("ready\n")
	return b.String()
}

// readQuestionnaire reads the given questionnaire, or the one of the demo.
func (c *standinCommand) readQuestionnaire() (questioner.Questionnaire, error) {
	data, err := questioner.Example("demo")
	if c.Questionnaire != "" {
		data, err = os.ReadFile(c.Questionnaire)
	}
	if err != nil {
		return questioner.Questionnaire{}, fmt.Errorf("reading questionnaire: %w", err)
	}
	return questioner.Parse(data)
}

func (c *standinCommand) settings(q questioner.Questionnaire) starter.Settings {
	settings := starter.Settings{
		Host:       c.Host,
		BasePort:   c.BasePort,
		RegisterAt: c.RegisterAt,
		Seed:       c.Seed,
		HostLag:    cataloger.Duration(c.HostLag),
		TimeScale:  c.TimeScale,
		Engine: starter.Engine{
			TokenInterval: cataloger.Duration(c.TokenInterval),
			RestartAfter:  cataloger.Duration(c.RestartAfter),
		},
	}
	for _, part := range c.Part {
		settings.Parts = append(settings.Parts, starter.Part(part))
	}
	return settings.WithQuestionnaire(q)
}

func (c *standinCommand) validate(q questioner.Questionnaire) error {
	if host, err := netip.ParseAddr(c.Host); err != nil || !host.IsLoopback() {
		return &SettingError{Name: "--host", Value: c.Host, Accepted: "a loopback address, such as 127.0.0.1"}
	}
	ports := 2
	for _, service := range q.Services {
		ports += service.Servers
	}
	if maxBasePort := maxPort + 1 - ports; c.BasePort < 0 || c.BasePort > maxBasePort {
		return &SettingError{Name: "--base-port", Value: strconv.Itoa(c.BasePort), Accepted: fmt.Sprintf("0 or a port up to %d, for %d ports", maxBasePort, ports)}
	}
	if c.RegisterAt != "" {
		if err := validateReachable("--register-at", c.RegisterAt); err != nil {
			return err
		}
	}
	if math.IsNaN(c.TimeScale) || c.TimeScale <= 0 || c.TimeScale > maxTimeScale {
		return &SettingError{Name: "--time-scale", Value: fmt.Sprint(c.TimeScale), Accepted: fmt.Sprintf("a number above 0, up to %d", maxTimeScale)}
	}
	return c.validateDurations()
}

func (c *standinCommand) validateDurations() error {
	durations := []struct {
		name  string
		value time.Duration
	}{
		{"--token-interval", c.TokenInterval},
		{"--restart-after", c.RestartAfter},
		{"--host-lag", c.HostLag},
	}
	for _, d := range durations {
		if d.value < 0 {
			return &SettingError{Name: d.name, Value: d.value.String(), Accepted: "a duration from 0s"}
		}
	}
	return nil
}
