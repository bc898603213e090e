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
	// statusPoll is how often a survivor is asked for its view.
	statusPoll = 20 * time.Millisecond
	// recoverWait bounds the whole wait for a recovery.
	recoverWait = 3 * time.Minute
)

// recoverCommand kills daemons, among them the one that owns a running job, and
// takes the time until its loss is known, all shards are held and the job's
// items end again.
func recoverCommand(dir *string) *cobra.Command {
	var items, tokens, kill int
	cmd := &cobra.Command{Use: "recover", Short: "Time until a killed daemon's work goes on"}
	cmd.Flags().IntVar(&items, "items", 2000, "items of the running job")
	cmd.Flags().IntVar(&tokens, "tokens", 4, "tokens of an answer")
	cmd.Flags().IntVar(&kill, "kill", 1, "daemons to kill at once")
	cmd.RunE = onFleet(dir, func(ctx context.Context, f *fleet) error {
		ctx, cancel := context.WithTimeout(ctx, recoverWait)
		defer cancel()
		return f.recoverOnce(ctx, items, tokens, kill)
	})
	return cmd
}

func (f *fleet) recoverOnce(ctx context.Context, items, tokens, kill int) error {
	// The first two daemons stay: they take the job and are asked.
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
	// What the next owner first tells is what it read back.
	kept, err := f.awaitJob(ctx, name, func(caller.Job) bool { return true })
	if err != nil {
		return err
	}
	readable := time.Since(began)
	if _, err := f.awaitJob(ctx, name, func(j caller.Job) bool { return j.Completed > kept.Completed || j.Ended() }); err != nil {
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

// printFailures counts the failed items by what their refusals say.
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

// jobHeldElsewhere names a job whose shard none of the first two daemons holds.
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

// victims picks the owner and further daemons, and counts the shards they hold.
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

// awaitHeld waits until the second daemon lists no victim any more, and then
// until it knows a holder for each shard.
func (f *fleet) awaitHeld(ctx context.Context, began time.Time, victims []daemon) (known, held time.Duration, err error) {
	gone := func(s status) bool {
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
		if err == nil && gone(s) {
			if known == 0 {
				known = time.Since(began)
			}
			if len(s.held()) == shards.DefaultShards {
				return known, time.Since(began), nil
			}
		}
		time.Sleep(statusPoll)
	}
	return known, 0, ctx.Err()
}
