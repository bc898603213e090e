package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"tarragonhollow.example/tarragonhollow/caller"
)

// Arm is one variant that an experiment compares: settings and kinds of load.
type Arm struct {
	// Name labels the arm in the output.
	Name string
	// Settings are published before each of the arm's rounds.
	Settings []Setting
	// Online and Batch enable the two kinds of load.
	Online, Batch bool
	// Direct sends the online load directly to the engines, bypassing the daemons.
	Direct bool
	// Base names the arm that this arm's online tail latency is compared with; "" is
	// the first arm with online load only.
	Base string
}

// Plan describes an experiment. Every arm runs once in every round. The arms of a round
// use the same seed for arrivals, so that all of them get requests at the same times.
type Plan struct {
	// Arms run in this order in each round, each round starting with the next arm.
	Arms []Arm
	// Rounds is how often the sequence of arms is run.
	Rounds int
	// Round is how long an arm sends load in a round; Settle is the pause before that.
	Round, Settle time.Duration
	// Seed is the seed of arrivals and prompts.
	Seed uint64
	// Online is the shape of the online arrivals.
	Online Shape
	// Model, OnlineProfile and BatchProfile are sent with the requests and jobs.
	Model, OnlineProfile, BatchProfile string
	// OnlineTokens and BatchTokens limit the answers, in tokens.
	OnlineTokens, BatchTokens int
	// Prefixes, PrefixWords and TailWords are passed to NewPrompts.
	Prefixes, PrefixWords, TailWords int
	// JobItems is the size of the job that keeps the fleet busy in a batch arm.
	JobItems int
	// Timeout limits one online request.
	Timeout time.Duration
}

// SettingsPublisher publishes the original configuration with the given settings, and
// no others, applied.
type SettingsPublisher func(ctx context.Context, settings []Setting) error

// Result is the outcome of one arm over all rounds.
type Result struct {
	Arm     Arm
	Summary Summary
	// Rounds are the summaries of the single rounds.
	Rounds []Summary
}

// armTotals accumulates the rounds of one arm.
type armTotals struct {
	all     *Recorder
	rounds  []Summary
	batch   int
	seconds float64
}

// Run runs the plan and returns one result per arm. It calls progress with a line of
// text after each arm of each round.
func Run(ctx context.Context, client *Client, plan Plan, apply SettingsPublisher, progress func(string)) ([]Result, error) {
	totals := make([]armTotals, len(plan.Arms))
	for i := range totals {
		totals[i].all = NewRecorder()
	}
	if err := warmUp(ctx, client, plan, apply); err != nil {
		return nil, fmt.Errorf("warming up: %w", err)
	}
	for round := range plan.Rounds {
		for turn := range plan.Arms {
			// Each round begins with a different arm, so that no arm always runs after the
			// same one.
			i := (turn + round) % len(plan.Arms)
			arm := plan.Arms[i]
			if err := apply(ctx, arm.Settings); err != nil {
				return nil, fmt.Errorf("publishing the settings of arm %s: %w", arm.Name, err)
			}
			if err := totals[i].run(ctx, client, plan, arm, round, plan.tailSeed(round, i)); err != nil {
				return nil, fmt.Errorf("arm %s, round %d: %w", arm.Name, round, err)
			}
			f := totals[i].rounds[round]
			progress(fmt.Sprintf("round=%d arm=%s ttft_p99_ms=%.1f gap_p99_ms=%.1f failed=%d batch_per_second=%.1f",
				round, arm.Name, f.FirstTokenP99, f.InterTokenP99, f.Failed, f.BatchPerSecond))
		}
	}
	results := make([]Result, len(plan.Arms))
	for i, t := range totals {
		results[i] = Result{Arm: plan.Arms[i], Summary: t.summary(t.all, t.batch, t.seconds), Rounds: t.rounds}
	}
	return results, nil
}

// batchSeed is added to the seeds of batch prompts so that they differ from those of
// online prompts.
const batchSeed = 1 << 32

func (p Plan) prompts(prefixSeed, tailSeed uint64) *Prompts {
	return NewPrompts(p.Prefixes, p.PrefixWords, p.TailWords, prefixSeed, tailSeed)
}

