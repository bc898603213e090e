// Package input proves with real daemon processes that bad input and greedy
// callers are refused clearly, lose nothing, hold bounded memory and harm no
// other caller. What became of the work is read from the targets' records.
package input

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/standin/engine"
	"tarragonhollow.example/tarragonhollow/test/fleet"
)

func TestInput(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bad input and greedy callers")
}

var _ = AfterSuite(fleet.RemoveBinary)

// bound and poll are those of every wait.
const (
	bound = fleet.Bound
	poll  = fleet.Poll
)

// refusal is the contract's shape of an error.
type refusal struct {
	Code         outcome.Code     `json:"code"`
	Message      string           `json:"message"`
	Run          outcome.RunState `json:"run"`
	RetryAfterMs *int64           `json:"retry_after_ms"`
}

// readRefusal reads an answer that must have exactly the contract's shape.
func readRefusal(resp *http.Response) refusal {
	GinkgoHelper()
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	decoder := json.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields()
	var whole struct {
		Error refusal `json:"error"`
	}
	Expect(decoder.Decode(&whole)).To(Succeed(), "status %d: %.200s", resp.StatusCode, text)
	Expect(whole.Error.Message).NotTo(BeEmpty())
	Expect(whole.Error.RetryAfterMs).NotTo(BeNil(), "%s", text)
	Expect(resp.Header.Get("Retry-After") != "").To(Equal(*whole.Error.RetryAfterMs > 0))
	Expect(resp.Header.Get("Tarragon-Request-Id")).NotTo(BeEmpty())
	return whole.Error
}

// send sends a request as it is; headers are names and values in turn.
func send(d *fleet.Daemon, method, path string, body io.Reader, headers ...string) (*http.Response, error) {
	req, err := http.NewRequest(method, d.Client.Base+path, body)
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	for i := 0; i < len(headers); i += 2 {
		req.Header.Add(headers[i], headers[i+1])
	}
	return d.Client.HTTP.Do(req)
}

// reached counts every call that any target took.
func reached(f *fleet.Fleet) int {
	n := 0
	for _, s := range f.Services {
		n += len(s.Record().Calls)
	}
	for _, e := range f.Engines {
		n += len(e.Records())
	}
	return n
}

// all runs work(0..n-1) at once and returns when all have ended.
func all(n int, work func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer GinkgoRecover()
			work(i)
		}()
	}
	wg.Wait()
}

// ended lists how the engines' calls ended, to be read when a spec fails.
func ended(f *fleet.Fleet) []engine.Record {
	var out []engine.Record
	for _, e := range f.Engines {
		out = append(out, e.Records()...)
	}
	return out
}
