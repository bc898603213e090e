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

// The README's first command must succeed: although one daemon is killed during the run,
// every request gets its answer, no order runs twice, and each item of the batch job has
// exactly one correct result, except the one that can never complete.
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
