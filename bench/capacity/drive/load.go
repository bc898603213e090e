package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"

	"tarragonhollow.example/tarragonhollow/caller"
	"tarragonhollow.example/tarragonhollow/target"
)

const (
	model         = "ordering"
	onlineProfile = "room-chat"
	batchProfile  = "prep-sheets"
	account       = "capacity"
	// promptWords results in prompts of about 400 bytes.
	promptWords = 80
)

func prompt(n int) []target.Message {
	return []target.Message{{Role: "user", Content: fmt.Sprintf("%d %s", n, strings.Repeat("menu ", promptWords))}}
}

// onlineCommand sends requests at a fixed rate, open-loop, and prints the CPU time of the
// daemons beyond what they use when idle.
func onlineCommand(dir *string) *cobra.Command {
	var rate float64
	var seconds, tokens int
	var keyed bool
	cmd := &cobra.Command{Use: "online", Short: "CPU time of online requests"}
	cmd.Flags().Float64Var(&rate, "rate", 50, "requests a second")
	cmd.Flags().IntVar(&seconds, "seconds", 10, "how long to send")
	cmd.Flags().IntVar(&tokens, "tokens", 16, "tokens of an answer")
	cmd.Flags().BoolVar(&keyed, "keyed", false, "give each request an Idempotency-Key")
	cmd.RunE = withFleet(dir, func(ctx context.Context, f *fleet) error {
		idle := f.idleShare(5 * time.Second)
		var done, failed, got atomic.Int64
		var requests sync.WaitGroup
		cpu, stats, began := f.cpuTime(), f.logStats(), time.Now()
		for n := range int(rate * float64(seconds)) {
			time.Sleep(time.Until(began.Add(time.Duration(float64(n) / rate * float64(time.Second)))))
			requests.Go(func() {
				options := caller.Options{Profile: onlineProfile, Caller: account}
				if keyed {
					options.Key = fmt.Sprintf("key-%d-%d", began.UnixNano(), n)
				}
				chat := caller.Chat{Model: model, MaxTokens: tokens, Messages: prompt(n)}
				err := f.daemons[n%len(f.daemons)].client.StreamChat(ctx, options, chat, func(string) { got.Add(1) })
				if err != nil {
					failed.Add(1)
					return
				}
				done.Add(1)
			})
		}
		requests.Wait()
		took := time.Since(began)
		used := f.cpuTime() - cpu - time.Duration(float64(took)*idle)
		after := f.logStats()
		fmt.Printf("online rate=%.0f tokens=%d keyed=%v seconds=%.1f done=%d failed=%d tokens_got=%d idle_core=%.3f beyond_idle_core=%.3f us_per_request=%.0f appends_per_s=%.1f log_bytes_per_request=%.0f\n",
			rate, tokens, keyed, took.Seconds(), done.Load(), failed.Load(), got.Load(), idle, used.Seconds()/took.Seconds(),
			float64(used.Microseconds())/float64(max(done.Load(), 1)), float64(after.Appends-stats.Appends)/took.Seconds(),
			float64(after.Bytes-stats.Bytes)/float64(max(done.Load(), 1)))
		return nil
	})
	return cmd
}

// idleShare measures for d how many cores all daemons together use.
func (f *fleet) idleShare(d time.Duration) float64 {
	before, began := f.cpuTime(), time.Now()
	time.Sleep(d)
	return (f.cpuTime() - before).Seconds() / time.Since(began).Seconds()
}

// putJob submits a job of n items to the first daemon.
func (f *fleet) putJob(ctx context.Context, name string, n, tokens int) error {
	lines := make([]caller.Line, n)
	for i := range lines {
		chat := caller.Chat{Model: model, MaxTokens: tokens, Messages: prompt(i)}
		lines[i] = caller.Line{CustomID: fmt.Sprint("item-", i), URL: caller.ChatPath, Body: chat}
	}
	body, err := caller.EncodeLines(lines)
	if err != nil {
		return err
	}
	_, err = f.daemons[0].client.PutJob(ctx, caller.Options{Profile: batchProfile, Caller: account}, name, body)
	return err
}

// batchCommand runs one job to its end and prints the cost per item for all daemons
// together.
func batchCommand(dir *string) *cobra.Command {
	var items, tokens int
	cmd := &cobra.Command{Use: "batch", Short: "CPU time and appends of batch items"}
	cmd.Flags().IntVar(&items, "items", 2000, "items of the job")
	cmd.Flags().IntVar(&tokens, "tokens", 4, "tokens of an answer")
	cmd.RunE = withFleet(dir, func(ctx context.Context, f *fleet) error {
		idle := f.idleShare(5 * time.Second)
		name := fmt.Sprint("job-", time.Now().UnixNano())
		cpu, stats, began := f.cpuTime(), f.logStats(), time.Now()
		if err := f.putJob(ctx, name, items, tokens); err != nil {
			return err
		}
		uploaded := time.Since(began)
		job, err := f.awaitJob(ctx, name, caller.Job.Ended)
		if err != nil {
			return err
		}
		took := time.Since(began)
		used := f.cpuTime() - cpu - time.Duration(float64(took)*idle)
		after := f.logStats()
		fmt.Printf("batch items=%d completed=%d failed=%d upload_s=%.2f seconds=%.1f items_per_s=%.0f us_per_item=%.0f appends_per_1000=%.0f log_bytes_per_item=%.0f largest_rss_mib=%.0f\n",
			items, job.Completed, job.Failed, uploaded.Seconds(), took.Seconds(), float64(items)/took.Seconds(),
			float64(used.Microseconds())/float64(items), float64(after.Appends-stats.Appends)*1000/float64(items),
			float64(after.Bytes-stats.Bytes)/float64(items), f.largestMemory())
		return nil
	})
	return cmd
}

// jobPollInterval is the interval at which a job's status is polled.
const jobPollInterval = 50 * time.Millisecond

// awaitJob polls the job's status at the second daemon until done returns true.
func (f *fleet) awaitJob(ctx context.Context, name string, done func(caller.Job) bool) (caller.Job, error) {
	for {
		job, err := f.daemons[1].client.Job(ctx, caller.Options{Caller: account}, name)
		if err == nil && done(job) {
			return job, nil
		}
		select {
		case <-ctx.Done():
			return job, ctx.Err()
		case <-time.After(jobPollInterval):
		}
	}
}
