// Package inifile decodes INI strictly. An unknown section or key, a key given
// twice, a value of the wrong type or out of range and a missing key are all
// faults, and all faults of a text are told at once with their lines.
//
// The grammar is the narrow part of INI that reads the same everywhere: a
// section header, "key = value" lines, and comments on lines of their own that
// begin with "#" or ";". A value runs to the end of its line; there are no
// quotes, continuation lines, inline comments or interpolation, so that an
// address or token never changes its meaning by a character in it.
package inifile

import (
	"strings"

	"gopkg.in/ini.v1"
)

// File is a text split into sections and keys, with their lines.
type File struct {
	name     string
	order    []string
	sections map[string]*section
	problems Problems
}

// section is one section as written.
type section struct {
	name  string
	line  int
	order []string
	keys  map[string]entry
}

// entry is one value as written; origin is set for an override.
type entry struct {
	value  string
	line   int
	origin string
}

// libraryOptions turns off everything in the library that would give a value
// another meaning than its text.
var libraryOptions = ini.LoadOptions{
	IgnoreContinuation:      true,
	IgnoreInlineComment:     true,
	PreserveSurroundedQuote: true,
	KeyValueDelimiters:      "=",
	ChildSectionDelimiter:   "\x00",
}

// Parse splits text. name stands for the text in messages. Faults of the
// grammar do not end the parse: they are kept and told by Decoder.Err together
// with the faults of the values.
func Parse(name, text string) *File {
	f := &File{name: name, sections: map[string]*section{}}
	text = strings.TrimPrefix(text, "\ufeff")
	f.scan(text)
	if len(f.problems) == 0 {
		f.fill(text)
	}
	return f
}

// fill takes the values from the library, which the scan has shown to see the
// same sections and keys.
func (f *File) fill(text string) {
	loaded, err := ini.LoadSources(libraryOptions, []byte(text))
	if err != nil {
		f.problems = append(f.problems, &Problem{File: f.name, Reason: err.Error()})
		return
	}
	for _, name := range f.order {
		s := f.sections[name]
		for _, key := range s.order {
			e := s.keys[key]
			e.value = loaded.Section(name).Key(key).Value()
			s.keys[key] = e
		}
	}
}

// Set overrides a value, as a command-line flag does, before the file is
// decoded. origin stands for the file in messages about it.
func (f *File) Set(origin, sectionName, key, value string) {
	s := f.open(sectionName, 0)
	if _, ok := s.keys[key]; !ok {
		s.order = append(s.order, key)
	}
	s.keys[key] = entry{value: value, origin: origin}
}

// Names returns the names of the sections in their order.
func (f *File) Names() []string { return append([]string(nil), f.order...) }

// open returns the section of that name, new if need be.
func (f *File) open(name string, line int) *section {
	s, ok := f.sections[name]
	if !ok {
		s = &section{name: name, line: line, keys: map[string]entry{}}
		f.sections[name] = s
		f.order = append(f.order, name)
	}
	return s
}
