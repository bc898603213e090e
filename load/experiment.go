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
	// Policy is the batch policy to publish before the arm's rounds; "" leaves it.
	Policy string
	// Online and Batch switch the two kinds of load.
	Online, Batch bool
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

// Switcher puts a policy in force on the whole fleet.
type Switcher func(ctx context.Context, policy string) error

// Result is the outcome of one arm over all rounds.
type Result struct {
	Arm     Arm
	Figures Figures
}

// Run runs the plan and returns one result per arm. Progress is told in lines.
func Run(ctx context.Context, client *Client, plan Plan, apply Switcher, progress func(string)) ([]Result, error) {
	recorders := make([]*Recorder, len(plan.Arms))
	batch := make([]int, len(plan.Arms))
	for i := range recorders {
		recorders[i] = NewRecorder()
	}
	for round := range plan.Rounds {
		for i, arm := range plan.Arms {
			if arm.Policy != "" {
				if err := apply(ctx, arm.Policy); err != nil {
					return nil, fmt.Errorf("putting policy %s in force: %w", arm.Policy, err)
				}
			}
			done, err := runArm(ctx, client, plan, arm, round, recorders[i])
			if err != nil {
				return nil, fmt.Errorf("arm %s, round %d: %w", arm.Name, round, err)
			}
			batch[i] += done
			progress(fmt.Sprintf("round=%d arm=%s batch_completed=%d", round, arm.Name, done))
		}
	}
	return results(plan, recorders, batch), nil
}

func results(plan Plan, recorders []*Recorder, batch []int) []Result {
	out := make([]Result, len(plan.Arms))
	seconds := plan.Round.Seconds() * float64(plan.Rounds)
	for i, arm := range plan.Arms {
		f := recorders[i].Figures()
		f.RoundSeconds = seconds
		f.BatchCompleted = batch[i]
		f.BatchPerSecond = float64(batch[i]) / seconds
		out[i] = Result{Arm: arm, Figures: f}
	}
	return out
}

// runArm runs one arm for one round and returns the batch items completed in it.
func runArm(ctx context.Context, client *Client, plan Plan, arm Arm, round int, rec *Recorder) (int, error) {
	seed := plan.Seed + uint64(round)
	job := fmt.Sprintf("load-%s-%d-%d", arm.Name, round, time.Now().UnixNano())
	if arm.Batch {
		prompts := NewPrompts(plan.Prefixes, plan.PrefixWords, plan.TailWords, seed+1)
		err := client.PutJob(ctx, round, job, plan.BatchProfile, plan.Model, plan.BatchTokens, plan.JobItems, prompts)
		if err != nil {
			return 0, err
		}
	}
	if err := sleep(ctx, plan.Settle); err != nil {
		return 0, err
	}
	before, err := completed(ctx, client, arm, job)
	if err != nil {
		return 0, err
	}
	if arm.Online {
		sendOnline(ctx, client, plan, seed, rec)
	} else if err := sleep(ctx, plan.Round); err != nil {
		return 0, err
	}
	after, err := completed(ctx, client, arm, job)
	if err != nil {
		return 0, err
	}
	if arm.Batch {
		if _, err := client.Daemon(round).CancelJob(ctx, caller.Options{}, job); err != nil {
			return 0, err
		}
	}
	return after - before, nil
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
func sendOnline(ctx context.Context, client *Client, plan Plan, seed uint64, rec *Recorder) {
	prompts := NewPrompts(plan.Prefixes, plan.PrefixWords, plan.TailWords, seed)
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
