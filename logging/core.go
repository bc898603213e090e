package logging

import (
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

var errorNamespace = errorx.NewNamespace("logging")

// ErrLevel is the type of errors about unknown levels.
var ErrLevel = errorNamespace.NewType("level")

// maxTextBytes is the length of a text in bytes above which its rest is left out.
const maxTextBytes = 1 << 10

// shortened returns the text, or its beginning and its length.
//
// Failure guarded against: IDs and paths are chosen by callers and as long as a request allows.
// Thousands of lines that wait for the output would hold them.
func shortened(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return fmt.Sprintf("%s...(%d bytes)", strings.ToValidUTF8(text[:maxTextBytes], ""), len(text))
}

// plainCore rewrites fields that do not fit on one short line as plain text. An error
// with a stack trace would add the trace as a second field of several kilobytes. The
// encoder rejects structs, maps and marshalled objects, so such a field would be missing
// just when it is needed in an incident.
type plainCore struct {
	zapcore.Core
}

// With implements zapcore.Core.
func (c *plainCore) With(fields []zapcore.Field) zapcore.Core {
	return &plainCore{c.Core.With(plain(fields))}
}

// Check implements zapcore.Core. The embedded core's Check would add that core instead
// of this one.
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

// plain returns the fields with those rewritten that have to be. It copies the slice
// only if there are any.
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

// plainText returns the field's value as text and whether the field has to be rewritten.
func plainText(f zapcore.Field) (string, bool) {
	switch f.Type {
	case zapcore.StringType:
		return shortened(f.String), len(f.String) > maxTextBytes
	case zapcore.ErrorType:
		return shortened(fmt.Sprint(f.Interface)), true
	case zapcore.ReflectType, zapcore.ObjectMarshalerType:
		return shortened(fmt.Sprintf("%+v", f.Interface)), true
	default:
		return "", false
	}
}
