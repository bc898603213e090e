package inifile

import (
	"fmt"
	"strings"
)

// Problem describes one error in an INI text so that a person can correct it without
// reading the source code.
type Problem struct {
	// File is the name given to Parse.
	File string
	// Line is the line number, starting at 1; 0 if the problem is not on a single line.
	Line int
	// Section is the section's full name, "" before the first section.
	Section string
	// Key is the key's name, "" if the problem is the section itself.
	Key string
	// Value is the refused value; HasValue distinguishes an empty one from an absent one.
	Value    string
	HasValue bool
	// Reason is what is wrong, e.g. "unknown key".
	Reason string
	// Allowed is what would be accepted.
	Allowed string
}

// Error implements error: FILE:LINE: [SECTION] KEY = "VALUE": REASON; ALLOWED.
func (p *Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(": ")
	b.WriteString(p.location())
	b.WriteString(p.Reason)
	if p.Allowed != "" {
		b.WriteString("; allowed: " + p.Allowed)
	}
	return b.String()
}

// location returns "[SECTION] KEY = "VALUE": ", without the parts that are not set.
func (p *Problem) location() string {
	var parts []string
	if p.Section != "" {
		parts = append(parts, "["+p.Section+"]")
	}
	if p.Key != "" {
		parts = append(parts, p.Key)
	}
	if p.HasValue {
		parts = append(parts, fmt.Sprintf("= %q", p.Value))
	}
	if len(parts) == 0 {
		return ""
	}
	return strings.Join(parts, " ") + ": "
}

// Problems is the list of all problems of one text, in the order of its lines.
type Problems []*Problem

// Error implements error with one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}
