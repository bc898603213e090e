package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"tarragonhollow.example/tarragonhollow/caller"
)

// Arm is one way of running the fleet that an experiment compares.
type Arm struct {
	// Name labels the arm in the output.
	Name string
	// Settings are published before each of the arm's rounds.
	Settings []Setting
	// Online and Batch switch the two kinds of load.
	Online, Batch bool
	// Direct sends the online load straight to engines, past the daemons.
	Direct bool
	// Base names the arm whose online tail this one's is compared with; "" is
	// the first arm with online load alone.
	Base string
}

// Plan describes an experiment: every arm runs once in every round, in turn,
// with the round's own seed, so that all arms of a round meet the same requests.
type Plan struct {
	// Arms run in this order in each round.
	Arms []Arm
	// Rounds repeats the whole sequence.
	Rounds int
	// Round is how long an arm sends; Settle is the pause before it.
	Round, Settle time.Duration
	// Seed fixes arrivals and prompts.
	Seed uint64
	// Online shapes the online arrivals.
	Online Shape
	// Model, OnlineProfile and BatchProfile name what is asked for.
	Model, OnlineProfile, BatchProfile string
	// OnlineTokens and BatchTokens bound the answers.
	OnlineTokens, BatchTokens int
	// Prefixes, PrefixWords and TailWords shape the prompts.
	Prefixes, PrefixWords, TailWords int
	// JobItems is the size of the job that keeps the fleet busy in a batch arm.
	JobItems int
	// Timeout bounds one online request.
	Timeout time.Duration
}

// Switcher puts settings in force on the whole fleet, and only these.
type Switcher func(ctx context.Context, settings []Setting) error

// Result is the outcome of one arm over all rounds.
type Result struct {
	Arm     Arm
	Figures Figures
	// Rounds are the figures of each round alone.
	Rounds []Figures
}

// tally gathers one arm's rounds.
type tally struct {
	all     *Recorder
	rounds  []Figures
	batch   int
	seconds float64
}

// Run runs the plan and returns one result per arm. Progress is told in lines.
func Run(ctx context.Context, client *Client, plan Plan, apply Switcher, progress func(string)) ([]Result, error) {
	tallies := make([]tally, len(plan.Arms))
	for i := range tallies {
		tallies[i].all = NewRecorder()
	}
	if err := warmUp(ctx, client, plan, apply); err != nil {
		return nil, fmt.Errorf("warming up: %w", err)
	}
	for round := range plan.Rounds {
		for turn := range plan.Arms {
			// Another arm begins each round, so that none always follows the same one.
			i := (turn + round) % len(plan.Arms)
			arm := plan.Arms[i]
			if err := apply(ctx, arm.Settings); err != nil {
				return nil, fmt.Errorf("putting the settings of arm %s in force: %w", arm.Name, err)
			}
			if err := tallies[i].run(ctx, client, plan, arm, round, plan.tailSeed(round, i)); err != nil {
				return nil, fmt.Errorf("arm %s, round %d: %w", arm.Name, round, err)
			}
			f := tallies[i].rounds[round]
			progress(fmt.Sprintf("round=%d arm=%s ttft_p99_ms=%.1f gap_p99_ms=%.1f failed=%d batch_per_second=%.1f",
				round, arm.Name, f.FirstP99, f.BetweenP99, f.Failed, f.BatchPerSecond))
		}
	}
	results := make([]Result, len(plan.Arms))
	for i, t := range tallies {
		results[i] = Result{Arm: plan.Arms[i], Figures: t.figures(t.all, t.batch, t.seconds), Rounds: t.rounds}
	}
	return results, nil
}

// batchSeed sets the seeds of batch apart from those of online load.
const batchSeed = 1 << 32

func (p Plan) prompts(prefixSeed, tailSeed uint64) *Prompts {
	return NewPrompts(p.Prefixes, p.PrefixWords, p.TailWords, prefixSeed, tailSeed)
}

// tailSeed differs for each run of an arm.
func (p Plan) tailSeed(round, arm int) uint64 {
	return p.Seed + uint64((round+1)*(len(p.Arms)+1)+arm)
}

// warmUp sends one unrecorded round of online load and batch, so that the first
// arm does not alone pay for filling the caches with the shared prefixes.
func warmUp(ctx context.Context, client *Client, plan Plan, apply Switcher) error {
	if err := apply(ctx, nil); err != nil {
		return err
	}
	arm := Arm{Name: "warm-up", Online: true, Batch: true}
	_, _, err := runArm(ctx, client, plan, arm, 0, plan.Seed, NewRecorder())
	return err
}

func (t *tally) run(ctx context.Context, client *Client, plan Plan, arm Arm, round int, tail uint64) error {
	rec := NewRecorder()
	done, seconds, err := runArm(ctx, client, plan, arm, round, tail, rec)
	if err != nil {
		return err
	}
	t.all.Merge(rec)
	t.batch += done
	t.seconds += seconds
	t.rounds = append(t.rounds, t.figures(rec, done, seconds))
	return nil
}

func (t *tally) figures(rec *Recorder, done int, seconds float64) Figures {
	f := rec.Figures()
	f.RoundSeconds = seconds
	f.BatchCompleted = done
	f.BatchPerSecond = float64(done) / seconds
	f.OnlinePerSecond = float64(f.Sent-f.Failed) / seconds
	return f
}

// runArm runs one arm for one round and returns the batch items completed in it
// and the seconds from the first count of them to the second. Stragglers of the
// online load are waited for, so the time is measured.
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
	before, err := completed(ctx, client, arm, job)
	if err != nil {
		return 0, 0, err
	}
	begun := time.Now()
	if arm.Online {
		sendOnline(ctx, client, plan, arm, plan.Seed+uint64(round), tail, rec)
	} else if err := sleep(ctx, plan.Round); err != nil {
		return 0, 0, err
	}
	after, err := completed(ctx, client, arm, job)
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

func completed(ctx context.Context, client *Client, arm Arm, job string) (int, error) {
	if !arm.Batch {
		return 0, nil
	}
	status, err := client.Daemon(0).Job(ctx, caller.Options{}, job)
	return status.Completed, err
}

// sendOnline sends the round's arrivals open-loop: no request waits for an
// earlier one. It returns when the round is over; stragglers are waited for.
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
