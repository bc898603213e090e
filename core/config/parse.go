package config

import (
	"tarragonhollow.example/tarragonhollow/inifile"
)

// TextName replaces the file name in error messages if the configuration text did not come
// from a file.
const TextName = "configuration"

// InvalidError lists every problem of a text that Parse rejected.
type InvalidError struct {
	// Problems holds the section, key, value and allowed values of each problem.
	Problems inifile.Problems
}

// Error implements error with one line per problem.
func (e *InvalidError) Error() string { return e.Problems.Error() }

// Unwrap returns the problems.
func (e *InvalidError) Unwrap() error { return e.Problems }

// Parse parses the operators' configuration. It is a pure function of the text. It sets
// Text and leaves Version 0, because the log determines the version. If the text is
// invalid, the error is an *InvalidError.
func Parse(text string) (*Config, error) { return ParseFile(TextName, text) }

// ParseFile is like Parse, with a file name for error messages.
func ParseFile(name, text string) (*Config, error) {
	d := inifile.NewDecoder(inifile.Parse(name, text))
	c := &Config{
		Text:     text,
		Profiles: map[string]*Profile{},
		Groups:   map[string]*TargetGroup{},
		Models:   map[string]*Model{},
	}
	profiles := d.Named("profile")
	for _, s := range profiles {
		c.Profiles[s.Label] = parseProfile(s)
	}
	parseGroups(c, d.Named("target-group"))
	parseModels(c, d.Named("model"))
	c.Limits = parseLimits(d.Section("limits"))
	if len(profiles) == 0 {
		// If an empty file were published by mistake, every request would be refused.
		d.Failf("no [profile NAME] section: every request would be refused")
	}
	if problems := d.Problems(); len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return c, nil
}
