package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"tarragonhollow.example/tarragonhollow/caller"
	"tarragonhollow.example/tarragonhollow/core/shard"
	"tarragonhollow.example/tarragonhollow/daemon/shards"
)

const (
	// statusPollInterval is the interval at which a survivor's status is polled.
	statusPollInterval = 20 * time.Millisecond
	// recoverTimeout limits the whole measurement.
	recoverTimeout = 3 * time.Minute
)

// recoverCommand kills daemons, including the owner of a running job. It measures the time
// until the loss is known, until all shards have owners, and until the job's items end
// again.
func recoverCommand(dir *string) *cobra.Command {
	var items, tokens, kill int
	cmd := &cobra.Command{Use: "recover", Short: "Time until a killed daemon's work continues"}
	cmd.Flags().IntVar(&items, "items", 2000, "items of the running job")
	cmd.Flags().IntVar(&tokens, "tokens", 4, "tokens of an answer")
	cmd.Flags().IntVar(&kill, "kill", 1, "daemons to kill at once")
	cmd.RunE = withFleet(dir, func(ctx context.Context, f *fleet) error {
		ctx, cancel := context.WithTimeout(ctx, recoverTimeout)
		defer cancel()
		return f.recoverOnce(ctx, items, tokens, kill)
	})
	return cmd
}

func (f *fleet) recoverOnce(ctx context.Context, items, tokens, kill int) error {
	// The first two daemons are not killed: they accept the job and are polled.
	name := f.jobHeldElsewhere(ctx)
	if err := f.putJob(ctx, name, items, tokens); err != nil {
		return err
	}
	started := func(j caller.Job) bool { return j.Completed >= min(items/4, 500) }
	if _, err := f.awaitJob(ctx, name, started); err != nil {
		return err
	}
	before, err := f.daemons[1].status(ctx)
	if err != nil {
		return err
	}
	id := shard.Of(account+"/"+name, shards.DefaultShards)
	victims, taken := f.victims(before, before.held()[id], kill)
	memory := f.largestMemory()
	began := time.Now()
	for _, d := range victims {
		if err := syscall.Kill(d.pid, syscall.SIGKILL); err != nil {
			return err
		}
	}
	known, held, err := f.awaitHeld(ctx, began, victims)
	if err != nil {
		return err
	}
	// The first status from the new owner shows what it read back from the log.
	recovered, err := f.awaitJob(ctx, name, func(caller.Job) bool { return true })
	if err != nil {
		return err
	}
	readable := time.Since(began)
	if _, err := f.awaitJob(ctx, name, func(j caller.Job) bool { return j.Completed > recovered.Completed || j.Ended() }); err != nil {
		return err
	}
	running := time.Since(began)
	ended, err := f.awaitJob(ctx, name, caller.Job.Ended)
	if err != nil {
		return err
	}
	fmt.Printf("recover daemons=%d killed=%d shards_taken=%d items=%d known_s=%.2f all_held_s=%.2f job_readable_s=%.2f items_end_again_s=%.2f completed=%d failed=%d largest_rss_mib=%.0f\n",
		len(f.daemons), kill, taken, items, known.Seconds(), held.Seconds(), readable.Seconds(), running.Seconds(),
		ended.Completed, ended.Failed, memory)
	return f.printFailures(ctx, name, ended.Failed)
}

// printFailures prints the number of failed items by error.
func (f *fleet) printFailures(ctx context.Context, name string, failed int) error {
	if failed == 0 {
		return nil
	}
	results, err := f.daemons[1].client.Results(ctx, caller.Options{Caller: account}, name)
	if err != nil {
		return err
	}
	reasons := map[string]int{}
	for _, r := range results {
		if r.Error != nil {
			reasons[fmt.Sprintf("%s: %s (%s) attempts=%d", r.Error.Code, r.Error.Message, r.Error.Run, r.Attempts)]++
		}
	}
	for reason, n := range reasons {
		fmt.Printf("  failed=%d %s\n", n, reason)
	}
	return nil
}

// jobHeldElsewhere returns the name for a job whose shard is held by neither of the first
// two daemons.
func (f *fleet) jobHeldElsewhere(ctx context.Context) string {
	for n := 0; ; n++ {
		name := fmt.Sprintf("job-%d-%d", time.Now().UnixNano(), n)
		s, err := f.daemons[1].status(ctx)
		if err != nil {
			return name
		}
		owner := s.held()[shard.Of(account+"/"+name, shards.DefaultShards)]
		if owner != "" && owner != f.daemons[0].host && owner != f.daemons[1].host {
			return name
		}
	}
}

// victims returns the daemons to kill, which are the owner and further live daemons, kill
// in all, and the number of shards that they hold.
func (f *fleet) victims(s status, owner string, kill int) (victims []daemon, taken int) {
	for _, d := range f.daemons {
		if d.host == owner {
			victims = append(victims, d)
		}
	}
	live := map[string]bool{}
	for _, h := range s.Hosts {
		live[h.Host] = h.State == "live"
	}
	for _, d := range f.daemons[2:] {
		if d.host != owner && live[d.host] && len(victims) < kill {
			victims = append(victims, d)
		}
	}
	for _, d := range victims {
		for _, h := range s.Hosts {
			if h.Host == d.host {
				taken += len(h.Shards)
			}
		}
	}
	return victims, taken
}

// awaitHeld polls the second daemon until it no longer lists any victim, and then until it
// lists a holder for each shard. It returns the times of both since began.
func (f *fleet) awaitHeld(ctx context.Context, began time.Time, victims []daemon) (known, held time.Duration, err error) {
	victimsRemoved := func(s status) bool {
		for _, h := range s.Hosts {
			for _, d := range victims {
				if h.Host == d.host {
					return false
				}
			}
		}
		return true
	}
	for ctx.Err() == nil {
		s, err := f.daemons[1].status(ctx)
		if err == nil && victimsRemoved(s) {
			if known == 0 {
				known = time.Since(began)
			}
			if len(s.held()) == shards.DefaultShards {
				return known, time.Since(began), nil
			}
		}
		time.Sleep(statusPollInterval)
	}
	return known, 0, ctx.Err()
}
