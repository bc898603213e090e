package try_test

import (
	"bytes"
	"context"
	"io"
	"regexp"
	"testing"

	"tarragonhollow.example/tarragonhollow/cli"
	"tarragonhollow.example/tarragonhollow/standin/deployment"
	"tarragonhollow.example/tarragonhollow/try"
)

var lastLine = regexp.MustCompile(`(?m)^accepted=\d+ completed=\d+ failed=\d+ lost=0 doubled=0 online_p50_ms=[0-9.]+ online_p99_ms=[0-9.]+\n\z`)

// A newcomer runs the README's first command. One daemon dies in the middle;
// every request still gets its answer, no order runs twice, and each item of
// the batch job has exactly one right result but the one that never can.
func TestRun(t *testing.T) {
	for _, name := range deployment.Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var out bytes.Buffer
			err := try.Run(context.Background(), cli.TryOptions{Deployment: name, Out: &out, Err: io.Discard})
			if err != nil || !lastLine.Match(out.Bytes()) {
				t.Fatalf("%v\n%s", err, out.String())
			}
		})
	}
}
