package config_test

import (
	"testing"

	"tarragonhollow.example/tarragonhollow/core/config"
)

// FuzzParse checks that no text crashes the parser and that every accepted configuration
// has the invariants that the rest of the daemon relies on.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{online + engines, "[profile ]", "[profile a b]\nurgency=online", online + "[limits]\nretry_share=NaN",
		online + "[target-group g]\nkind=service\naddresses=,@", "[profile p]\nurgency=batch\ndue=1s\ndeadline=1s"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		c, err := config.Parse(text)
		if err != nil {
			return
		}
		if len(c.Profiles) == 0 || c.Text != text || c.Version != 0 {
			t.Fatalf("accepted %q as %+v", text, c)
		}
		for name, p := range c.Profiles {
			if p.Name != name || p.Deadline <= 0 || p.Urgency == config.Batch && p.Deadline > p.Due {
				t.Fatalf("accepted %q as %+v", text, p)
			}
		}
		for name, g := range c.Groups {
			if g.Name != name || len(g.Targets) == 0 || g.Slots < 1 || (g.Kind == config.KindEngine) == (g.Model == "") {
				t.Fatalf("accepted %q as %+v", text, g)
			}
		}
	})
}
