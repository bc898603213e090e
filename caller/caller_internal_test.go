package caller

import (
	"strings"
	"testing"
)

// A response over the limit must be an error. Cut at the limit, which may fall between two
// lines of a job's results, it would look complete.
func TestAResponseOverTheLimitIsNotCut(t *testing.T) {
	if text, err := readWhole(strings.NewReader("one\ntwo\n"), 8); err != nil || string(text) != "one\ntwo\n" {
		t.Fatalf("%q, %v", text, err)
	}
	if text, err := readWhole(strings.NewReader("one\ntwo\n"), 4); err == nil {
		t.Fatalf("%q was taken for the whole response", text)
	}
}
