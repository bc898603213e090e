package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"tarragonhollow.example/tarragonhollow/inifile"
)

// Encode returns the settings as an INI text that Parse reads back to the same values.
// The text includes the admin token.
func (s *Settings) Encode() string {
	var w writer
	copied := *s
	copied.walk(&w)
	return strings.TrimPrefix(w.String(), "\n")
}

// writer is the visitor that writes every key. Empty values are omitted: they are the
// defaults of the keys that may be empty.
type writer struct {
	strings.Builder
}

func (w *writer) set(key, value string) {
	if value != "" {
		fmt.Fprintf(w, "%s = %s\n", key, value)
	}
}

func (w *writer) section(name string) { fmt.Fprintf(w, "\n[%s]\n", name) }

func (w *writer) name(key string, field *string) { w.set(key, *field) }

func (w *writer) names(key string, field *[]string) { w.set(key, strings.Join(*field, ", ")) }

func (w *writer) address(key string, field *string) { w.set(key, *field) }

func (w *writer) optionalAddress(key string, field *string) { w.set(key, *field) }

func (w *writer) addresses(key string, field *[]string) { w.set(key, strings.Join(*field, ", ")) }

func (w *writer) url(key string, field *string, _ bool) { w.set(key, *field) }

func (w *writer) secret(key string, field *string, _ int) { w.set(key, *field) }

func (w *writer) enum(key string, field *string, _ ...string) { w.set(key, *field) }

func (w *writer) number(key string, field *int, _, _ int) { w.set(key, strconv.Itoa(*field)) }

func (w *writer) duration(key string, field *time.Duration, _, _ time.Duration) {
	w.set(key, inifile.FormatDuration(*field))
}

func (w *writer) size(key string, field *int64, _, _ int64) { w.set(key, inifile.FormatSize(*field)) }

func (w *writer) fraction(key string, field *float64, _, _ float64) {
	w.set(key, strconv.FormatFloat(*field, 'g', -1, 64))
}

// The values of a toggle.
const (
	toggleOn  = "on"
	toggleOff = "off"
)

func toggleText(on bool) string {
	if on {
		return toggleOn
	}
	return toggleOff
}

func (w *writer) toggle(key string, field *bool) { w.set(key, toggleText(*field)) }
