package cli

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"tarragonhollow.example/tarragonhollow/inifile"
)

// minEpochMs separates times from durations among the fields that end in _ms: values
// from here on are times. It is 1973 as a time and three years as a duration.
const minEpochMs = 100_000_000_000

// timeSuffixes are the suffixes of the names of fields that hold points in time.
var timeSuffixes = []string{"at_ms", "due_ms", "forecast_ms", "accepted_ms", "ended_ms"}

// block is one part of a rendered document: aligned rows under a title.
type block struct {
	Title string
	Rows  [][]string
	// Header is set if the first row holds the column names.
	Header bool
	// Marked holds the indexes of the rows that an HTML page highlights.
	Marked map[int]bool
}

// blocks splits a document into tables: the scalars of an object first, then each nested
// value with its path as title.
func (a *app) blocks(title string, n node) []block {
	if rows, ok := n.rows(a); ok {
		return []block{{Title: title, Rows: rows, Header: true}}
	}
	if n.kind != object {
		return []block{{Title: title, Rows: [][]string{{n.flat(a, title)}}}}
	}
	scalars := block{Title: title}
	var nested []block
	for i, v := range n.values {
		if v.kind == object || hasObjects(v) {
			nested = append(nested, a.blocks(strings.TrimPrefix(title+" / "+n.names[i], " / "), v)...)
			continue
		}
		scalars.Rows = append(scalars.Rows, []string{fieldLabel(n.names[i]), v.flat(a, n.names[i])})
	}
	if len(scalars.Rows) == 0 {
		return nested
	}
	return append([]block{scalars}, nested...)
}

// hasObjects reports whether n is an array that contains objects.
func hasObjects(n node) bool {
	return n.kind == array && slices.ContainsFunc(n.values, func(v node) bool { return v.kind == object })
}

// printBlocks prints blocks as tables, with an empty line between them.
func (a *app) printBlocks(blocks []block) {
	for i, b := range blocks {
		if i > 0 {
			fmt.Fprintln(a.Out)
		}
		if b.Title != "" {
			fmt.Fprintln(a.Out, printable(b.Title)+":")
		}
		writeTable(a.Out, b.Rows)
	}
}

// scalarFor formats a value by the unit that the field's name ends with.
func (a *app) scalarFor(name, text string) string {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return text
	}
	switch {
	case isUnset(name, number):
		return "-"
	case strings.HasSuffix(name, "_ms") && number >= minEpochMs:
		return a.timeWithAge(int64(number))
	case strings.HasSuffix(name, "_ms"):
		return formatDuration(milliseconds(int64(number)))
	case strings.HasSuffix(name, "_bytes"):
		return inifile.FormatSize(int64(number))
	case strings.Contains(text, "."):
		return strconv.FormatFloat(number, 'g', 4, 64)
	default:
		return text
	}
}

// isUnset reports whether a field in milliseconds has no value yet: a time that is 0 (as
// a duration it would read as "at once") or a negative age.
func isUnset(name string, number float64) bool {
	isTime := slices.ContainsFunc(timeSuffixes, func(suffix string) bool { return strings.HasSuffix(name, suffix) })
	return isTime && number == 0 || strings.HasSuffix(name, "_ms") && number < 0
}

// milliseconds converts n milliseconds to a duration.
func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// fieldLabel returns a field's name as words, without the unit, which is printed with
// the value.
func fieldLabel(name string) string {
	name = strings.TrimSuffix(strings.TrimSuffix(name, "_ms"), "_bytes")
	return strings.ReplaceAll(name, "_", " ")
}

// columnHeaders returns the table header for the fields' names.
func columnHeaders(names []string) []string {
	out := make([]string, len(names))
	for i, name := range names {
		out[i] = strings.ToUpper(fieldLabel(name))
	}
	return out
}

// union appends to names those of more that it does not contain yet.
func union(names, more []string) []string {
	for _, name := range more {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}
