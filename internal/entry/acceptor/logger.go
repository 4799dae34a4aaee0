package acceptor

import "github.com/phuslu/log"

// A Logger passes the log lines of nbio and nbhttp to phuslu/log. Give it to nbio's logging.SetLogger.
type Logger struct {
	// Logger is where the lines go; nil means log.DefaultLogger.
	Logger *log.Logger
}

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
