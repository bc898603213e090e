package input

import (
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/test/fleet"
)

const (
	chatPath     = "/v1/chat/completions"
	maxBodyBytes = 4 << 10
	maxLineBytes = 1 << 10
	// limits are small enough for short inputs to exceed them.
	limits   = "body_bytes = 4KiB\njob_bytes = 64KiB\nline_bytes = 1KiB\nitems_per_job = 20\nin_flight_per_caller = 2\n"
	goodLine = `{"custom_id":"a","url":"/v1/chat/completions","body":{"model":"ordering","messages":[{"role":"user","content":"x"}]}}` + "\n"
)

// badRequest is a request that must be refused.
type badRequest struct {
	name, method, path, body string
	headers                  []string
	status                   int
	code                     outcome.Code
}

func badRequests(f *fleet.Fleet) []badRequest {
	online := []string{"Tarragon-Profile", f.Shape.ChatProfile}
	order := []string{"Tarragon-Profile", f.Shape.ActionProfile}
	batch := []string{"Tarragon-Profile", f.Shape.BatchProfile}
	with := func(h []string, more ...string) []string { return append(append([]string{}, h...), more...) }
	chat := func(name, body string, status int, code outcome.Code) badRequest {
		return badRequest{"chat: " + name, "POST", chatPath, body, online, status, code}
	}
	job := func(name, path, body string, status int, code outcome.Code) badRequest {
		return badRequest{"job: " + name, "PUT", "/v1/jobs/" + path, body, batch, status, code}
	}
	const validChat = `{"model":"ordering","messages":[{"role":"user","content":"x"}]}`
	orders := "/v1/services/" + f.Shape.Service + f.Shape.ActionPath
	return []badRequest{
		chat("invalid JSON", `{"model":`, 400, outcome.BadRequest),
		chat("an array", `[]`, 400, outcome.BadRequest),
		chat("null", `null`, 400, outcome.BadRequest),
		chat("an empty body", ``, 400, outcome.BadRequest),
		chat("two values", validChat+validChat, 400, outcome.BadRequest),
		chat("a picture", `{"model":"ordering","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, 400, outcome.BadRequest),
		chat("a huge number", `{"model":"ordering","max_tokens":1e999,"messages":[{"role":"user","content":"x"}]}`, 400, outcome.BadRequest),
		chat("deep nesting", strings.Repeat("[", maxBodyBytes-1), 400, outcome.BadRequest),
		chat("an unknown model", `{"model":"nobody","messages":[{"role":"user","content":"x"}]}`, 404, outcome.UnknownTarget),
		chat("a body too long", strings.Repeat(" ", maxBodyBytes+1), 413, outcome.TooLarge),
		{"no profile", "POST", chatPath, validChat, nil, 400, outcome.BadRequest},
		{"an unknown profile", "POST", chatPath, validChat, []string{"Tarragon-Profile", "room-chat2"}, 400, outcome.UnknownProfile},
		{"a profile with odd characters", "POST", chatPath, validChat, []string{"Tarragon-Profile", "caf\xc3\xa9"}, 400, outcome.BadRequest},
		{"two profiles", "POST", chatPath, validChat, with(online, online...), 400, outcome.BadRequest},
		{"a batch profile", "POST", chatPath, validChat, batch, 400, outcome.BadRequest},
		{"a deadline that is no number", "POST", chatPath, validChat, with(online, "Tarragon-Deadline-Ms", "soon"), 400, outcome.BadRequest},
		{"a deadline of 0", "POST", chatPath, validChat, with(online, "Tarragon-Deadline-Ms", "0"), 400, outcome.BadRequest},
		{"a caller with a slash", "POST", chatPath, validChat, with(online, "Tarragon-Caller", "a/b"), 400, outcome.BadRequest},
		{"a caller too long", "POST", chatPath, validChat, with(online, "Tarragon-Caller", strings.Repeat("c", 129)), 400, outcome.BadRequest},
		{"headers too long", "POST", chatPath, validChat, with(online, "X-Filler", strings.Repeat("h", 40<<10)), 413, outcome.TooLarge},
		{"an order without a key", "POST", orders, `{}`, order, 400, outcome.KeyRequired},
		{"a key too long", "POST", orders, `{}`, with(order, "Idempotency-Key", strings.Repeat("k", 257)), 400, outcome.BadRequest},
		{"a key with a tab", "POST", orders, `{}`, with(order, "Idempotency-Key", "a\tb"), 400, outcome.BadRequest},
		{"an unknown service", "POST", "/v1/services/nobody/x", `{}`, with(order, "Idempotency-Key", "k"), 404, outcome.UnknownTarget},
		{"an unknown path", "GET", "/v3/chat", "", nil, 404, outcome.NotFound},
		{"an unsupported method", "PATCH", chatPath, "", nil, 405, "method_not_allowed"},
		{"an unknown key", "GET", "/v1/requests/never-sent", "", nil, 404, outcome.NotFound},
		job("a space in the name", "a%20b", goodLine, 400, outcome.BadRequest),
		job("a slash in the name", "a%2Fb", goodLine, 400, outcome.BadRequest),
		job("a newline in the name", "a%0Ab", goodLine, 400, outcome.BadRequest),
		job("a name too long", strings.Repeat("j", 129), goodLine, 400, outcome.BadRequest),
		job("non-ASCII letters in the name", "%E1%BA%BFp", goodLine, 400, outcome.BadRequest),
		job("invalid JSON", "j", goodLine+"{\n", 400, outcome.BadRequest),
		job("not UTF-8", "j", goodLine+"\xff\xfe\n", 400, outcome.BadRequest),
		job("an unknown field", "j", goodLine+`{"custom_id":"b","uri":"/"}`+"\n", 400, outcome.BadRequest),
		job("a repeated custom_id", "j", goodLine+goodLine, 400, outcome.BadRequest),
		job("a line too long", "j", goodLine+strings.Repeat("x", maxLineBytes+1)+"\n", 413, outcome.TooLarge),
		job("too many items", "j", jobLines(21, "x"), 413, outcome.TooLarge),
		job("a job too long", "j", goodLine+strings.Repeat("\n", 64<<10), 413, outcome.TooLarge),
		job("no items", "j", "\n \n", 400, outcome.BadRequest),
		{"job: an online profile", "PUT", "/v1/jobs/j", goodLine, online, 400, outcome.BadRequest},
		{"job: no profile", "PUT", "/v1/jobs/j", goodLine, nil, 400, outcome.BadRequest},
	}
}

var _ = Describe("Bad input", func() {
	// Every faulty request must be refused in the error format that callers parse, with
	// the code of its fault, and must not reach a target.
	It("is refused in the API's error format and reaches no target", func() {
		f := fleet.Start(fleet.Options{Daemons: 2, Limits: limits})
		for i, b := range badRequests(f) {
			By(b.name)
			resp, err := send(f.Daemons[i%2], b.method, b.path, strings.NewReader(b.body), b.headers...)
			Expect(err).NotTo(HaveOccurred())
			got := readRefusal(resp)
			Expect(resp.StatusCode).To(Equal(b.status), "%+v", got)
			Expect(got.Code).To(Equal(b.code), "%+v", got)
			Expect(got.Run).To(Equal(outcome.NotRun), "%+v", got)
		}
		for _, d := range f.Daemons {
			resp, err := send(d, "GET", "/v1/jobs/j", nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(readRefusal(resp).Code).To(Equal(outcome.NotFound))
			Expect(f.Chat(d, "", "after "+d.Name)).To(Equal(f.Expected("after " + d.Name)))
		}
		Expect(targetCalls(f)).To(Equal(len(f.Daemons)), "calls at targets: %+v", engineCalls(f))
	})

	// Bodies over the limits sent without a Content-Length, as a proxy may forward them.
	It("is refused in the same way without a Content-Length", func() {
		f := fleet.Start(fleet.Options{Daemons: 1, Limits: limits})
		d := f.Daemons[0]
		long := strings.Repeat("x", 1<<20)
		for _, to := range [][]string{{"POST", chatPath, f.Shape.ChatProfile}, {"PUT", "/v1/jobs/j", f.Shape.BatchProfile}} {
			resp, err := send(d, to[0], to[1], struct{ *strings.Reader }{strings.NewReader(long)}, "Tarragon-Profile", to[2])
			Expect(err).NotTo(HaveOccurred())
			got := readRefusal(resp)
			Expect(resp.StatusCode).To(Equal(http.StatusRequestEntityTooLarge), "%+v", got)
			Expect(got.Run).To(Equal(outcome.NotRun))
		}
		Expect(targetCalls(f)).To(BeZero())
	})

	It("that is not HTTP closes only its own connection", func() {
		f := fleet.Start(fleet.Options{Daemons: 1})
		d := f.Daemons[0]
		for _, text := range []string{
			"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 hello", "GET\r\n\r\n", "\x00\x00\x00\r\n\r\n",
			"POST " + chatPath + " HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n",
			"POST " + chatPath + " HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
			"GET / HTTP/1.1\r\nHost: a\r\nX-Filler: " + strings.Repeat("h", 1<<20),
		} {
			conn, err := net.Dial("tcp", strings.TrimPrefix(d.Client.Base, "http://"))
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.SetDeadline(time.Now().Add(timeout))).To(Succeed())
			_, _ = conn.Write([]byte(text)) // the daemon may close before it has all
			answer := make([]byte, len("HTTP/1.1 4"))
			if n, err := conn.Read(answer); err == nil {
				Expect(string(answer[:n])).To(Equal("HTTP/1.1 4"), "%.40q", text)
			}
			Expect(conn.Close()).To(Succeed())
			Expect(f.Chat(d, "", "still here")).To(Equal(f.Expected("still here")))
		}
	})

	// A caller sends one order after another while the service hangs. Its third order
	// must be refused, and another caller's order must not be.
	It("that is a flood of one caller's orders limits only that caller", func() {
		f := fleet.Start(fleet.Options{Daemons: 1, Limits: limits})
		d := f.Daemons[0]
		f.ControlServices(`{"frozen":true}`)
		order := func(caller, key string) (*http.Response, error) {
			return send(d, "POST", "/v1/services/"+f.Shape.Service+f.Shape.ActionPath, strings.NewReader(`{}`),
				"Tarragon-Profile", f.Shape.ActionProfile, "Tarragon-Caller", caller, "Idempotency-Key", key)
		}
		done := make(chan error, 3)
		run := func(caller, key string) {
			resp, err := order(caller, key)
			if err == nil {
				err = resp.Body.Close()
			}
			done <- err
		}
		go run("loop", "first")
		go run("loop", "second")
		Eventually(f.Held, timeout, pollInterval).Should(Equal(2))
		resp, err := order("loop", "third")
		Expect(err).NotTo(HaveOccurred())
		got := readRefusal(resp)
		Expect(resp.StatusCode).To(Equal(http.StatusTooManyRequests), "%+v", got)
		Expect(got.Run).To(Equal(outcome.NotRun))
		Expect(*got.RetryAfterMs).To(BeNumerically(">", 0))
		go run("other", "theirs")
		Eventually(f.Held, timeout, pollInterval).Should(Equal(3))
		f.ControlServices(`{"frozen":false}`)
		for range 3 {
			Eventually(done, timeout).Should(Receive(BeNil()))
		}
		Expect(f.Executions("third") + f.Executions("loop/third")).To(BeZero())
	})
})
