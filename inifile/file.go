// Package inifile decodes INI strictly. An unknown section or key, a duplicate key, a
// value of the wrong type or out of range and a missing key are all errors, and all
// errors of a text are reported at once with their line numbers.
//
// The grammar is the subset of INI that all parsers read in the same way: section
// headers, "key = value" lines, and comment lines that begin with "#" or ";". A value
// extends to the end of its line. There are no quotes, continuation lines, inline
// comments or interpolation, so that no character in an address or token has a special
// meaning.
package inifile

import (
	"strings"

	"gopkg.in/ini.v1"
)

// File is a text split into sections and keys, with their line numbers.
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

// entry is one value as written; origin is where an override comes from, "" otherwise.
type entry struct {
	value  string
	line   int
	origin string
}

// libraryOptions disables every feature of the library that would change a value from
// its literal text.
var libraryOptions = ini.LoadOptions{
	IgnoreContinuation:      true,
	IgnoreInlineComment:     true,
	PreserveSurroundedQuote: true,
	KeyValueDelimiters:      "=",
	ChildSectionDelimiter:   "\x00",
}

// Parse splits text. name identifies the text in messages. Syntax errors do not end the
// parse: Decoder.Problems returns them together with the problems of the values.
func Parse(name, text string) *File {
	f := &File{name: name, sections: map[string]*section{}}
	text = strings.TrimPrefix(text, "\ufeff")
	f.scan(text)
	if len(f.problems) == 0 {
		f.fill(text)
	}
	return f
}

// fill sets the values that the library has read. After a scan without problems the
// library sees the same sections and keys.
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

// Set overrides a value before the file is decoded, for a command-line flag. origin
// replaces the file's name in messages about the value.
func (f *File) Set(origin, sectionName, key, value string) {
	s := f.open(sectionName, 0)
	if _, ok := s.keys[key]; !ok {
		s.order = append(s.order, key)
	}
	s.keys[key] = entry{value: value, origin: origin}
}

// Names returns the names of the sections in order of appearance.
func (f *File) Names() []string { return append([]string(nil), f.order...) }

// open returns the section of that name and creates it if it does not exist.
func (f *File) open(name string, line int) *section {
	s, ok := f.sections[name]
	if !ok {
		s = &section{name: name, line: line, keys: map[string]entry{}}
		f.sections[name] = s
		f.order = append(f.order, name)
	}
	return s
}
