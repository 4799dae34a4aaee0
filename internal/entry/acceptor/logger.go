package acceptor

import (
	"github.com/lesismal/nbio/logging"
	"github.com/phuslu/log"
)

// A Logger passes the log lines of nbio and nbhttp to phuslu/log. See RouteLogs.
type Logger struct {
	// Logger is where the lines go; nil means log.DefaultLogger.
	Logger *log.Logger
}

// RouteLogs makes all of nbio and nbhttp log to the logger. Call it once, before the first Server.
func RouteLogs(logger *log.Logger) { logging.SetLogger(&Logger{Logger: logger}) }

// Debug logs at debug level.
func (l *Logger) Debug(format string, v ...any) { l.logger().Debug().Msgf(format, v...) }

// Error logs at warning level, since nbhttp reports callers that leave as errors.
func (l *Logger) Error(format string, v ...any) { l.logger().Warn().Msgf(format, v...) }

// Info logs at information level.
func (l *Logger) Info(format string, v ...any) { l.logger().Info().Msgf(format, v...) }

// Warn logs at warning level.
func (l *Logger) Warn(format string, v ...any) { l.logger().Warn().Msgf(format, v...) }

func (l *Logger) logger() *log.Logger {
	if l.Logger == nil {
		return &log.DefaultLogger
	}
	return l.Logger
}
