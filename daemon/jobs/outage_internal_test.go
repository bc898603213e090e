package jobs

import (
	"context"
	"testing"
	"time"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// A caller that goes away has its submission refused, although the log is well. On a daemon
// that does not follow the acceptances this would begin an outage, and the next caller would
// get a Retry-After by its age.
func TestACancelledSubmissionIsNoOutage(t *testing.T) {
	refusal := outcome.Refuse(outcome.LogUnavailable, "the caller is gone")
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, c := range []struct {
		name   string
		ctx    context.Context
		outage bool
	}{{"cancelled", cancelled, false}, {"refused", context.Background(), true}} {
		j := &Jobs{}
		j.recordRefusal(c.ctx, refusal)
		if age := j.outage.age(time.Now().Add(time.Second)); (age > 0) != c.outage {
			t.Errorf("%s: an outage of %v", c.name, age)
		}
	}
}
