package logging

import (
	"fmt"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

var errorNamespace = errorx.NewNamespace("logging")

// ErrLevel is the type of errors about unknown levels.
var ErrLevel = errorNamespace.NewType("level")

// plainCore rewrites the fields that do not fit on one short line. Errors that
// carry a stack trace would add it as a second field of several kilobytes, and
// the encoder refuses structs, maps and marshalled objects: the field would be
// lost just when an incident needs it. Both are written as plain text.
type plainCore struct {
	zapcore.Core
}

// With implements zapcore.Core.
func (c *plainCore) With(fields []zapcore.Field) zapcore.Core {
	return &plainCore{c.Core.With(plain(fields))}
}

// Check implements zapcore.Core; the embedded one would enlist itself instead.
func (c *plainCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c *plainCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, plain(fields))
}

// plain copies the fields only if one of them has to be rewritten.
func plain(fields []zapcore.Field) []zapcore.Field {
	var copied []zapcore.Field
	for i, f := range fields {
		text, ok := plainText(f)
		if !ok {
			continue
		}
		if copied == nil {
			copied = append(copied, fields...)
		}
		copied[i] = zap.String(f.Key, text)
	}
	if copied == nil {
		return fields
	}
	return copied
}

// plainText returns the text for a field that has to be rewritten.
func plainText(f zapcore.Field) (string, bool) {
	switch f.Type {
	case zapcore.ErrorType:
		return fmt.Sprint(f.Interface), true
	case zapcore.ReflectType, zapcore.ObjectMarshalerType:
		return fmt.Sprintf("%+v", f.Interface), true
	default:
		return "", false
	}
}
