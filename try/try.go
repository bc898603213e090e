// Package try is the demonstration behind the README's first command: a whole
// deployment in one process, on free loopback ports, with real sockets between
// its parts. It sends online requests, orders that must not run twice and a
// batch job, kills one daemon in the middle, and counts what was lost or
// doubled from what the targets saw and what callers can read.
package try

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"tarragonhollow.example/tarragonhollow/caller"
	"tarragonhollow.example/tarragonhollow/cli"
	"tarragonhollow.example/tarragonhollow/standin/deployment"
)

const (
	// batchItems is the size of the job; one of its items can never complete.
	batchItems = 300
	// onlineFor is how long online requests are sent.
	onlineFor = 12 * time.Second
	// killAfter is when one daemon is killed.
	killAfter = 5 * time.Second
	// readyWithin bounds the start of the fleet, endWithin the whole run.
	readyWithin = 15 * time.Second
	endWithin   = 55 * time.Second
)

// errUnsound is returned when something was lost or doubled.
var errUnsound = errors.New("an item was lost or doubled")

// Run runs the demonstration; it returns an error if it could not be run or if
// anything was lost or doubled.
func Run(ctx context.Context, o cli.TryOptions) error {
	shape, err := deployment.ShapeOf(o.Deployment)
	if err != nil {
		return err
	}
	progress := newProgress(o.Out)
	fleet, err := startFleet(shape, o.Err)
	if err != nil {
		return err
	}
	defer fleet.stop()
	progress.step("started %d daemons in %d availability zones, %d engines (%s), %d services (%s)",
		len(fleet.daemons), len(shape.Zones), shape.Engines, shape.Model, shape.Services, shape.Service)
	if err := fleet.publish(ctx); err != nil {
		return fmt.Errorf("publishing the configuration: %w", err)
	}
	progress.step("the configuration is in force on all daemons")

	if o.Stay {
		return stay(ctx, fleet, o.Out)
	}
	ctx, cancel := context.WithTimeout(ctx, endWithin)
	defer cancel()
	count := &tally{}
	if err := runLoad(ctx, fleet, count, progress); err != nil {
		return err
	}
	if err := count.check(ctx, fleet); err != nil {
		return err
	}
	progress.end()
	fmt.Fprintln(o.Out, count.line())
	if count.lost != 0 || count.doubled != 0 {
		return errUnsound
	}
	return nil
}

// stay prints how to reach the fleet and keeps it running until ctx is done.
func stay(ctx context.Context, f *fleet, out io.Writer) error {
	for i, m := range f.daemons {
		fmt.Fprintf(out, "daemon %d in %s: %s\n", i+1, f.shape.Zone(i), m.client.Base)
	}
	fmt.Fprint(out, "\nTry, from another terminal:\n\n")
	fmt.Fprintf(out, "DAEMON=%s\n", f.daemons[0].client.Base)
	fmt.Fprintf(out, "curl -s $DAEMON%s -H 'Tarragon-Profile: %s' \\\n  -d '{\"model\":%q,\"messages\":[{\"role\":\"user\",\"content\":%q}]}'\n",
		caller.ChatPath, f.shape.ChatProfile, f.shape.Model, f.shape.Question)
	fmt.Fprintf(out, "curl -s $DAEMON/v1/services/%s%s -H 'Tarragon-Profile: %s' \\\n  -H 'Idempotency-Key: first-one' -d '%s'\n",
		f.shape.Service, f.shape.ActionPath, f.shape.ActionProfile, f.shape.Action)
	fmt.Fprintf(out, "\nAs an operator:\n\nexport TARRAGONHOLLOW_DAEMON=$DAEMON TARRAGONHOLLOW_TOKEN=%s\n", adminToken)
	for _, command := range []string{"status", "config show", "report burn"} {
		fmt.Fprintf(out, "go run ./cmd/tarragonhollow %s\n", command)
	}
	<-ctx.Done()
	return nil
}
