package try

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"tarragonhollow.example/tarragonhollow/caller"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/standin/engine"
	"tarragonhollow.example/tarragonhollow/target"
)

const (
	// chatInterval and orderInterval are the intervals between online requests of each kind.
	chatInterval  = 40 * time.Millisecond
	orderInterval = 150 * time.Millisecond
	// maxTokens limits each answer.
	maxTokens = 24
	// jobName is the name of the batch job; impossibleItem is the index of its item that
	// no engine can do.
	jobName        = "night-batch"
	impossibleItem = batchItems / 2
)

// runLoad submits the batch job, sends the online requests, kills a daemon meanwhile and
// waits until the job and the online load have ended.
func runLoad(ctx context.Context, f *fleet, count *tally, p *progress) error {
	body, err := jobBody(f.shape.Model)
	if err != nil {
		return err
	}
	options := caller.Options{Profile: f.shape.BatchProfile}
	err = retry(ctx, func() error {
		_, err := f.daemons[1].client.PutJob(ctx, options, jobName, body)
		return err
	})
	if err != nil {
		return fmt.Errorf("submitting the batch job: %w", err)
	}
	count.jobAccepted(batchItems)
	p.step("batch job accepted: %d items, one of which can never complete", batchItems)

	var wg sync.WaitGroup
	sendUntil := time.Now().Add(onlineDuration)
	wg.Add(2)
	go func() { defer wg.Done(); sendChats(ctx, f, count, sendUntil) }()
	go func() { defer wg.Done(); sendOrders(ctx, f, count, sendUntil) }()
	killed := make(chan struct{})
	go func() {
		defer close(killed)
		time.Sleep(killAfter)
		f.kill(1)
	}()
	err = watch(ctx, f, count, p, killed)
	wg.Wait()
	return err
}

// watch prints the counters until the online load and the job have ended. It returns an
// error if ctx is done before that.
func watch(ctx context.Context, f *fleet, count *tally, p *progress, killed <-chan struct{}) error {
	begin := time.Now()
	for {
		select {
		case <-ctx.Done():
			return fmt.Errorf("the batch job did not end in time: %w", ctx.Err())
		case <-killed:
			p.step("killed daemon entry-2 abruptly; its callers retry at another daemon")
			killed = nil
		case <-time.After(200 * time.Millisecond):
		}
		job, err := f.daemons[0].client.Job(ctx, caller.Options{}, jobName)
		if err == nil {
			p.tick(fmt.Sprintf("online %s; batch %d/%d completed, %d failed", count.progress(), job.Completed, job.Items, job.Failed))
		}
		if err == nil && job.Ended() && killed == nil && time.Since(begin) > onlineDuration {
			p.step("batch job %s: %d completed, %d failed of %d", job.State, job.Completed, job.Failed, job.Items)
			return nil
		}
	}
}

// prompt returns the n-th prompt of a kind; the prompts of a kind share their prefix.
func prompt(kind string, n int) []target.Message {
	return []target.Message{
		{Role: "system", Content: "You answer for the house " + kind},
		{Role: "user", Content: fmt.Sprintf("%s request number %d", kind, n)},
	}
}

func jobBody(model string) ([]byte, error) {
	lines := make([]caller.Line, batchItems)
	for i := range lines {
		messages := prompt("sheet", i)
		if i == impossibleItem {
			messages = []target.Message{{Role: "user", Content: engine.DefaultOptions().ImpossibleMarker}}
		}
		lines[i] = caller.Line{
			CustomID: itemID(i),
			URL:      caller.ChatPath,
			Body:     caller.Chat{Model: model, MaxTokens: maxTokens, Messages: messages},
		}
	}
	return caller.EncodeLines(lines)
}

func itemID(i int) string { return fmt.Sprintf("sheet-%03d", i) }

// sendChats sends streamed chat completions, open-loop, to the daemons round-robin.
func sendChats(ctx context.Context, f *fleet, count *tally, until time.Time) {
	var wg sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		wg.Add(1)
		go func() { defer wg.Done(); sendChat(ctx, f, count, n) }()
		time.Sleep(chatInterval)
	}
	wg.Wait()
}

// sendChat sends one chat completion. If it fails, for instance because the daemon was
// killed, it is sent to the next daemon with the same key.
func sendChat(ctx context.Context, f *fleet, count *tally, n int) {
	messages := prompt("room", n)
	chat := caller.Chat{Model: f.shape.Model, MaxTokens: maxTokens, Messages: messages}
	options := caller.Options{Profile: f.shape.ChatProfile, Key: fmt.Sprintf("chat-%d", n)}
	begin := time.Now()
	var text string
	var err error
	for attempt := range len(f.daemons) {
		text = ""
		client := f.daemons[(n+attempt)%len(f.daemons)].client
		err = client.StreamChat(ctx, options, chat, func(t string) { text += t })
		if err == nil {
			break
		}
	}
	want := join(engine.ExpectedTokens(f.shape.Model, messages, maxTokens))
	count.recordChat(time.Since(begin), text, want, err)
}

// sendOrders sends non-repeatable calls. Each one is sent twice with the same key, to two
// daemons at once, like the retry of a caller that does not wait for the first response.
func sendOrders(ctx context.Context, f *fleet, count *tally, until time.Time) {
	var wg sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		key := fmt.Sprintf("order-%d", n)
		count.orderSent(key)
		for offset := range 2 {
			wg.Add(1)
			go func() { defer wg.Done(); sendOrder(ctx, f, count, key, n+offset) }()
		}
		time.Sleep(orderInterval)
	}
	wg.Wait()
}

func sendOrder(ctx context.Context, f *fleet, count *tally, key string, first int) {
	options := caller.Options{Profile: f.shape.ActionProfile, Key: key}
	body := []byte(fmt.Sprintf(`{"order":%q}`, key))
	begin := time.Now()
	for attempt := range len(f.daemons) {
		client := f.daemons[(first+attempt)%len(f.daemons)].client
		_, text, err := client.Service(ctx, options, http.MethodPost, f.shape.Service, f.shape.ActionPath, body)
		if err == nil {
			count.orderAnswered(key, time.Since(begin), text)
			return
		}
		if refused := caller.AsRefusal(err); refused != nil && refused.Run != outcome.NotRun {
			count.orderRefused(key, refused)
			return
		}
	}
	count.orderGivenUp(key)
}
