// Package input checks with real daemon processes that bad input and excessive load
// from a caller are refused with a clear error, lose no work, use bounded memory and do
// not affect other callers. The outcome is read from the targets' records.
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
	RunSpecs(t, "bad input and excessive load from callers")
}

var _ = AfterSuite(fleet.RemoveBinary)

// timeout and pollInterval apply to every wait.
const (
	timeout      = fleet.WaitTimeout
	pollInterval = fleet.PollInterval
)

// refusal is the error object of the API's error format.
type refusal struct {
	Code         outcome.Code     `json:"code"`
	Message      string           `json:"message"`
	Run          outcome.RunState `json:"run"`
	RetryAfterMs *int64           `json:"retry_after_ms"`
}

// readRefusal reads a response that must have exactly the API's error format.
func readRefusal(resp *http.Response) refusal {
	GinkgoHelper()
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	decoder := json.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields()
	var envelope struct {
		Error refusal `json:"error"`
	}
	Expect(decoder.Decode(&envelope)).To(Succeed(), "status %d: %.200s", resp.StatusCode, text)
	Expect(envelope.Error.Message).NotTo(BeEmpty())
	Expect(envelope.Error.RetryAfterMs).NotTo(BeNil(), "%s", text)
	Expect(resp.Header.Get("Retry-After") != "").To(Equal(*envelope.Error.RetryAfterMs > 0))
	Expect(resp.Header.Get("Tarragon-Request-Id")).NotTo(BeEmpty())
	return envelope.Error
}

// send sends a request unchanged; headers alternates names and values.
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

// targetCalls counts the calls that all targets have received.
func targetCalls(f *fleet.Fleet) int {
	n := 0
	for _, s := range f.Services {
		n += len(s.Record().Calls)
	}
	for _, e := range f.Engines {
		n += len(e.Records())
	}
	return n
}

// concurrently runs work(0) to work(n-1) concurrently and returns when all have ended.
func concurrently(n int, work func(i int)) {
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

// engineCalls returns the engines' records of all calls, for the message of a failed
// spec.
func engineCalls(f *fleet.Fleet) []engine.Record {
	var out []engine.Record
	for _, e := range f.Engines {
		out = append(out, e.Records()...)
	}
	return out
}
