package config

import (
	"tarragonhollow.example/tarragonhollow/inifile"
)

// TextName stands for the operators' configuration in messages when the text
// did not come from a file.
const TextName = "configuration"

// InvalidError tells every fault of a text that Parse refused.
type InvalidError struct {
	// Problems names section, key, value and what is allowed.
	Problems inifile.Problems
}

// Error implements error with one line for each problem.
func (e *InvalidError) Error() string { return e.Problems.Error() }

// Unwrap returns the problems.
func (e *InvalidError) Unwrap() error { return e.Problems }

// Parse reads the operators' configuration. It is a pure function of the text:
// Text is set, Version is left 0 for the log to decide. A refused text gives
// *InvalidError.
func Parse(text string) (*Config, error) { return ParseFile(TextName, text) }

// ParseFile is Parse for a text with a file name to tell in messages.
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
		// Publishing an empty file by mistake would refuse every caller at once.
		d.Failf("no [profile NAME] section: every request would be refused")
	}
	if problems := d.Problems(); len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return c, nil
}
