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
	LeaseTime     time.Duration `help:"TTL of the daemon's lease in the key-value service, from 1s to 1m." default:"2s"`
	AddressLife   time.Duration `help:"TTL of the addresses in answers to callers, from 500ms to 1m; the platform may set less." default:"2s"`
	MemoryPercent int           `help:"Soft limit of the Go runtime as a percentage of the memory limit, from 10 to 90; near it the garbage collector runs more often." default:"25"`
	LogLevel      string        `help:"Lowest level that is logged." enum:"debug,info,warn,error" default:"info"`
}

// gcPercent is the heap growth between garbage collections. It is below Go's default of 100, because memory costs
// more than processor time here.
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
	debug.SetMemoryLimit(settings.MemoryLimitBytes * int64(c.MemoryPercent) / 100)
	peer := net.JoinHostPort(settings.IP, strconv.Itoa(settings.FirstPort))
	launcherSettings, target := settings.LauncherSettings(peer, conductor.Settings{LeaseTTL: c.LeaseTime, AddressTTL: c.AddressLife})
	launcherSettings.DroppedLines, launcherSettings.FlushLog = writer.Dropped, writer.Flush
	daemon, err := launcher.New(launcherSettings, target, logger)
	if err != nil {
		return fmt.Errorf("starting daemon: %w", err)
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	daemon.Start()
	logger.Info().Str("Daemon", settings.Daemon).Str("Zone", settings.Zone).Str("Front", settings.CallerAddress).Str("Peer", peer).
		Str("Store", settings.StoreAddress).Int64("MemoryBytes", settings.MemoryLimitBytes).
		Str("LeaseTime", c.LeaseTime.String()).Str("AddressLife", c.AddressLife.String()).Msg("start")
	return c.handleSignals(daemon, signals, logger)
}

// A libraryWriter forwards what libraries write to the standard library's logger to the structured log.
type libraryWriter struct{ logger *log.Logger }

// Write logs one line at level info.
func (w *libraryWriter) Write(p []byte) (int, error) {
	w.logger.Info().Str("Detail", strings.TrimSpace(string(p))).Msg("library")
	return len(p), nil
}

// handleSignals handles signals until the daemon has exited: SIGHUP checks the settings file again, the first
// SIGTERM or SIGINT starts a planned stop, and a second one returns at once with an error.
func (c *edgeCommand) handleSignals(daemon *launcher.Daemon, signals <-chan os.Signal, logger *log.Logger) error {
	stopping := false
	for {
		select {
		case s := <-signals:
			switch {
			case s == syscall.SIGHUP:
				c.reload(logger)
			case stopping:
				return errors.New("stopped by a second signal before all requests were finished")
			default:
				stopping = true
				daemon.Stop()
			}
		case <-daemon.Exited():
			if !stopping {
				return errors.New("daemon exited unexpectedly")
			}
			logger.Info().Msg("stop")
			return nil
		}
	}
}

// reload reads the settings file again and logs whether it is valid. Changes of the process's own settings take
// effect at the next start.
func (c *edgeCommand) reload(logger *log.Logger) {
	settings, err := platform.ReadSettings(c.Settings)
	if err != nil {
		logger.Error().Err(err).Msg("reload failed; keeping the current settings")
		return
	}
	logger.Info().Str("Daemon", settings.Daemon).Str("Zone", settings.Zone).Msg("reload")
}

func (c *edgeCommand) validate() error {
	for _, setting := range []struct {
		name     string
		value    time.Duration
		minimum  time.Duration
		accepted string
	}{
		{"--lease-time", c.LeaseTime, time.Second, "a duration from 1s to 1m"},
		{"--address-life", c.AddressLife, 500 * time.Millisecond, "a duration from 500ms to 1m"},
	} {
		if setting.value < setting.minimum || setting.value > time.Minute {
			return &SettingError{Name: setting.name, Value: setting.value.String(), Accepted: setting.accepted}
		}
	}
	if c.MemoryPercent < 10 || c.MemoryPercent > 90 {
		return &SettingError{Name: "--memory-percent", Value: strconv.Itoa(c.MemoryPercent), Accepted: "a whole number from 10 to 90"}
	}
	return nil
}
