// Package try implements the demonstration that the README starts with: a whole
// deployment in one process, on free loopback ports, with real sockets between its parts.
// It sends online requests, orders that must not run twice and a batch job, and kills one
// daemon during the run. From the targets' records and from what callers can read it
// counts what was lost or doubled.
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
	// batchItems is the number of items of the job, one of which can never complete.
	batchItems = 300
	// onlineDuration is how long online requests are sent.
	onlineDuration = 12 * time.Second
	// killAfter is the time from the start of the load until one daemon is killed.
	killAfter = 5 * time.Second
	// readyTimeout limits the time until all daemons are ready, runTimeout the time
	// from then on to the end of the run.
	readyTimeout = 15 * time.Second
	runTimeout   = 55 * time.Second
)

// errLostOrDoubled is returned if anything was lost or doubled.
var errLostOrDoubled = errors.New("an item was lost or doubled")

// Run runs the demonstration. It returns an error if the demonstration could not run, or
// if anything was lost or doubled.
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
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	count := &tally{}
	if err := runLoad(ctx, fleet, count, progress); err != nil {
		return err
	}
	if err := count.check(ctx, fleet); err != nil {
		return err
	}
	progress.end()
	fmt.Fprintln(o.Out, count.summary())
	if count.lost != 0 || count.doubled != 0 {
		return errLostOrDoubled
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
		caller.ChatPath, f.shape.ChatProfile, f.shape.Model, f.shape.ExamplePrompt)
	fmt.Fprintf(out, "curl -s $DAEMON/v1/services/%s%s -H 'Tarragon-Profile: %s' \\\n  -H 'Idempotency-Key: first-one' -d '%s'\n",
		f.shape.Service, f.shape.ActionPath, f.shape.ActionProfile, f.shape.ExampleAction)
	fmt.Fprintf(out, "\nAs an operator:\n\nexport TARRAGONHOLLOW_DAEMON=$DAEMON TARRAGONHOLLOW_TOKEN=%s\n", adminToken)
	for _, command := range []string{"status", "config show", "report burn"} {
		fmt.Fprintf(out, "go run ./cmd/tarragonhollow %s\n", command)
	}
	<-ctx.Done()
	return nil
}
