package inifile

import "testing"

// FuzzParse checks that the library reads each value as the same literal text as the
// scan of the lines, whatever characters it contains.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"[a]\nk = v\n", "[a]\nk = \"v\\\nj = '%(k)s'", "[DEFAULT]\nk = a # b ; c", "[a]\r\nk=\r\n", "[a.b]\nk = = \"\"\"", "[a]\nk=\u00a0x"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		parsed := Parse("fuzz.ini", text)
		if len(parsed.problems) > 0 {
			return
		}
		scanned := &File{sections: map[string]*section{}}
		scanned.scan(text)
		for name, s := range scanned.sections {
			for key, e := range s.keys {
				if got := parsed.sections[name].keys[key]; got != e {
					t.Fatalf("[%s] %s: library %q, literal %q in %q", name, key, got.value, e.value, text)
				}
			}
		}
	})
}
