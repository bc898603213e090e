package inifile

import (
	"fmt"
	"slices"
	"sort"
	"strings"
)

// Decoder reads typed values from a File and collects all problems. The requested
// sections and keys are the schema: any other one is reported as unknown.
type Decoder struct {
	file         *File
	sectionNames []string
	namedKinds   []string
	sections     map[string]*Section
	problems     Problems
}

// NewDecoder returns a decoder over f.
func NewDecoder(f *File) *Decoder {
	return &Decoder{file: f, sections: map[string]*Section{}, problems: slices.Clone(f.problems)}
}

// Section returns the section of that name. An absent one has no keys, so its defaults
// apply and its required keys are reported as missing.
func (d *Decoder) Section(name string) *Section {
	if s, ok := d.sections[name]; ok {
		return s
	}
	if !strings.Contains(name, " ") {
		d.sectionNames = append(d.sectionNames, name)
	}
	return d.add(name)
}

// add records a section as known.
func (d *Decoder) add(name string) *Section {
	s := &Section{Name: name, decoder: d, source: d.file.sections[name]}
	d.sections[name] = s
	return s
}

// Named returns the sections "[kind NAME]" in order of appearance.
func (d *Decoder) Named(kind string) []*Section {
	d.namedKinds = append(d.namedKinds, kind)
	var found []*Section
	for _, name := range d.file.order {
		head, label, ok := strings.Cut(name, " ")
		if !ok || head != kind {
			continue
		}
		s := d.add(name)
		s.Label = strings.TrimSpace(label)
		if !validName(s.Label, ".-") {
			d.addProblem(&Problem{Line: s.line(""), Section: name, Reason: "bad name in the section header",
				Allowed: "letters, digits, '_', '.' and '-'"})
		}
		found = append(found, s)
	}
	return found
}

// Failf reports a problem of the text as a whole.
func (d *Decoder) Failf(format string, args ...any) {
	d.addProblem(&Problem{Reason: fmt.Sprintf(format, args...)})
}

// Problems returns the problems of the whole text in the order of its lines, nil if
// there are none. It must be called once, after all sections and keys were requested.
func (d *Decoder) Problems() Problems {
	d.findUnknown()
	sort.SliceStable(d.problems, func(i, j int) bool { return d.problems[i].Line < d.problems[j].Line })
	return d.problems
}

// findUnknown reports every section and key that was not requested.
func (d *Decoder) findUnknown() {
	for _, name := range d.file.order {
		source := d.file.sections[name]
		s, known := d.sections[name]
		if !known {
			d.addProblem(&Problem{Line: source.line, Section: name, Reason: "unknown section", Allowed: d.allowedSections()})
			continue
		}
		for _, key := range source.order {
			if slices.Contains(s.requestedKeys, key) {
				continue
			}
			e := source.keys[key]
			d.addProblem(&Problem{Line: e.line, Section: name, Key: key, Value: e.value, HasValue: true,
				Reason: "unknown key", Allowed: strings.Join(s.requestedKeys, ", ")})
		}
	}
}

// allowedSections lists the headers of the requested sections.
func (d *Decoder) allowedSections() string {
	var headers []string
	for _, name := range d.sectionNames {
		headers = append(headers, "["+name+"]")
	}
	for _, kind := range d.namedKinds {
		headers = append(headers, "["+kind+" NAME]")
	}
	return strings.Join(headers, ", ")
}

// addProblem records a problem.
func (d *Decoder) addProblem(p *Problem) {
	p.File = d.file.name
	if source, ok := d.file.sections[p.Section]; ok && source.keys[p.Key].origin != "" {
		p.File = source.keys[p.Key].origin
	}
	d.problems = append(d.problems, p)
}

// Section reads the values of one section.
type Section struct {
	// Name is the whole header, e.g. "profile room-chat".
	Name string
	// Label is the NAME of a "[kind NAME]" section.
	Label string

	decoder       *Decoder
	source        *section
	requestedKeys []string
}

// Has reports whether the key is present.
func (s *Section) Has(key string) bool {
	_, ok := s.lookup(key)
	return ok
}

// Require reports whether the key is present, and records a problem if it is not.
func (s *Section) Require(key, allowed string) bool {
	if s.Has(key) {
		return true
	}
	s.decoder.addProblem(&Problem{Line: s.line(""), Section: s.Name, Key: key, Reason: "missing key", Allowed: allowed})
	return false
}

// Fail records a problem with a key's value: what is wrong and what is allowed. The key
// "" means the section itself.
func (s *Section) Fail(key, reason, allowed string) {
	e, ok := s.lookup(key)
	s.decoder.addProblem(&Problem{Line: s.line(key), Section: s.Name, Key: key, Value: e.value, HasValue: ok,
		Reason: reason, Allowed: allowed})
}

// Failf is Fail with a formatted reason and no allowed values.
func (s *Section) Failf(key, format string, args ...any) {
	s.Fail(key, fmt.Sprintf(format, args...), "")
}

// lookup records the key as requested and returns its value as written.
func (s *Section) lookup(key string) (entry, bool) {
	if key != "" && !slices.Contains(s.requestedKeys, key) {
		s.requestedKeys = append(s.requestedKeys, key)
	}
	if s.source == nil {
		return entry{}, false
	}
	e, ok := s.source.keys[key]
	return e, ok
}

// line returns the line number of the key, or of the section for "" and absent keys.
func (s *Section) line(key string) int {
	if s.source == nil {
		return 0
	}
	if e, ok := s.source.keys[key]; ok {
		return e.line
	}
	return s.source.line
}
