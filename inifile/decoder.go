package inifile

import (
	"fmt"
	"slices"
	"sort"
	"strings"
)

// Decoder reads typed values out of a File and gathers every fault. What is
// never asked for is unknown: the questions are the schema.
type Decoder struct {
	file     *File
	asked    []string
	kinds    []string
	sections map[string]*Section
	problems Problems
}

// NewDecoder returns a decoder over f.
func NewDecoder(f *File) *Decoder {
	return &Decoder{file: f, sections: map[string]*Section{}, problems: slices.Clone(f.problems)}
}

// Section returns the section of that name. An absent one has no keys, so its
// defaults hold and its required keys are told as missing.
func (d *Decoder) Section(name string) *Section {
	if s, ok := d.sections[name]; ok {
		return s
	}
	if !strings.Contains(name, " ") {
		d.asked = append(d.asked, name)
	}
	return d.add(name)
}

// add notes a section as known.
func (d *Decoder) add(name string) *Section {
	s := &Section{Name: name, decoder: d, source: d.file.sections[name]}
	d.sections[name] = s
	return s
}

// Named returns the sections "[kind NAME]" in their order.
func (d *Decoder) Named(kind string) []*Section {
	d.kinds = append(d.kinds, kind)
	var found []*Section
	for _, name := range d.file.order {
		head, label, ok := strings.Cut(name, " ")
		if !ok || head != kind {
			continue
		}
		s := d.add(name)
		s.Label = strings.TrimSpace(label)
		if !validName(s.Label, ".-") {
			d.problem(&Problem{Line: s.line(""), Section: name, Reason: "bad name in the section header",
				Allowed: "letters, digits, '_', '.' and '-'"})
		}
		found = append(found, s)
	}
	return found
}

// Failf tells a fault of the text as a whole.
func (d *Decoder) Failf(format string, args ...any) {
	d.problem(&Problem{Reason: fmt.Sprintf(format, args...)})
}

// Problems returns the faults of the whole text in the order of its lines, nil
// if there are none. It is called once, after all questions.
func (d *Decoder) Problems() Problems {
	d.findUnknown()
	sort.SliceStable(d.problems, func(i, j int) bool { return d.problems[i].Line < d.problems[j].Line })
	return d.problems
}

// findUnknown tells every section and key that nothing asked for.
func (d *Decoder) findUnknown() {
	for _, name := range d.file.order {
		source := d.file.sections[name]
		s, known := d.sections[name]
		if !known {
			d.problem(&Problem{Line: source.line, Section: name, Reason: "unknown section", Allowed: d.allowedSections()})
			continue
		}
		for _, key := range source.order {
			if slices.Contains(s.asked, key) {
				continue
			}
			e := source.keys[key]
			d.problem(&Problem{Line: e.line, Section: name, Key: key, Value: e.value, HasValue: true,
				Reason: "unknown key", Allowed: strings.Join(s.asked, ", ")})
		}
	}
}

// allowedSections lists the headers that were asked for.
func (d *Decoder) allowedSections() string {
	var headers []string
	for _, name := range d.asked {
		headers = append(headers, "["+name+"]")
	}
	for _, kind := range d.kinds {
		headers = append(headers, "["+kind+" NAME]")
	}
	return strings.Join(headers, ", ")
}

// problem keeps a fault.
func (d *Decoder) problem(p *Problem) {
	p.File = d.file.name
	if source, ok := d.file.sections[p.Section]; ok && source.keys[p.Key].origin != "" {
		p.File = source.keys[p.Key].origin
	}
	d.problems = append(d.problems, p)
}

// Section answers questions about one section.
type Section struct {
	// Name is the whole header, e.g. "profile room-chat".
	Name string
	// Label is the NAME of a "[kind NAME]" section.
	Label string

	decoder *Decoder
	source  *section
	asked   []string
}

// Has tells whether the key is given.
func (s *Section) Has(key string) bool {
	_, ok := s.lookup(key)
	return ok
}

// Require tells a fault if the key is not given and returns whether it is.
func (s *Section) Require(key, allowed string) bool {
	if s.Has(key) {
		return true
	}
	s.decoder.problem(&Problem{Line: s.line(""), Section: s.Name, Key: key, Reason: "missing key", Allowed: allowed})
	return false
}

// Fail tells a fault of a key's value: what is wrong and what is allowed. The
// key "" stands for the section itself.
func (s *Section) Fail(key, reason, allowed string) {
	e, ok := s.lookup(key)
	s.decoder.problem(&Problem{Line: s.line(key), Section: s.Name, Key: key, Value: e.value, HasValue: ok,
		Reason: reason, Allowed: allowed})
}

// Failf is Fail with a formatted reason and nothing to choose from.
func (s *Section) Failf(key, format string, args ...any) {
	s.Fail(key, fmt.Sprintf(format, args...), "")
}

// lookup notes the question and returns the value as written.
func (s *Section) lookup(key string) (entry, bool) {
	if key != "" && !slices.Contains(s.asked, key) {
		s.asked = append(s.asked, key)
	}
	if s.source == nil {
		return entry{}, false
	}
	e, ok := s.source.keys[key]
	return e, ok
}

// line returns the line of the key, or of the section for "" and absent keys.
func (s *Section) line(key string) int {
	if s.source == nil {
		return 0
	}
	if e, ok := s.source.keys[key]; ok {
		return e.line
	}
	return s.source.line
}
