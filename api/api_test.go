package api_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/api"
	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/target"
)

var _ = Describe("callers", func() {
	It("answers a chat in the OpenAI format, as one object and as a stream", func() {
		d := start(nil)
		var got api.ChatCall
		d.chat = func(_ context.Context, c api.ChatCall, sink func(target.Token) error) (api.ChatResult, error) {
			got = c
			for i, text := range []string{"a\"\n", "ß\x01"} {
				if sink != nil {
					Expect(sink(target.Token{Index: i, Text: text})).To(Succeed())
				}
			}
			return api.ChatResult{Text: "a\"\nß\x01", Finish: target.Finish{Reason: "stop"}}, nil
		}
		resp := d.send("POST", "/v1/chat/completions", fmt.Sprintf(hello, false), "Tarragon-Profile", "order",
			"Idempotency-Key", "k/1", "Tarragon-Caller", "room", "Tarragon-Deadline-Ms", "700")
		var whole struct {
			Object  string
			Choices []struct {
				Message      target.Message
				FinishReason string `json:"finish_reason"`
			}
		}
		Expect(json.NewDecoder(resp.Body).Decode(&whole)).To(Succeed())
		Expect(whole.Object).To(Equal("chat.completion"))
		Expect(whole.Choices[0].Message).To(Equal(target.Message{Role: "assistant", Content: "a\"\nß\x01"}))
		Expect(whole.Choices[0].FinishReason).To(Equal("stop"))
		Expect(got.Key).To(Equal("k/1"))
		Expect(got.Caller).To(Equal("room"))
		Expect(time.Until(got.Deadline)).To(BeNumerically("<", time.Second))
		Expect(got.Request.Messages).To(Equal([]target.Message{{Role: "user", Content: "hello"}}))
		Expect(got.Request.Extra).To(HaveKey("top_p"))
		Expect(got.Request.Extra).To(HaveLen(1))

		resp = d.send("POST", "/v1/chat/completions", fmt.Sprintf(hello, true), "Tarragon-Profile", "desk",
			"Tarragon-Deadline-Ms", "999999", "Authorization", "Bearer t")
		Expect(resp.Header.Get("Content-Type")).To(Equal("text/event-stream"))
		text, _ := io.ReadAll(resp.Body)
		var content string
		events := strings.Split(strings.TrimSuffix(string(text), "\n\n"), "\n\n")
		for _, e := range events[:len(events)-1] {
			var chunk struct {
				Object  string
				Choices []struct{ Delta struct{ Content string } }
			}
			Expect(json.Unmarshal([]byte(strings.TrimPrefix(e, "data: ")), &chunk)).To(Succeed(), e)
			Expect(chunk.Object).To(Equal("chat.completion.chunk"))
			content += chunk.Choices[0].Delta.Content
		}
		Expect(content).To(Equal("a\"\nß\x01"))
		Expect(events[len(events)-2]).To(ContainSubstring(`"finish_reason":"stop"`))
		Expect(events[len(events)-1]).To(Equal("data: [DONE]"))
		Expect(time.Until(got.Deadline)).To(BeNumerically("<", 11*time.Second), "a header lengthened the deadline")
		Expect(got.Caller).To(HavePrefix("bearer-"))
		Expect(got.Key).To(BeEmpty())
	})

	DescribeTable("refuses with the status, error body and run state of the cause",
		func(method, path, body string, status int, code, run string, headers ...string) {
			d := start(nil)
			d.chat = func(context.Context, api.ChatCall, func(target.Token) error) (api.ChatResult, error) {
				return api.ChatResult{}, outcome.Refuse(outcome.OutcomeUnknown, "cut").WithRun(outcome.MayHaveRun).After(1001)
			}
			d.service = func(api.ServiceCall) (target.ServiceResponse, error) { panic("fault") }
			d.putJob = drainJob
			resp := d.send(method, path, body, headers...)
			r := read(resp)
			Expect(resp.StatusCode).To(Equal(status), r.Error.Message)
			Expect(r.Error.Code).To(Equal(code))
			Expect(r.Error.Run).To(Equal(run))
			Expect(resp.Header.Get("Retry-After") != "").To(Equal(*r.Error.RetryAfterMs > 0))
			if code == "outcome_unknown" {
				Expect(resp.Header.Get("Retry-After")).To(Equal("2"))
			}
		},
		Entry("unknown path", "GET", "/v2", "", 404, "not_found", "not_run"),
		Entry("method not allowed", "PUT", "/v1/chat/completions", "", 405, "method_not_allowed", "not_run"),
		Entry("no profile", "POST", "/v1/chat/completions", "{}", 400, "bad_request", "not_run"),
		Entry("unknown profile", "POST", "/v1/chat/completions", "{}", 400, "unknown_profile", "not_run", "Tarragon-Profile", "x"),
		Entry("no key", "POST", "/v1/chat/completions", "{}", 400, "idempotency_key_required", "not_run", "Tarragon-Profile", "order"),
		Entry("long key", "POST", "/v1/chat/completions", "{}", 400, "bad_request", "not_run", "Tarragon-Profile", "order", "Idempotency-Key", strings.Repeat("k", 257)),
		Entry("bad deadline", "POST", "/v1/chat/completions", "{}", 400, "bad_request", "not_run", "Tarragon-Profile", "desk", "Tarragon-Deadline-Ms", "-1"),
		Entry("slash in the caller", "POST", "/v1/chat/completions", "{}", 400, "bad_request", "not_run", "Tarragon-Profile", "desk", "Tarragon-Caller", "a/b"),
		Entry("bad body", "POST", "/v1/chat/completions", `{"model":"m","messages":[{"role":"u","content":3}]}`, 400, "bad_request", "not_run", "Tarragon-Profile", "desk"),
		Entry("large body", "POST", "/v1/chat/completions", strings.Repeat("x", 4097), 413, "too_large", "not_run", "Tarragon-Profile", "desk"),
		Entry("backend's refusal", "POST", "/v1/chat/completions", fmt.Sprintf(hello, true), 502, "outcome_unknown", "may_have_run", "Tarragon-Profile", "desk"),
		Entry("panic in the backend", "GET", "/v1/services/tickets/1", "", 500, "internal", "may_have_run", "Tarragon-Profile", "desk"),
		Entry("large headers", "GET", "/v1/jobs/j", "", 413, "too_large", "not_run", "X-Long", strings.Repeat("h", 40<<10)),
		Entry("unknown key", "GET", "/v1/requests/k", "", 404, "not_found", "not_run"),
		Entry("job name", "PUT", "/v1/jobs/a%20b", job(1), 400, "bad_request", "not_run", "Tarragon-Profile", "night"),
		Entry("online profile for a job", "PUT", "/v1/jobs/j", job(1), 400, "bad_request", "not_run", "Tarragon-Profile", "desk"),
		Entry("empty job", "PUT", "/v1/jobs/j", "\n\n", 400, "bad_request", "not_run", "Tarragon-Profile", "night"),
		Entry("duplicate custom_id", "PUT", "/v1/jobs/j", job(2)+job(1), 400, "bad_request", "not_run", "Tarragon-Profile", "night"),
		Entry("bad line", "PUT", "/v1/jobs/j", job(2)+"{}\n", 400, "bad_request", "not_run", "Tarragon-Profile", "night"),
		Entry("long line", "PUT", "/v1/jobs/j", job(2)+strings.Repeat("x", 513), 413, "too_large", "not_run", "Tarragon-Profile", "night"),
		Entry("many items", "PUT", "/v1/jobs/j", job(21), 413, "too_large", "not_run", "Tarragon-Profile", "night"),
		Entry("large job", "PUT", "/v1/jobs/j", job(20)+strings.Repeat("\n", 8192), 413, "too_large", "not_run", "Tarragon-Profile", "night"),
		Entry("no token", "GET", "/admin/status", "", 401, "unauthorized", "not_run"),
		Entry("wrong token", "POST", "/admin/drain", "", 401, "unauthorized", "not_run", "Authorization", "Bearer secreT"),
		Entry("no If-Match", "PUT", "/admin/config", "x", 400, "bad_request", "not_run", "Authorization", "Bearer secret"),
	)

	It("passes a service's call and answer on without the connection's own headers", func() {
		d := start(nil)
		var got api.ServiceCall
		d.service = func(c api.ServiceCall) (target.ServiceResponse, error) {
			got = c
			return target.ServiceResponse{Status: 418, Header: http.Header{"X-A": {"1"}, "Connection": {"X-B"}, "X-B": {"2"}}, Body: []byte("tea")}, nil
		}
		resp := d.send("POST", "/v1/services/tickets/a%2Fb?x=1&x=2", "body", "Tarragon-Profile", "desk", "Te", "trailers", "X-Note", "n")
		text, _ := io.ReadAll(resp.Body)
		Expect(string(text)).To(Equal("tea"))
		Expect(resp.StatusCode).To(Equal(418))
		Expect(resp.Header).To(HaveKey("X-A"))
		Expect(resp.Header).NotTo(HaveKey("X-B"))
		Expect(got.Service).To(Equal("tickets"))
		Expect(got.Request.Path).To(Equal("/a%2Fb?x=1&x=2"))
		Expect(got.Request.Header).To(HaveKey("X-Note"))
		Expect(got.Request.Header).NotTo(HaveKey("Te"))
	})

	It("returns a stored answer by its caller's key", func() {
		d := start(nil)
		d.kept = map[string]ledger.KeptRequest{"room/k/1": {
			State:  ledger.RequestCompleted,
			Answer: &ledger.Answer{Status: 200, ContentType: "application/json", Body: []byte(`{"n":1}`)},
		}}
		resp := d.send("GET", "/v1/requests/k%2F1", "", "Tarragon-Caller", "room")
		text, _ := io.ReadAll(resp.Body)
		Expect(text).To(MatchJSON(`{"key":"k/1","state":"completed","response":{"status":200,"content_type":"application/json","body":{"n":1}}}`))
	})

	It("writes one line per request without the key itself", func() {
		d := start(nil)
		read(d.send("GET", "/v1/requests/guest-17", "", "Tarragon-Caller", "room"))
		Eventually(d.lines.Len).Should(Equal(1))
		line := d.lines.All()[0].ContextMap()
		Expect(line).To(HaveKeyWithValue("caller", "room"))
		Expect(line).To(HaveKeyWithValue("code", "not_found"))
		Expect(line).To(HaveKeyWithValue("status", BeEquivalentTo(404)))
		Expect(line["key"]).To(And(Not(BeEmpty()), Not(ContainSubstring("guest-17"))))
	})
})

