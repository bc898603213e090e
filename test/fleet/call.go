package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/caller"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/standin/engine"
	"tarragonhollow.example/tarragonhollow/standin/service"
	"tarragonhollow.example/tarragonhollow/target"
)

// MaxTokens is the max_tokens of each chat.
const MaxTokens = 24

// Prompt returns the messages of a chat with the given text.
func Prompt(text string) []target.Message {
	return []target.Message{
		{Role: "system", Content: "You answer for the house"},
		{Role: "user", Content: text},
	}
}

// Expected returns the complete answer to a prompt.
func (f *Fleet) Expected(text string) string {
	return strings.Join(engine.ExpectedTokens(f.Shape.Model, Prompt(text), MaxTokens), "")
}

// Chat sends a chat completion that is not streamed, without an idempotency key if
// key is empty.
func (f *Fleet) Chat(d *Daemon, key, text string) (string, error) {
	return f.chat(key, text, func(o caller.Options, c caller.Chat) (string, error) {
		ctx, cancel := callContext()
		defer cancel()
		return d.Client.Chat(ctx, o, c)
	})
}

// Stream sends a streamed chat completion and returns the text read, also if the
// stream broke off.
func (f *Fleet) Stream(d *Daemon, key, text string) (string, error) {
	return f.chat(key, text, func(o caller.Options, c caller.Chat) (string, error) {
		ctx, cancel := callContext()
		defer cancel()
		var all strings.Builder
		err := d.Client.StreamChat(ctx, o, c, func(token string) { all.WriteString(token) })
		return all.String(), err
	})
}

func (f *Fleet) chat(key, text string, send func(caller.Options, caller.Chat) (string, error)) (string, error) {
	request := f.responses.begin(requestIdentity{fingerprint: engine.Fingerprint(f.Shape.Model, Prompt(text))})
	answer, err := send(
		caller.Options{Profile: f.Shape.ChatProfile, Key: key},
		caller.Chat{Model: f.Shape.Model, MaxTokens: MaxTokens, Messages: Prompt(text)})
	f.responses.ended(request, err)
	return answer, err
}

// Order places a non-repeatable order and returns the number of its execution.
func (f *Fleet) Order(d *Daemon, key string) (execution int64, err error) {
	request := f.responses.begin(requestIdentity{key: key})
	ctx, cancel := callContext()
	defer cancel()
	_, body, err := d.Client.Service(ctx, caller.Options{Profile: f.Shape.ActionProfile, Key: key}, http.MethodPost,
		f.Shape.Service, f.Shape.ActionPath, []byte(fmt.Sprintf(`{"order":%q}`, key)))
	f.responses.ended(request, err)
	if err != nil {
		return 0, err
	}
	var echo service.Echo
	if err := json.Unmarshal(body, &echo); err != nil {
		return 0, err
	}
	if echo.Key != key {
		return 0, fmt.Errorf("order %s got the answer to %s", key, echo.Key)
	}
	return echo.Execution, nil
}

// Executions counts the executions of an order at all services.
func (f *Fleet) Executions(key string) int {
	n := 0
	for _, s := range f.Services {
		n += s.Record().Executions[key]
	}
	return n
}

// KeyedRequest returns the stored state of the request with a key.
func (f *Fleet) KeyedRequest(d *Daemon, key string) (caller.KeyedRequest, error) {
	ctx, cancel := callContext()
	defer cancel()
	return d.Client.KeyedRequest(ctx, caller.Options{}, key)
}

// RunState returns the run state and code of a refusal, and empty strings for any
// other error.
func RunState(err error) (outcome.RunState, outcome.Code) {
	refused := caller.AsRefusal(err)
	if refused == nil {
		return "", ""
	}
	return refused.Run, refused.Code
}

// Impossible is a marker; every engine refuses an item whose text contains it.
var Impossible = engine.DefaultOptions().ImpossibleMarker

