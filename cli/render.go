package cli

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"tarragonhollow.example/tarragonhollow/inifile"
)

// leastEpochMs parts times from durations among the fields that end in _ms:
// 1973 as a time, three years as a duration.
const leastEpochMs = 100_000_000_000

// timeSuffixes end the names of the fields that are points in time.
var timeSuffixes = []string{"at_ms", "due_ms", "forecast_ms", "accepted_ms", "ended_ms"}

// block is one part of a rendered document: aligned rows under a title.
type block struct {
	Title string
	Rows  [][]string
	// Header tells that the first row holds the columns' names.
	Header bool
	// Marked names the rows that a page highlights.
	Marked map[int]bool
}

// blocks splits a document into tables: the scalars of an object first, then
// each nested value under its path.
func (a *app) blocks(title string, n node) []block {
	if rows, ok := n.rows(a); ok {
		return []block{{Title: title, Rows: rows, Header: true}}
	}
	if n.kind != object {
		return []block{{Title: title, Rows: [][]string{{n.flat(a, title)}}}}
	}
	own := block{Title: title}
	var nested []block
	for i, v := range n.values {
		if v.kind == object || hasObjects(v) {
			nested = append(nested, a.blocks(strings.TrimPrefix(title+" / "+n.names[i], " / "), v)...)
			continue
		}
		own.Rows = append(own.Rows, []string{words(n.names[i]), v.flat(a, n.names[i])})
	}
	if len(own.Rows) == 0 {
		return nested
	}
	return append([]block{own}, nested...)
}

// hasObjects tells whether an array holds objects.
func hasObjects(n node) bool {
	return n.kind == array && slices.ContainsFunc(n.values, func(v node) bool { return v.kind == object })
}

// printBlocks prints blocks for a person.
func (a *app) printBlocks(blocks []block) {
	for i, b := range blocks {
		if i > 0 {
			fmt.Fprintln(a.Out)
		}
		if b.Title != "" {
			fmt.Fprintln(a.Out, printable(b.Title)+":")
		}
		table(a.Out, b.Rows)
	}
}

// scalarFor writes a value by the unit that its field's name ends with.
func (a *app) scalarFor(name, text string) string {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return text
	}
	switch {
	case unset(name, number):
		return "-"
	case strings.HasSuffix(name, "_ms") && number >= leastEpochMs:
		return a.when(int64(number))
	case strings.HasSuffix(name, "_ms"):
		return short(milliseconds(int64(number)))
	case strings.HasSuffix(name, "_bytes"):
		return inifile.FormatSize(int64(number))
	case strings.Contains(text, "."):
		return strconv.FormatFloat(number, 'g', 4, 64)
	default:
		return text
	}
}

// unset tells whether a field in milliseconds says that there is nothing yet: a
// time that is 0 (as a duration it would read as "at once") or a negative age.
func unset(name string, number float64) bool {
	isTime := slices.ContainsFunc(timeSuffixes, func(suffix string) bool { return strings.HasSuffix(name, suffix) })
	return isTime && number == 0 || strings.HasSuffix(name, "_ms") && number < 0
}

// milliseconds returns a duration.
func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// words turns a field's name into words; the unit goes into the value.
func words(name string) string {
	name = strings.TrimSuffix(strings.TrimSuffix(name, "_ms"), "_bytes")
	return strings.ReplaceAll(name, "_", " ")
}

// headers turns fields' names into the header of a table.
func headers(names []string) []string {
	out := make([]string, len(names))
	for i, name := range names {
		out[i] = strings.ToUpper(words(name))
	}
	return out
}

// union appends the names that are not there yet.
func union(names, more []string) []string {
	for _, name := range more {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}