var _ = Describe("jobs", func() {
	It("answers 202 for a new job, 200 for the same, and gives both the same fingerprint", func() {
		d := start(nil)
		sums := map[string]bool{}
		d.putJob = func(up api.JobUpload) (ledger.JobStatus, bool, error) {
			status, _, err := drainJob(up)
			known := sums[up.Sum()]
			sums[up.Sum()] = true
			return status, !known, err
		}
		Expect(d.send("PUT", "/v1/jobs/j", job(20), "Tarragon-Profile", "night").StatusCode).To(Equal(202))
		Expect(d.send("PUT", "/v1/jobs/j", job(20), "Tarragon-Profile", "night").StatusCode).To(Equal(200))
		Expect(d.send("PUT", "/v1/jobs/j", job(19), "Tarragon-Profile", "night").StatusCode).To(Equal(202))
		Expect(sums).To(HaveLen(2))
	})

	// A client loses its network in the middle of a job. The part received so far is
	// complete lines, so a server that treats the end of the connection as the end of the
	// body would accept half of the items as the whole job.
	It("accepts nothing of a half-sent body", func() {
		d := start(nil)
		ended := make(chan error, 1)
		d.putJob = func(up api.JobUpload) (ledger.JobStatus, bool, error) {
			status, created, err := drainJob(up)
			ended <- err
			return status, created, err
		}
		conn := d.dial("PUT /v1/jobs/j HTTP/1.1\r\nHost: x\r\nTarragon-Profile: night\r\nContent-Length: 4000\r\n\r\n" + job(3))
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		var err error
		Eventually(ended).Should(Receive(&err))
		Expect(err).To(MatchError(ContainSubstring("ended early")))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(read(resp).Error.Run).To(Equal("not_run"))
	})

	// A client sends a job without line ends. Without a limit the daemon would buffer the
	// whole job as one line before it refuses it as too long.
	It("refuses a long line before the rest of it is received", func() {
		d := start(nil)
		d.putJob = drainJob
		d.cfg.Limits.JobBytes = 1 << 20
		conn := d.dial("PUT /v1/jobs/j HTTP/1.1\r\nHost: x\r\nTarragon-Profile: night\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 40<<10))
		deadline := time.Now().Add(api.DefaultBodyStall / 2)
		Expect(conn.SetReadDeadline(deadline)).To(Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(413))
	})

	It("streams results page by page and cuts the connection when a page fails", func() {
		d := start(nil)
		failPage := false
		d.results = func(r ledger.ResultsRequest) (ledger.ResultsReply, error) {
			if r.From == 2 && failPage {
				return ledger.ResultsReply{}, outcome.Refuse(outcome.NoOwner, "moving")
			}
			id := fmt.Sprint("sheet-", r.From)
			result := ledger.ItemResult{CustomID: id, State: ledger.ItemFailed, Attempts: 2, Refusal: outcome.Refuse(outcome.Unprocessable, "no")}
			return ledger.ResultsReply{Results: []ledger.ItemResult{result}, Next: r.From + 1, Items: 3}, nil
		}
		text, err := io.ReadAll(d.send("GET", "/v1/jobs/j/results", "").Body)
		Expect(err).NotTo(HaveOccurred())
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		Expect(lines).To(HaveLen(3))
		Expect(lines[2]).To(MatchJSON(`{"custom_id":"sheet-2","state":"failed","attempts":2,"error":{"code":"unprocessable","message":"no","run":"not_run","retry_after_ms":0}}`))
		failPage = true
		text, err = io.ReadAll(d.send("GET", "/v1/jobs/j/results", "").Body)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(string(text)).To(ContainSubstring(`"code":"no_owner"`))
	})

	// A job is forgotten while its results are read, and another one is sent under its name.
	// The results must not begin with one job's items and go on with the other's.
	It("does not go on with the results of another job of the same name", func() {
		d := start(nil)
		d.results = func(r ledger.ResultsRequest) (ledger.ResultsReply, error) {
			return ledger.ResultsReply{Results: []ledger.ItemResult{{CustomID: "sheet"}}, Next: r.From + 1, Items: 2, AcceptedMs: int64(1 + r.From)}, nil
		}
		text, err := io.ReadAll(d.send("GET", "/v1/jobs/j/results", "").Body)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(string(text)).To(ContainSubstring(`"code":"not_found"`))
	})

	// A page says that items follow, but not from where. Results that ended there would look
	// like all of the job's.
	DescribeTable("does not end results at a page that does not advance",
		func(next []int, check func(*http.Response)) {
			d := start(nil)
			d.results = func(r ledger.ResultsRequest) (ledger.ResultsReply, error) {
				return ledger.ResultsReply{Results: []ledger.ItemResult{{CustomID: "sheet"}}, Next: next[r.From], Items: 3}, nil
			}
			check(d.send("GET", "/v1/jobs/j/results", ""))
		},
		Entry("the first one", []int{0}, func(resp *http.Response) {
			Expect(resp.StatusCode).To(Equal(500))
			Expect(read(resp).Error.Code).To(Equal("internal"))
		}),
		Entry("a later one", []int{1, 1}, func(resp *http.Response) {
			_, err := io.ReadAll(resp.Body)
			Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		}),
	)
})

var _ = Describe("operators", func() {
	It("names the winner of a conflict, and answers 202 until all hosts have applied the change", func() {
		d := start(nil)
		d.publish = func(_ string, base uint64) (api.ConfigInfo, error) {
			if base != 3 {
				return api.ConfigInfo{}, &api.ConfigConflict{Winner: "minh", Version: 9}
			}
			return api.ConfigInfo{Version: 4, Applied: map[string]uint64{"h1": 4, "h2": 3}}, nil
		}
		resp := d.send("PUT", "/admin/config", "x", "Authorization", "Bearer secret", "If-Match", "8")
		Expect(resp.StatusCode).To(Equal(409))
		r := read(resp)
		Expect(r.Error.Code).To(Equal("version_conflict"))
		Expect(r.Error.Winner).To(Equal("minh"))
		Expect(r.Error.Version).To(BeEquivalentTo(9))
		resp = d.send("PUT", "/admin/config", "x", "Authorization", "Bearer secret", "If-Match", `"3"`)
		Expect(resp.StatusCode).To(Equal(202))
		text, _ := io.ReadAll(resp.Body)
		Expect(text).To(MatchJSON(`{"version":4,"applied":{"h1":4,"h2":3}}`))
	})

	It("disables /admin without a token in the settings", func() {
		d := start(func(o *api.Options) { o.AdminToken = "" })
		resp := d.send("GET", "/admin/status", "", "Authorization", "Bearer ")
		Expect(resp.StatusCode).To(Equal(403))
	})
})
