// Package logging builds the daemon's logger: one line of key=value pairs
// (logfmt) for each event.
//
// A line begins with ts (UTC, milliseconds), level, caller (file:line) and
// event (a constant lower_snake name or short phrase), followed by the event's fields.
// Values with spaces, quotes, "=" or control characters are quoted and escaped, so that
// a caller's input can never forge a line or a field.
package logging

import (
	"io"
	"strings"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Levels are the names of the levels, most verbose first.
var Levels = []string{"debug", "info", "warn", "error"}

// timeLayout is RFC 3339 with milliseconds. In UTC its output has a fixed width.
const timeLayout = "2006-01-02T15:04:05.000Z"

// New returns a logger that writes to w, and its level, which can be changed at run
// time. An unknown level is replaced by info and logged as a warning. Writes to w are
// serialised.
func New(w io.Writer, level string) (*zap.Logger, zap.AtomicLevel) {
	atomic := zap.NewAtomicLevelAt(zapcore.InfoLevel)
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoderConfig()), zapcore.Lock(zapcore.AddSync(w)), atomic)
	logger := zap.New(&plainCore{core}, zap.AddCaller())
	if err := SetLevel(atomic, level); err != nil {
		logger.Warn("log_level_unknown", zap.String("value", level))
	}
	return logger, atomic
}

// SetLevel changes the level to one of Levels. Any other name returns an ErrLevel error
// and changes nothing.
func SetLevel(atomic zap.AtomicLevel, level string) error {
	for _, known := range Levels {
		if level == known {
			return atomic.UnmarshalText([]byte(level))
		}
	}
	return ErrLevel.New("unknown level %q; allowed: debug, info, warn, error", level)
}

func encoderConfig() zapcore.EncoderConfig {
	return zapcore.EncoderConfig{
		TimeKey:        "ts",
		LevelKey:       "level",
		CallerKey:      "caller",
		MessageKey:     "event",
		LineEnding:     zapcore.DefaultLineEnding,
		EncodeTime:     encodeTime,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
		EncodeCaller:   zapcore.ShortCallerEncoder,
	}
}

func encodeTime(t time.Time, enc zapcore.PrimitiveArrayEncoder) {
	enc.AppendString(t.UTC().Format(timeLayout))
}

// FormatValue returns a text as it is written as the value of a field.
func FormatValue(text string) string {
	encoder := zaplogfmt.NewEncoder(zapcore.EncoderConfig{LineEnding: "\n"})
	line, err := encoder.EncodeEntry(zapcore.Entry{}, []zapcore.Field{zap.String("value", text)})
	if err != nil { // the encoder fails only for other kinds of fields
		return text
	}
	defer line.Free()
	return strings.TrimPrefix(strings.TrimSuffix(line.String(), "\n"), "value=")
}