// tailSeed returns a seed that is different for each round of each arm.
func (p Plan) tailSeed(round, arm int) uint64 {
	return p.Seed + uint64((round+1)*(len(p.Arms)+1)+arm)
}

// warmUp runs one round of online and batch load without recording it. Otherwise the
// first arm alone would bear the cost of filling the caches with the shared prefixes.
func warmUp(ctx context.Context, client *Client, plan Plan, apply SettingsPublisher) error {
	if err := apply(ctx, nil); err != nil {
		return err
	}
	arm := Arm{Name: "warm-up", Online: true, Batch: true}
	_, _, err := runArm(ctx, client, plan, arm, 0, plan.Seed, NewRecorder())
	return err
}

func (t *armTotals) run(ctx context.Context, client *Client, plan Plan, arm Arm, round int, tail uint64) error {
	rec := NewRecorder()
	done, seconds, err := runArm(ctx, client, plan, arm, round, tail, rec)
	if err != nil {
		return err
	}
	t.all.Merge(rec)
	t.batch += done
	t.seconds += seconds
	t.rounds = append(t.rounds, t.summary(rec, done, seconds))
	return nil
}

func (t *armTotals) summary(rec *Recorder, done int, seconds float64) Summary {
	f := rec.Summary()
	f.RoundSeconds = seconds
	f.BatchCompleted = done
	f.BatchPerSecond = float64(done) / seconds
	f.OnlinePerSecond = float64(f.Sent-f.Failed) / seconds
	return f
}

// runArm runs one arm for one round. It returns the number of batch items completed
// between two counts, and the seconds between these counts. The time is measured since it
// may exceed the round: runArm waits for online requests that are still running.
func runArm(ctx context.Context, client *Client, plan Plan, arm Arm, round int, tail uint64, rec *Recorder) (int, float64, error) {
	job := fmt.Sprintf("load-%s-%d-%d", arm.Name, round, time.Now().UnixNano())
	if arm.Batch {
		prompts := plan.prompts(plan.Seed+batchSeed, tail+batchSeed)
		err := client.PutJob(ctx, round, job, plan.BatchProfile, plan.Model, plan.BatchTokens, plan.JobItems, prompts)
		if err != nil {
			return 0, 0, err
		}
	}
	if err := sleep(ctx, plan.Settle); err != nil {
		return 0, 0, err
	}
	before, err := completedItems(ctx, client, arm, job)
	if err != nil {
		return 0, 0, err
	}
	begun := time.Now()
	if arm.Online {
		sendOnline(ctx, client, plan, arm, plan.Seed+uint64(round), tail, rec)
	} else if err := sleep(ctx, plan.Round); err != nil {
		return 0, 0, err
	}
	after, err := completedItems(ctx, client, arm, job)
	if err != nil {
		return 0, 0, err
	}
	seconds := time.Since(begun).Seconds()
	if arm.Batch {
		if _, err := client.Daemon(round).CancelJob(ctx, caller.Options{}, job); err != nil {
			return 0, 0, err
		}
	}
	return after - before, seconds, nil
}

func completedItems(ctx context.Context, client *Client, arm Arm, job string) (int, error) {
	if !arm.Batch {
		return 0, nil
	}
	status, err := client.Daemon(0).Job(ctx, caller.Options{}, job)
	return status.Completed, err
}

// sendOnline sends the round's requests open-loop: no request waits for an earlier one.
// It returns when the round is over and all its requests have ended.
func sendOnline(ctx context.Context, client *Client, plan Plan, arm Arm, seed, tail uint64, rec *Recorder) {
	prompts := plan.prompts(plan.Seed, tail)
	start := time.Now()
	var wg sync.WaitGroup
	for n, at := range Arrivals(plan.Online, plan.Round, seed) {
		messages := prompts.Next()
		if sleep(ctx, time.Until(start.Add(at))) != nil {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			reqCtx, cancel := context.WithTimeout(ctx, plan.Timeout)
			defer cancel()
			if arm.Direct {
				rec.Add(client.Direct(reqCtx, n, plan.Model, plan.OnlineTokens, messages))
				return
			}
			rec.Add(client.Chat(reqCtx, n, plan.OnlineProfile, plan.Model, plan.OnlineTokens, messages))
		}()
	}
	_ = sleep(ctx, time.Until(start.Add(plan.Round)))
	wg.Wait()
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
