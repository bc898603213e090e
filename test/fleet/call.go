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

// MaxTokens bounds each answer.
const MaxTokens = 24

// Prompt is the prompt with the given text.
func Prompt(text string) []target.Message {
	return []target.Message{
		{Role: "system", Content: "You answer for the house"},
		{Role: "user", Content: text},
	}
}

// Expected is the whole answer to a prompt.
func (f *Fleet) Expected(text string) string {
	return strings.Join(engine.ExpectedTokens(f.Shape.Model, Prompt(text), MaxTokens), "")
}

// Chat sends a chat completion, not streamed; an empty key sends none.
func (f *Fleet) Chat(d *Daemon, key, text string) (string, error) {
	return f.chat(key, text, func(o caller.Options, c caller.Chat) (string, error) {
		ctx, cancel := callContext()
		defer cancel()
		return d.Client.Chat(ctx, o, c)
	})
}

// Stream sends a streamed chat completion and returns what was read, also of a
// stream that broke off.
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
	arrival := f.word.begin(subject{fingerprint: engine.Fingerprint(f.Shape.Model, Prompt(text))})
	answer, err := send(
		caller.Options{Profile: f.Shape.ChatProfile, Key: key},
		caller.Chat{Model: f.Shape.Model, MaxTokens: MaxTokens, Messages: Prompt(text)})
	f.word.ended(arrival, err)
	return answer, err
}

// Order places a non-repeatable order and returns its execution's number.
func (f *Fleet) Order(d *Daemon, key string) (execution int64, err error) {
	arrival := f.word.begin(subject{key: key})
	ctx, cancel := callContext()
	defer cancel()
	_, body, err := d.Client.Service(ctx, caller.Options{Profile: f.Shape.ActionProfile, Key: key}, http.MethodPost,
		f.Shape.Service, f.Shape.ActionPath, []byte(fmt.Sprintf(`{"order":%q}`, key)))
	f.word.ended(arrival, err)
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

// Kept reads the kept state of a key.
func (f *Fleet) Kept(d *Daemon, key string) (caller.KeyedRequest, error) {
	ctx, cancel := callContext()
	defer cancel()
	return d.Client.KeyedRequest(ctx, caller.Options{}, key)
}

// Run returns the run state and code of an error; "" if it is no refusal.
func Run(err error) (outcome.RunState, outcome.Code) {
	refused := caller.AsRefusal(err)
	if refused == nil {
		return "", ""
	}
	return refused.Run, refused.Code
}

// Impossible is the text of an item that no engine can do.
var Impossible = engine.DefaultOptions().ImpossibleMarker

// Job is a batch job of prompts.
type Job struct {
	Name  string
	Texts []string
	// Profile, if set, replaces the deployment's batch profile.
	Profile string
}

// NewJob returns a job of n items; the one at impossible, if not negative, can
// never be done.
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

// ItemID names the i-th item.
func ItemID(i int) string { return fmt.Sprintf("sheet-%03d", i) }

// Put sends the job.
func (f *Fleet) Put(d *Daemon, j Job) (created bool, err error) {
	GinkgoHelper()
	lines := make([]caller.Line, len(j.Texts))
	var arrivals []*arrival
	for i, text := range j.Texts {
		chat := caller.Chat{Model: f.Shape.Model, MaxTokens: MaxTokens, Messages: Prompt(text)}
		lines[i] = caller.Line{CustomID: ItemID(i), URL: caller.ChatPath, Body: chat}
		arrivals = append(arrivals, f.word.begin(subject{fingerprint: engine.Fingerprint(f.Shape.Model, Prompt(text))}))
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
	for _, a := range arrivals {
		f.word.ended(a, err)
	}
	return created, err
}

// MustPut sends the job until it is taken.
func (f *Fleet) MustPut(d *Daemon, j Job) {
	GinkgoHelper()
	Eventually(func() error {
		_, err := f.Put(d, j)
		return err
	}, Bound, Poll).Should(Succeed())
}

// JobState returns a job's status.
func (f *Fleet) JobState(d *Daemon, name string) (caller.Job, error) {
	ctx, cancel := callContext()
	defer cancel()
	return d.Client.Job(ctx, caller.Options{}, name)
}

// WaitJob waits until the job has ended as the daemon sees it. Its failure tells how far
// the job has come, and how far some seconds later.
func (f *Fleet) WaitJob(d *Daemon, j Job) {
	GinkgoHelper()
	Eventually(func() (string, error) {
		job, err := f.JobState(d, j.Name)
		return job.State, err
	}, 2*Bound, Poll).Should(Equal("ended"), func() string {
		first := f.progress(j)
		time.Sleep(laterProgress)
		return fmt.Sprintf("job %s at %s\n%sand %s later\n%s", j.Name, d.Name, first, laterProgress, f.progress(j))
	})
}

// laterProgress is how long after a wait has failed a job's progress is looked at again: it
// tells a slow job from one that is stuck.
const laterProgress = 5 * time.Second

// progress tells, as each running daemon sees it, the counts of a job, the items that have
// not ended, and what the daemon itself holds of any job.
func (f *Fleet) progress(j Job) string {
	var b strings.Builder
	for _, d := range f.Running() {
		job, err := f.JobState(d, j.Name)
		fmt.Fprintf(&b, "%s: %+v, left %v, holds %d items, %v\n", d.Name, job.Counts, f.left(d, j), d.Status().Batch.Held, err)
	}
	return b.String()
}

// left lists the items of the job that the daemon has no end of.
func (f *Fleet) left(d *Daemon, j Job) []string {
	results, _ := f.Results(d, j.Name) // what can't be read is listed as left
	ended := make(map[string]bool)
	for _, r := range results {
		ended[r.CustomID] = true
	}
	var left []string
	for i := range j.Texts {
		if !ended[ItemID(i)] {
			left = append(left, ItemID(i))
		}
	}
	return left
}

// Results reads the job's results from a daemon.
func (f *Fleet) Results(d *Daemon, name string) ([]caller.Result, error) {
	ctx, cancel := callContext()
	defer cancel()
	return d.Client.Results(ctx, caller.Options{}, name)
}

// CheckJob reads the ended job's results from every running daemon: each item
// stands there once, with the answer to its own prompt, or failed if no engine
// can do it.
func (f *Fleet) CheckJob(j Job) {
	GinkgoHelper()
	f.CheckJobAt(f.Running(), j)
}

// CheckJobAt is CheckJob at some of the daemons.
func (f *Fleet) CheckJobAt(daemons []*Daemon, j Job) {
	GinkgoHelper()
	for _, d := range daemons {
		var results []caller.Result
		Eventually(func() (err error) {
			results, err = f.Results(d, j.Name)
			return err
		}, Bound, Poll).Should(Succeed())
		Expect(f.problems(j, results)).To(BeEmpty(), "results of job %s from %s", j.Name, d.Name)
	}
}

func (f *Fleet) problems(j Job, results []caller.Result) []string {
	var out []string
	byID := map[string]caller.Result{}
	for _, r := range results {
		if _, twice := byID[r.CustomID]; twice {
			out = append(out, r.CustomID+" stands twice")
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

// ControlServices changes the faults of every service.
func (f *Fleet) ControlServices(body string) { f.control(f.ServiceAddresses, body) }

// ControlEngines changes the faults of every engine.
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

// Held counts the calls that frozen services hold.
func (f *Fleet) Held() int {
	n := 0
	for _, s := range f.Services {
		n += s.Record().Held
	}
	return n
}

// nowMs is the stand-ins' clock.
func nowMs() int64 { return time.Now().UnixMilli() }
