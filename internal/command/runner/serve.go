package runner

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"regexp"
	"strconv"
	"syscall"
	"time"

	"samphirewharf/internal/daemon/assembler"
	"samphirewharf/internal/entry/acceptor"
)

// maxDrainTime bounds --drain-time.
const maxDrainTime = 10 * time.Minute

// daemonPattern matches valid daemon IDs. An ID is part of a key in the key-value service, so it has no '/'.
var daemonPattern = regexp.MustCompile(`^[!-.0-~]{1,100}$`)

// A serveCommand runs an entry daemon until SIGTERM or SIGINT, which start a planned stop.
type serveCommand struct {
	Daemon         string        `help:"Daemon's ID, unique among those running; the host name and port by default." env:"SAMPHIREWHARF_DAEMON"`
	Listen         string        `help:"IP and port to listen on." default:"127.0.0.1:8080" env:"SAMPHIREWHARF_LISTEN"`
	Advertise      string        `help:"IP and port that callers and other daemons use; the one listened on by default." env:"SAMPHIREWHARF_ADVERTISE"`
	Zone           string        `help:"Availability zone of the entry host." required:"" env:"SAMPHIREWHARF_ZONE"`
	Region         string        `help:"Region of the entry host; empty if there is only one." env:"SAMPHIREWHARF_REGION"`
	HostsAddress   string        `help:"IP and port of the platform's host list." required:"" env:"SAMPHIREWHARF_HOSTS_ADDRESS"`
	DrainTime      time.Duration `help:"Minimum time that a planned stop keeps accepting new requests; raised to the time to live of address answers if that is longer." default:"6s" env:"SAMPHIREWHARF_DRAIN_TIME"`
	MaxRequests    int           `help:"Maximum number of concurrent requests." default:"20000" env:"SAMPHIREWHARF_MAX_REQUESTS"`
	MaxConnections int           `help:"Maximum number of open connections." default:"10000" env:"SAMPHIREWHARF_MAX_CONNECTIONS"`
	MaxBodyBytes   int           `help:"Size of the largest request body." default:"4194304" env:"SAMPHIREWHARF_MAX_BODY_BYTES"`
	Record         string        `help:"File to write all events to, for the replay command; it holds callers' idempotency keys, not their requests." type:"path" env:"SAMPHIREWHARF_RECORD"`
	LogLevel       string        `help:"Lowest level that is logged." enum:"debug,info,warn,error" default:"info" env:"SAMPHIREWHARF_LOG_LEVEL"`
}

// Run runs the daemon.
func (c *serveCommand) Run(r *Runner) error {
	if err := c.validate(r.settings); err != nil {
		return err
	}
	logger, writer := r.newLogger(c.LogLevel)
	defer func() { _ = writer.Close() }()
	acceptor.RouteLogs(logger)
	recording, err := c.createRecording()
	if err != nil {
		return err
	}
	daemon, err := assembler.New(assembler.Settings{
		Daemon:       c.daemonID(),
		Listen:       c.Listen,
		Advertise:    c.Advertise,
		Zone:         c.Zone,
		Region:       c.Region,
		StoreAddress: r.settings.StoreAddress,
		HostsAddress: c.HostsAddress,
		StoreTimeout: r.settings.StoreTimeout,
		DrainTime:    c.DrainTime,
		MaxRequests:  c.MaxRequests,
		Limits:       acceptor.Limits{MaxConnections: c.MaxConnections, MaxBodyBytes: c.MaxBodyBytes},
		Record:       recording,
		Logger:       logger,
	})
	if err != nil {
		return fmt.Errorf("starting daemon: %w", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	daemon.Start()
	logger.Info().Str("Daemon", c.daemonID()).Str("Address", daemon.Address()).Msg("serving")
	select {
	case <-signals:
		daemon.Stop()
	case <-daemon.Exited():
		return errors.New("daemon exited unexpectedly")
	}
	select {
	case <-signals:
		return errors.New("stopped by a second signal before all requests were finished")
	case <-daemon.Exited():
		logger.Info().Str("Daemon", c.daemonID()).Msg("planned stop done")
		return nil
	}
}

// createRecording creates the file to record events to. It returns nil if --record is not set.
func (c *serveCommand) createRecording() (io.Writer, error) {
	if c.Record == "" {
		return nil, nil
	}
	file, err := os.Create(c.Record)
	if err != nil {
		return nil, &SettingError{Name: "--record", Value: c.Record, Accepted: "a file that can be written: " + err.Error()}
	}
	return file, nil
}

// daemonID returns --daemon, or the host name and the listening address.
func (c *serveCommand) daemonID() string {
	if c.Daemon != "" {
		return c.Daemon
	}
	host, err := os.Hostname()
	if err != nil {
		host = "daemon"
	}
	return host + "@" + c.Listen
}

// validate checks the settings of this subcommand and that a store address is set.
func (c *serveCommand) validate(shared Settings) error {
	if shared.StoreAddress == "" {
		return &SettingError{Name: "--store-address", Accepted: acceptedAddress}
	}
	if err := c.validateAddresses(); err != nil {
		return err
	}
	if err := validateZone("--zone", c.Zone); err != nil {
		return err
	}
	if c.Region != "" {
		if err := validateZone("--region", c.Region); err != nil {
			return err
		}
	}
	if !daemonPattern.MatchString(c.daemonID()) {
		return &SettingError{Name: "--daemon", Value: c.Daemon, Accepted: "a name of up to 100 letters, digits and other printable characters, but no space or '/'"}
	}
	if c.DrainTime < 0 || c.DrainTime > maxDrainTime {
		return &SettingError{Name: "--drain-time", Value: c.DrainTime.String(), Accepted: "a duration from 0s to 10m"}
	}
	return c.validateLimits()
}

// validateAddresses checks the addresses. An address that listens on all interfaces can't be given to callers, so
// --advertise is required with it.
func (c *serveCommand) validateAddresses() error {
	if err := validateAddress("--listen", c.Listen); err != nil {
		return err
	}
	if err := validateReachable("--hosts-address", c.HostsAddress); err != nil {
		return err
	}
	if c.Advertise != "" {
		return validateReachable("--advertise", c.Advertise)
	}
	listen, err := netip.ParseAddrPort(c.Listen)
	if err != nil || listen.Addr().IsUnspecified() {
		return &SettingError{Name: "--advertise", Accepted: acceptedAddress + ", as --listen " + c.Listen + " is no address that others can connect to"}
	}
	return nil
}

func (c *serveCommand) validateLimits() error {
	limits := []struct {
		name  string
		value int
	}{
		{"--max-requests", c.MaxRequests},
		{"--max-connections", c.MaxConnections},
		{"--max-body-bytes", c.MaxBodyBytes},
	}
	for _, l := range limits {
		if l.value < 1 {
			return &SettingError{Name: l.name, Value: strconv.Itoa(l.value), Accepted: "a whole number from 1"}
		}
	}
	return nil
}
