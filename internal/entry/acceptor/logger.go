package acceptor

import (
	"github.com/lesismal/nbio/logging"
	"github.com/phuslu/log"
)

// A Logger forwards the log messages of nbio and nbhttp to phuslu/log. See RouteLogs.
type Logger struct {
	// Logger receives the messages; nil means log.DefaultLogger.
	Logger *log.Logger
}

// RouteLogs makes nbio and nbhttp log to the logger, for the whole process. Call it once, before the first Server.
func RouteLogs(logger *log.Logger) { logging.SetLogger(&Logger{Logger: logger}) }

// Debug logs a message at debug level.
func (l *Logger) Debug(format string, v ...any) { l.logger().Debug().Msgf(format, v...) }

// Error logs a message at warning level, since nbhttp reports disconnected callers as errors.
func (l *Logger) Error(format string, v ...any) { l.logger().Warn().Msgf(format, v...) }

// Info logs a message at info level.
func (l *Logger) Info(format string, v ...any) { l.logger().Info().Msgf(format, v...) }

// Warn logs a message at warning level.
func (l *Logger) Warn(format string, v ...any) { l.logger().Warn().Msgf(format, v...) }

func (l *Logger) logger() *log.Logger {
	if l.Logger == nil {
		return &log.DefaultLogger
	}
	return l.Logger
}
