package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"tarragonhollow.example/tarragonhollow/inifile"
)

// rows is the visitor that formats each key as a row of the documentation.
type rows struct{ lines []string }

func (r *rows) row(key, value, allowed string) {
	if value == "" {
		value = "none"
	}
	r.lines = append(r.lines, fmt.Sprintf("| `%s` | %s | %s |", key, value, allowed))
}

func (r *rows) section(name string)               { r.lines = append(r.lines, "### ["+name+"]") }
func (r *rows) name(key string, _ *string)        { r.row(key, "required", "letters, digits, `_`, `.`, `-`") }
func (r *rows) names(key string, _ *[]string)     { r.row(key, "", "names, separated by commas") }
func (r *rows) address(key string, _ *string)     { r.row(key, "required", "`IP:PORT`") }
func (r *rows) addresses(key string, _ *[]string) { r.row(key, "", "`IP:PORT, IP:PORT, ...`") }
func (r *rows) optionalAddress(key string, _ *string) {
	r.row(key, "", "`IP:PORT`")
}

func (r *rows) secret(key string, _ *string, minBytes int) {
	r.row(key, "", fmt.Sprintf("at least %d characters", minBytes))
}

func (r *rows) url(key string, _ *string, required bool) {
	r.row(key, map[bool]string{true: "required"}[required], "`http://IP:PORT`")
}

func (r *rows) enum(key string, field *string, allowed ...string) {
	r.row(key, *field, strings.Join(allowed, ", "))
}

func (r *rows) number(key string, field *int, low, high int) {
	r.row(key, fmt.Sprint(*field), fmt.Sprintf("%d to %d", low, high))
}

func (r *rows) duration(key string, field *time.Duration, low, high time.Duration) {
	f := inifile.FormatDuration
	r.row(key, f(*field), f(low)+" to "+f(high))
}

func (r *rows) size(key string, field *int64, low, high int64) {
	f := inifile.FormatSize
	r.row(key, f(*field), f(low)+" to "+f(high))
}

func (r *rows) toggle(key string, field *bool) {
	r.row(key, toggleText(*field), toggleOn+", "+toggleOff)
}

func (r *rows) fraction(key string, field *float64, low, high float64) {
	r.row(key, fmt.Sprint(*field), fmt.Sprintf("%v to %v", low, high))
}

// TestDocumentation checks that docs/SETTINGS.md lists every key with its default and
// range, in order.
func TestDocumentation(t *testing.T) {
	text, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	var r rows
	s := Default()
	s.walk(&r)
	f := DefaultFront()
	f.walk(&r)
	rest := string(text)
	for _, line := range r.lines {
		_, after, found := strings.Cut(rest, "\n"+line)
		if !found {
			t.Fatalf("docs/SETTINGS.md lacks, or has out of order: %s", line)
		}
		rest = after
	}
}
