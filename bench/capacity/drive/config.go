package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"
)

// versionPollInterval is the interval at which each daemon's configuration version is
// polled.
const versionPollInterval = 5 * time.Millisecond

// configCommand publishes changes and measures the time until each is in force on all
// daemons, by polling every daemon.
func configCommand(dir *string) *cobra.Command {
	var changes int
	cmd := &cobra.Command{Use: "config", Short: "Time until a change is in force everywhere"}
	cmd.Flags().IntVar(&changes, "changes", 20, "changes to publish")
	cmd.RunE = withFleet(dir, func(ctx context.Context, f *fleet) error {
		var last, answered []time.Duration
		for n := range changes {
			untilApplied, untilAnswered, err := f.change(ctx, n)
			if err != nil {
				return err
			}
			last, answered = append(last, untilApplied), append(answered, untilAnswered)
		}
		slices.Sort(last)
		slices.Sort(answered)
		fmt.Printf("config daemons=%d changes=%d last_host_p50_ms=%d last_host_max_ms=%d answer_p50_ms=%d answer_max_ms=%d\n",
			len(f.daemons), changes, last[len(last)/2].Milliseconds(), last[len(last)-1].Milliseconds(),
			answered[len(answered)/2].Milliseconds(), answered[len(answered)-1].Milliseconds())
		return nil
	})
	return cmd
}

// change publishes one change at daemon n. It returns the time until the last daemon has
// applied it and the time until the operator received the response.
func (f *fleet) change(ctx context.Context, n int) (last, answered time.Duration, err error) {
	operator := f.daemons[n%len(f.daemons)].client
	current, err := operator.Config(ctx)
	if err != nil {
		return 0, 0, err
	}
	text := fmt.Sprintf("%s\n# change %d\n", current.Text, n)
	began := time.Now()
	var waits sync.WaitGroup
	var mu sync.Mutex
	for i := range f.daemons {
		waits.Go(func() {
			f.awaitVersion(ctx, i, current.Version+1)
			mu.Lock()
			defer mu.Unlock()
			last = max(last, time.Since(began))
		})
	}
	_, err = operator.PublishConfig(ctx, text, current.Version)
	answered = time.Since(began)
	if err != nil {
		return 0, 0, err
	}
	waits.Wait()
	return last, answered, nil
}

func (f *fleet) awaitVersion(ctx context.Context, i int, version uint64) {
	for ctx.Err() == nil {
		if config, err := f.daemons[i].client.Config(ctx); err == nil && config.Version >= version {
			return
		}
		time.Sleep(versionPollInterval)
	}
}