// Job is a batch job of prompts.
type Job struct {
	Name  string
	Texts []string
	// Profile is the batch profile; if empty, the deployment's default is used.
	Profile string
}

// NewJob returns a job of n items. The item at index impossible, if not negative,
// fails on every engine.
func NewJob(name string, n, impossible int) Job {
	j := Job{Name: name}
	for i := range n {
		text := fmt.Sprintf("%s sheet %d", name, i)
		if i == impossible {
			text += " " + Impossible
		}
		j.Texts = append(j.Texts, text)
	}
	return j
}

// ItemID returns the custom ID of the i-th item.
func ItemID(i int) string { return fmt.Sprintf("sheet-%03d", i) }

// Put sends the job and reports whether the daemon created it.
func (f *Fleet) Put(d *Daemon, j Job) (created bool, err error) {
	GinkgoHelper()
	lines := make([]caller.Line, len(j.Texts))
	var requests []*sentRequest
	for i, text := range j.Texts {
		chat := caller.Chat{Model: f.Shape.Model, MaxTokens: MaxTokens, Messages: Prompt(text)}
		lines[i] = caller.Line{CustomID: ItemID(i), URL: caller.ChatPath, Body: chat}
		requests = append(requests, f.responses.begin(requestIdentity{fingerprint: engine.Fingerprint(f.Shape.Model, Prompt(text))}))
	}
	body, err := caller.EncodeLines(lines)
	Expect(err).NotTo(HaveOccurred())
	profile := j.Profile
	if profile == "" {
		profile = f.Shape.BatchProfile
	}
	ctx, cancel := callContext()
	defer cancel()
	created, err = d.Client.PutJob(ctx, caller.Options{Profile: profile}, j.Name, body)
	for _, request := range requests {
		f.responses.ended(request, err)
	}
	return created, err
}

// MustPut sends the job until a daemon accepts it.
func (f *Fleet) MustPut(d *Daemon, j Job) {
	GinkgoHelper()
	Eventually(func() error {
		_, err := f.Put(d, j)
		return err
	}, WaitTimeout, PollInterval).Should(Succeed())
}

// JobState returns a job's status.
func (f *Fleet) JobState(d *Daemon, name string) (caller.Job, error) {
	ctx, cancel := callContext()
	defer cancel()
	return d.Client.Job(ctx, caller.Options{}, name)
}

// WaitJob waits until the daemon reports that the job has ended. On failure it prints
// the job's progress twice, progressRecheckDelay apart.
func (f *Fleet) WaitJob(d *Daemon, j Job) {
	GinkgoHelper()
	Eventually(func() (string, error) {
		job, err := f.JobState(d, j.Name)
		return job.State, err
	}, 2*WaitTimeout, PollInterval).Should(Equal("ended"), func() string {
		first := f.progress(j)
		time.Sleep(progressRecheckDelay)
		return fmt.Sprintf("job %s at %s\n%sand %s later\n%s", j.Name, d.Name, first, progressRecheckDelay, f.progress(j))
	})
}

// progressRecheckDelay is the time between the two progress reports of a failed wait;
// their difference distinguishes a slow job from a stuck one.
const progressRecheckDelay = 5 * time.Second

// progress returns a line for each running daemon with the job's counts and unfinished
// items as that daemon reports them, and the number of items of any job that it holds.
func (f *Fleet) progress(j Job) string {
	var b strings.Builder
	for _, d := range f.Running() {
		job, err := f.JobState(d, j.Name)
		fmt.Fprintf(&b, "%s: %+v, left %v, holds %d items, %v\n", d.Name, job.Counts, f.unfinishedItems(d, j), d.Status().Batch.Held, err)
	}
	return b.String()
}

// unfinishedItems returns the items of the job for which the daemon has no result.
func (f *Fleet) unfinishedItems(d *Daemon, j Job) []string {
	results, _ := f.Results(d, j.Name) // on an error all items count as unfinished
	ended := make(map[string]bool)
	for _, r := range results {
		ended[r.CustomID] = true
	}
	var unfinished []string
	for i := range j.Texts {
		if !ended[ItemID(i)] {
			unfinished = append(unfinished, ItemID(i))
		}
	}
	return unfinished
}

