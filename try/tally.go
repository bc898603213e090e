package try

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tarragonhollow.example/tarragonhollow/caller"
	"tarragonhollow.example/tarragonhollow/standin/engine"
	"tarragonhollow.example/tarragonhollow/standin/service"
)

// tally counts the results that callers received, and at the end checks them against the
// targets' records.
type tally struct {
	mu        sync.Mutex
	latency   *hdrhistogram.Histogram
	orders    map[string]*order
	accepted  int
	completed int
	failed    int
	lost      int
	doubled   int
	notes     []string
}

// order is one non-repeatable call, sent twice.
type order struct {
	// answers are the execution numbers in the responses that the callers received.
	answers []int64
	// unknown is set if a caller received a refusal that says the order may have run.
	unknown bool
}

func (t *tally) record(d time.Duration) {
	if t.latency == nil {
		t.latency = hdrhistogram.New(1, 60_000_000, 3)
	}
	_ = t.latency.RecordValue(max(1, min(d.Microseconds(), 60_000_000)))
}

func (t *tally) note(format string, args ...any) {
	const maxNotes = 10
	if len(t.notes) < maxNotes {
		t.notes = append(t.notes, fmt.Sprintf(format, args...))
	}
}

func (t *tally) jobAccepted(items int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accepted += items
}

// recordChat counts one chat completion by the text that its caller received. A text that
// differs from the expected one has lost or doubled tokens.
func (t *tally) recordChat(d time.Duration, text, want string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accepted++
	switch {
	case err != nil:
		t.failed++
		t.note("chat failed: %v", err)
	case text == want:
		t.completed++
		t.record(d)
	case len(text) > len(want):
		t.doubled++
		t.note("chat answer too long: %q, want %q", text, want)
	default:
		t.lost++
		t.note("chat answer wrong: %q, want %q", text, want)
	}
}

func (t *tally) orderSent(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.orders == nil {
		t.orders = map[string]*order{}
	}
	t.orders[key] = &order{}
}

func (t *tally) orderAnswered(key string, d time.Duration, body []byte) {
	var echo service.Echo
	err := json.Unmarshal(body, &echo)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil || echo.Key != key {
		t.note("order %s got a wrong answer: %s", key, body)
		t.lost++
		return
	}
	t.record(d)
	t.orders[key].answers = append(t.orders[key].answers, echo.Execution)
}

func (t *tally) orderRefused(key string, refused *caller.Refused) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orders[key].unknown = true
	t.note("order %s: %v", key, refused)
}

func (t *tally) orderGivenUp(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.note("order %s: no daemon accepted it", key)
}

func (t *tally) progress() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d answered, %d orders, %d failed", t.completed, len(t.orders), t.failed)
}

// check verifies the orders against the targets' records, and the job against the results
// that callers can read now.
func (t *tally) check(ctx context.Context, f *fleet) error {
	t.checkOrders(f)
	return t.checkJob(ctx, f)
}

// checkOrders compares the responses that callers received with the services' records of
// executions.
func (t *tally) checkOrders(f *fleet) {
	executions := map[string]int{}
	for _, s := range f.standins.Services {
		for key, n := range s.Record().Executions {
			executions[key] += n
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, o := range t.orders {
		t.accepted++
		ran := executions[key]
		if ran > 1 {
			t.doubled++
			t.note("order %s ran %d times", key, ran)
		}
		switch {
		case len(o.answers) > 0 && ran == 0:
			t.lost++
			t.note("order %s was confirmed and never ran", key)
		case len(o.answers) > 0:
			t.completed++
		case o.unknown || ran == 0:
			// The callers were informed correctly: it may have run, or it did not run.
			t.failed++
		default:
			t.lost++
			t.note("order %s ran, but no caller was informed", key)
		}
	}
}

// checkJob reads the job's results from every live daemon and checks them.
func (t *tally) checkJob(ctx context.Context, f *fleet) error {
	for _, client := range f.live() {
		var results []caller.Result
		err := retry(ctx, func() error {
			var err error
			results, err = client.Results(ctx, caller.Options{}, jobName)
			return err
		})
		if err != nil {
			return fmt.Errorf("reading the job's results: %w", err)
		}
		t.checkResults(f.shape.Model, results)
	}
	// Every live daemon returned the results of the same job, so its items are counted
	// once.
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completed += batchItems - 1
	t.failed++
	return nil
}

// checkResults compares the results that one daemon returned with the engines' expected
// answers.
func (t *tally) checkResults(model string, results []caller.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := map[string]int{}
	for _, r := range results {
		seen[r.CustomID]++
		if seen[r.CustomID] > 1 {
			t.doubled++
			t.note("item %s appears twice in the results", r.CustomID)
		}
	}
	byID := map[string]caller.Result{}
	for _, r := range results {
		byID[r.CustomID] = r
	}
	for i := range batchItems {
		if problem := itemProblem(model, i, byID[itemID(i)]); problem != "" {
			t.lost++
			t.note("item %s: %s", itemID(i), problem)
		}
	}
}

// itemProblem returns what is wrong with an item's result, or "" if it is as expected.
func itemProblem(model string, i int, r caller.Result) string {
	if i == impossibleItem {
		if r.State != "failed" {
			return "must fail, is " + r.State
		}
		return ""
	}
	if r.State != "completed" || r.Response == nil {
		return "not completed: " + r.State
	}
	text, err := caller.Content(r.Response.Body)
	if err != nil {
		return err.Error()
	}
	if want := join(engine.ExpectedTokens(model, prompt("sheet", i), maxTokens)); text != want {
		return fmt.Sprintf("answer %q, want %q", text, want)
	}
	return ""
}

// summary returns the notes and the last line of the run's output.
func (t *tally) summary() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var b strings.Builder
	for _, note := range t.notes {
		fmt.Fprintln(&b, "note:", note)
	}
	p50, p99 := 0.0, 0.0
	if t.latency != nil {
		p50 = float64(t.latency.ValueAtQuantile(50)) / 1000
		p99 = float64(t.latency.ValueAtQuantile(99)) / 1000
	}
	fmt.Fprintf(&b, "accepted=%d completed=%d failed=%d lost=%d doubled=%d online_p50_ms=%.1f online_p99_ms=%.1f",
		t.accepted, t.completed, t.failed, t.lost, t.doubled, p50, p99)
	return b.String()
}

func join(tokens []string) string { return strings.Join(tokens, "") }
