package runner

import (
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"samphirewharf/internal/daemon/scribe"
	"samphirewharf/internal/decision/conductor"
	"samphirewharf/internal/edge/launcher"
	"samphirewharf/internal/entry/acceptor"
	"samphirewharf/platform"
)

// An edgeCommand runs a daemon on a host of the users' platform until SIGTERM or SIGINT, which start a planned stop.
type edgeCommand struct {
	Settings      string        `help:"Settings file that the platform writes." required:"" type:"path"`
	LeaseTime     time.Duration `help:"Life of the daemon's lease in the key-value service, from 1s to 1m." default:"2s"`
	AddressLife   time.Duration `help:"How long callers may keep the addresses that they are told, from 500ms to 1m; the platform may set less." default:"2s"`
	MemoryPercent int           `help:"Percentage of the memory limit from which on the garbage collector works harder, from 10 to 90." default:"25"`
	LogLevel      string        `help:"Lowest level that is logged." enum:"debug,info,warn,error" default:"info"`
}

// garbagePercent is how much the heap may grow between collections. Memory is dearer than processor time here.
const gcPercent = 50

// Run runs the daemon.
func (c *edgeCommand) Run(r *Runner) error {
	if err := c.validate(); err != nil {
		return err
	}
	settings, err := platform.ReadSettings(c.Settings)
	if err != nil {
		return &SettingError{Name: "--settings", Value: c.Settings, Accepted: "a settings file of the platform: " + err.Error()}
	}
	writer := scribe.NewWriter(r.Stdout)
	defer func() { _ = writer.Close() }()
	logger := &log.Logger{Level: log.ParseLevel(c.LogLevel), Writer: writer}
	acceptor.RouteLogs(logger)
	stdlog.SetFlags(0)
	stdlog.SetOutput(&libraryWriter{logger: logger})
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(settings.MemoryBytes * int64(c.MemoryPercent) / 100)
	peer := net.JoinHostPort(settings.IP, strconv.Itoa(settings.FirstPort))
	launcherSettings, target := settings.LauncherSettings(peer, conductor.Settings{LeaseTTL: c.LeaseTime, AddressTTL: c.AddressLife})
	launcherSettings.DroppedLines = writer.Dropped
	daemon, err := launcher.New(launcherSettings, target, logger)
	if err != nil {
		return fmt.Errorf("start daemon: %w", err)
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	daemon.Start()
	logger.Info().Str("Daemon", settings.Daemon).Str("Zone", settings.Zone).Str("Front", settings.Front).Str("Peer", peer).
		Str("Store", settings.StoreAddress).Int64("MemoryBytes", settings.MemoryBytes).
		Str("LeaseTime", c.LeaseTime.String()).Str("AddressLife", c.AddressLife.String()).Msg("start")
	return c.handleSignals(daemon, signals, logger)
}

// A libraryWriter takes the lines that libraries write to the standard library's logger.
type libraryWriter struct{ logger *log.Logger }

// Write logs one line.
func (w *libraryWriter) Write(p []byte) (int, error) {
	w.logger.Info().Str("Detail", strings.TrimSpace(string(p))).Msg("library")
	return len(p), nil
}

// handleSignals follows signals until the daemon has ended.
func (c *edgeCommand) handleSignals(daemon *launcher.Daemon, signals <-chan os.Signal, logger *log.Logger) error {
	stopping := false
	for {
		select {
		case s := <-signals:
			switch {
			case s == syscall.SIGHUP:
				c.reload(logger)
			case stopping:
				return errors.New("stopped before requests were finished")
			default:
				stopping = true
				daemon.Stop()
			}
		case <-daemon.Exited():
			if !stopping {
				return errors.New("daemon ended unexpectedly")
			}
			logger.Info().Msg("stop")
			return nil
		}
	}
}

// reload checks the settings file again. What it says of the process itself holds from the next start.
func (c *edgeCommand) reload(logger *log.Logger) {
	settings, err := platform.ReadSettings(c.Settings)
	if err != nil {
		logger.Error().Err(err).Msg("reload failed; the settings in force stay")
		return
	}
	logger.Info().Str("Daemon", settings.Daemon).Str("Zone", settings.Zone).Msg("reload")
}

func (c *edgeCommand) validate() error {
	for _, d := range []struct {
		name       string
		value      time.Duration
		least      time.Duration
		acceptable string
	}{
		{"--lease-time", c.LeaseTime, time.Second, "a duration from 1s to 1m"},
		{"--address-life", c.AddressLife, 500 * time.Millisecond, "a duration from 500ms to 1m"},
	} {
		if d.value < d.least || d.value > time.Minute {
			return &SettingError{Name: d.name, Value: d.value.String(), Accepted: d.acceptable}
		}
	}
	if c.MemoryPercent < 10 || c.MemoryPercent > 90 {
		return &SettingError{Name: "--memory-percent", Value: strconv.Itoa(c.MemoryPercent), Accepted: "a whole number from 10 to 90"}
	}
	return nil
}