// Results returns the job's results as a daemon reports them.
func (f *Fleet) Results(d *Daemon, name string) ([]caller.Result, error) {
	ctx, cancel := callContext()
	defer cancel()
	return d.Client.Results(ctx, caller.Options{}, name)
}

// CheckJob reads the ended job's results from every running daemon and expects each
// item exactly once, with the answer to its own prompt, or failed if its text
// contains Impossible.
func (f *Fleet) CheckJob(j Job) {
	GinkgoHelper()
	f.CheckJobAt(f.Running(), j)
}

// CheckJobAt is CheckJob for the given daemons.
func (f *Fleet) CheckJobAt(daemons []*Daemon, j Job) {
	GinkgoHelper()
	for _, d := range daemons {
		var results []caller.Result
		Eventually(func() (err error) {
			results, err = f.Results(d, j.Name)
			return err
		}, WaitTimeout, PollInterval).Should(Succeed())
		Expect(f.problems(j, results)).To(BeEmpty(), "results of job %s from %s", j.Name, d.Name)
	}
}

func (f *Fleet) problems(j Job, results []caller.Result) []string {
	var out []string
	byID := map[string]caller.Result{}
	for _, r := range results {
		if _, duplicate := byID[r.CustomID]; duplicate {
			out = append(out, r.CustomID+" appears twice")
		}
		byID[r.CustomID] = r
	}
	for i, text := range j.Texts {
		if p := f.itemProblem(text, byID[ItemID(i)]); p != "" {
			out = append(out, ItemID(i)+": "+p)
		}
	}
	return out
}

func (f *Fleet) itemProblem(text string, r caller.Result) string {
	if strings.Contains(text, Impossible) {
		if r.State != "failed" {
			return "must fail, is " + r.State
		}
		return ""
	}
	if r.State != "completed" || r.Response == nil {
		return fmt.Sprintf("is %q, %+v", r.State, r.Error)
	}
	answer, err := caller.Content(r.Response.Body)
	if err != nil {
		return err.Error()
	}
	if want := f.Expected(text); answer != want {
		return fmt.Sprintf("has answer %q, want %q", answer, want)
	}
	return ""
}

// ItemCalls returns the engines' records of the job's items.
func (f *Fleet) ItemCalls(j Job) []engine.Record {
	wanted := map[string]bool{}
	for _, text := range j.Texts {
		wanted[engine.Fingerprint(f.Shape.Model, Prompt(text))] = true
	}
	var out []engine.Record
	for _, e := range f.Engines {
		for _, r := range e.Records() {
			if wanted[r.Fingerprint] {
				out = append(out, r)
			}
		}
	}
	return out
}

// Crashes counts the engines' crashes.
func (f *Fleet) Crashes() int {
	n := 0
	for _, e := range f.Engines {
		n += e.Stats().Crashes
	}
	return n
}

// ControlServices sends the body to the control endpoint of every service.
func (f *Fleet) ControlServices(body string) { f.control(f.ServiceAddresses, body) }

// ControlEngines sends the body to the control endpoint of every engine.
func (f *Fleet) ControlEngines(body string) { f.control(f.EngineAddresses, body) }

func (f *Fleet) control(addresses []string, body string) {
	GinkgoHelper()
	for _, address := range addresses {
		ctx, cancel := callContext()
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/control", bytes.NewReader([]byte(body)))
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.DefaultClient.Do(req)
		cancel()
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
	}
}

// Held counts the calls that frozen services have not answered yet.
func (f *Fleet) Held() int {
	n := 0
	for _, s := range f.Services {
		n += s.Record().Held
	}
	return n
}

// nowMs returns Unix time in milliseconds, the clock that the stand-ins also use.
func nowMs() int64 { return time.Now().UnixMilli() }
