package inifile

import (
	"fmt"
	"strings"
)

// scan reads the lines to find what the library does not report: line numbers, duplicate
// sections and keys, and syntax that the library accepts leniently.
func (f *File) scan(text string) {
	var current *section
	for i, raw := range strings.Split(text, "\n") {
		line := strings.TrimSpace(raw)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			current = f.scanHeader(line, i+1)
		default:
			f.scanEntry(current, line, i+1)
		}
	}
}

// scanHeader opens a section. A duplicate section is a problem, since the second would
// silently extend or override the first.
func (f *File) scanHeader(line string, number int) *section {
	name := strings.TrimSuffix(strings.TrimPrefix(line, "["), "]")
	if !strings.HasSuffix(line, "]") || !validName(name, " .-") {
		f.addProblem(&Problem{Line: number, Reason: fmt.Sprintf("bad section header %q", line),
			Allowed: "[name] of letters, digits, space, '_', '.' and '-'"})
		return nil
	}
	if first, ok := f.sections[name]; ok {
		f.addProblem(&Problem{Line: number, Section: name,
			Reason: fmt.Sprintf("duplicate section, first on line %d", first.line)})
		return nil
	}
	return f.open(name, number)
}

// scanEntry records a key, its value and its line number.
func (f *File) scanEntry(s *section, line string, number int) {
	key, value, found := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	p := &Problem{Line: number, Key: key, Value: value, HasValue: found}
	if s != nil {
		p.Section = s.name
	}
	switch {
	case !found || !validName(key, ""):
		p.Key, p.HasValue = "", false
		p.Reason, p.Allowed = fmt.Sprintf("cannot read %q", line), "key = value, [section] or # comment"
	case s == nil && len(f.order) > 0:
		return // below a header that has already been reported
	case s == nil:
		p.Reason = "key outside of a section"
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`):
		p.Reason, p.Allowed = "values of several lines are not supported", "a value on one line without quotes"
	default:
		if first, ok := s.keys[key]; ok {
			p.Reason = fmt.Sprintf("duplicate key, first on line %d", first.line)
			break
		}
		s.keys[key] = entry{value: value, line: number}
		s.order = append(s.order, key)
		return
	}
	f.addProblem(p)
}

// addProblem records a problem.
func (f *File) addProblem(p *Problem) {
	p.File = f.name
	f.problems = append(f.problems, p)
}

// validName reports whether a name consists of letters, digits, '_' and the extra
// characters.
func validName(name, extra string) bool {
	if name == "" || strings.TrimSpace(name) != name {
		return false
	}
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && r != '_' && !strings.ContainsRune(extra, r) {
			return false
		}
	}
	return true
}
