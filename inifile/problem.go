package inifile

import (
	"fmt"
	"strings"
)

// Problem is one fault of an INI text, told so that a person can mend it
// without reading the program.
type Problem struct {
	// File is the name given to Parse.
	File string
	// Line counts from 1; 0 says that no single line is to blame.
	Line int
	// Section is the section's full name, "" before the first section.
	Section string
	// Key is the key's name, "" when the section itself is the fault.
	Key string
	// Value is the refused value; HasValue tells it from an absent one.
	Value    string
	HasValue bool
	// Reason says what is wrong, e.g. "unknown key".
	Reason string
	// Allowed says what would be accepted.
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
	b.WriteString(p.place())
	b.WriteString(p.Reason)
	if p.Allowed != "" {
		b.WriteString("; allowed: " + p.Allowed)
	}
	return b.String()
}

// place returns "[SECTION] KEY = "VALUE": " as far as they are known.
func (p *Problem) place() string {
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

// Problems is every fault of one text, in the order of its lines.
type Problems []*Problem

// Error implements error with one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}
