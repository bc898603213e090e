package settings_test

import (
	"testing"

	"tarragonhollow.example/tarragonhollow/settings"
)

// FuzzParse checks that no text crashes the reader, and that accepted settings are the
// same after they are encoded and parsed again.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{minimalSettings, minimalSettings + "[log]\nlevel = `x\n", "[host]\nname", "\ufeff[\x00]", "[DEFAULT]\na=%(b)s\n", minimalSettings + "[peers]\nseeds=,\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := settings.Parse("fuzz.ini", text, nil)
		if err != nil {
			return
		}
		again, err := settings.Parse("again.ini", s.Encode(), nil)
		if err != nil || again.Encode() != s.Encode() {
			t.Fatalf("%v\n%s\n%s", err, s.Encode(), text)
		}
	})
}
