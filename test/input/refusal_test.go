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
	chatPath  = "/v1/chat/completions"
	smallBody = 4 << 10
	smallLine = 1 << 10
	// limits make the bounds small enough to be met by a short text.
	limits   = "body_bytes = 4KiB\njob_bytes = 64KiB\nline_bytes = 1KiB\nitems_per_job = 20\nin_flight_per_caller = 2\n"
	goodLine = `{"custom_id":"a","url":"/v1/chat/completions","body":{"model":"ordering","messages":[{"role":"user","content":"x"}]}}` + "\n"
)

// bad is a request that must be refused.
type bad struct {
	name, method, path, body string
	headers                  []string
	status                   int
	code                     outcome.Code
}

func badRequests(f *fleet.Fleet) []bad {
	online := []string{"Tarragon-Profile", f.Shape.ChatProfile}
	order := []string{"Tarragon-Profile", f.Shape.ActionProfile}
	batch := []string{"Tarragon-Profile", f.Shape.BatchProfile}
	with := func(h []string, more ...string) []string { return append(append([]string{}, h...), more...) }
	chat := func(name, body string, status int, code outcome.Code) bad {
		return bad{"chat: " + name, "POST", chatPath, body, online, status, code}
	}
	job := func(name, path, body string, status int, code outcome.Code) bad {
		return bad{"job: " + name, "PUT", "/v1/jobs/" + path, body, batch, status, code}
	}
	const whole = `{"model":"ordering","messages":[{"role":"user","content":"x"}]}`
	orders := "/v1/services/" + f.Shape.Service + f.Shape.ActionPath
	return []bad{
		chat("no JSON", `{"model":`, 400, outcome.BadRequest),
		chat("an array", `[]`, 400, outcome.BadRequest),
		chat("null", `null`, 400, outcome.BadRequest),
		chat("nothing", ``, 400, outcome.BadRequest),
		chat("two values", whole+whole, 400, outcome.BadRequest),
		chat("a picture", `{"model":"ordering","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, 400, outcome.BadRequest),
		chat("a huge number", `{"model":"ordering","max_tokens":1e999,"messages":[{"role":"user","content":"x"}]}`, 400, outcome.BadRequest),
		chat("deep nesting", strings.Repeat("[", smallBody-1), 400, outcome.BadRequest),
		chat("no model of ours", `{"model":"nobody","messages":[{"role":"user","content":"x"}]}`, 404, outcome.UnknownTarget),
		chat("a body too long", strings.Repeat(" ", smallBody+1), 413, outcome.TooLarge),
		{"no profile", "POST", chatPath, whole, nil, 400, outcome.BadRequest},
		{"an unknown profile", "POST", chatPath, whole, []string{"Tarragon-Profile", "room-chat2"}, 400, outcome.UnknownProfile},
		{"a profile with odd characters", "POST", chatPath, whole, []string{"Tarragon-Profile", "caf\xc3\xa9"}, 400, outcome.BadRequest},
		{"two profiles", "POST", chatPath, whole, with(online, online...), 400, outcome.BadRequest},
		{"a batch profile", "POST", chatPath, whole, batch, 400, outcome.BadRequest},
		{"a deadline of no number", "POST", chatPath, whole, with(online, "Tarragon-Deadline-Ms", "soon"), 400, outcome.BadRequest},
		{"a deadline of 0", "POST", chatPath, whole, with(online, "Tarragon-Deadline-Ms", "0"), 400, outcome.BadRequest},
		{"a caller with a slash", "POST", chatPath, whole, with(online, "Tarragon-Caller", "a/b"), 400, outcome.BadRequest},
		{"a caller too long", "POST", chatPath, whole, with(online, "Tarragon-Caller", strings.Repeat("c", 129)), 400, outcome.BadRequest},
		{"headers too long", "POST", chatPath, whole, with(online, "X-Filler", strings.Repeat("h", 40<<10)), 413, outcome.TooLarge},
		{"an order without a key", "POST", orders, `{}`, order, 400, outcome.KeyRequired},
		{"a key too long", "POST", orders, `{}`, with(order, "Idempotency-Key", strings.Repeat("k", 257)), 400, outcome.BadRequest},
		{"a key with a tab", "POST", orders, `{}`, with(order, "Idempotency-Key", "a\tb"), 400, outcome.BadRequest},
		{"no service of ours", "POST", "/v1/services/nobody/x", `{}`, with(order, "Idempotency-Key", "k"), 404, outcome.UnknownTarget},
		{"no path of ours", "GET", "/v3/chat", "", nil, 404, outcome.NotFound},
		{"a method of no use", "PATCH", chatPath, "", nil, 405, "method_not_allowed"},
		{"an unknown key", "GET", "/v1/requests/never-sent", "", nil, 404, outcome.NotFound},
		job("a space in the name", "a%20b", goodLine, 400, outcome.BadRequest),
		job("a slash in the name", "a%2Fb", goodLine, 400, outcome.BadRequest),
		job("a line's end in the name", "a%0Ab", goodLine, 400, outcome.BadRequest),
		job("a name too long", strings.Repeat("j", 129), goodLine, 400, outcome.BadRequest),
		job("letters of other scripts", "%E1%BA%BFp", goodLine, 400, outcome.BadRequest),
		job("no JSON", "j", goodLine+"{\n", 400, outcome.BadRequest),
		job("not UTF-8", "j", goodLine+"\xff\xfe\n", 400, outcome.BadRequest),
		job("an unknown field", "j", goodLine+`{"custom_id":"b","uri":"/"}`+"\n", 400, outcome.BadRequest),
		job("a repeated custom_id", "j", goodLine+goodLine, 400, outcome.BadRequest),
		job("a line too long", "j", goodLine+strings.Repeat("x", smallLine+1)+"\n", 413, outcome.TooLarge),
		job("too many items", "j", manyLines(21, "x"), 413, outcome.TooLarge),
		job("a job too long", "j", goodLine+strings.Repeat("\n", 64<<10), 413, outcome.TooLarge),
		job("no items", "j", "\n \n", 400, outcome.BadRequest),
		{"job: an online profile", "PUT", "/v1/jobs/j", goodLine, online, 400, outcome.BadRequest},
		{"job: no profile", "PUT", "/v1/jobs/j", goodLine, nil, 400, outcome.BadRequest},
	}
}

var _ = Describe("Bad input", func() {
	// A caller's script has a fault. It must be told which, in the one shape that
	// it parses, and nothing of its request may have reached a target.
	It("is refused in the contract's shape and reaches no target", func() {
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
		Expect(reached(f)).To(Equal(len(f.Daemons)), "calls at targets: %+v", ended(f))
	})

	// The same faults without a stated length, as a proxy would pass them on.
	It("is refused alike when its length is not stated", func() {
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
		Expect(reached(f)).To(BeZero())
	})

	It("that is no HTTP at all ends its own connection only", func() {
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
			Expect(conn.SetDeadline(time.Now().Add(bound))).To(Succeed())
			_, _ = conn.Write([]byte(text)) // the daemon may close before it has all
			answer := make([]byte, len("HTTP/1.1 4"))
			if n, err := conn.Read(answer); err == nil {
				Expect(string(answer[:n])).To(Equal("HTTP/1.1 4"), "%.40q", text)
			}
			Expect(conn.Close()).To(Succeed())
			Expect(f.Chat(d, "", "still here")).To(Equal(f.Expected("still here")))
		}
	})

	// A caller's loop sends an order after another while the kitchen's tickets
	// hang. Its third is refused; another caller's goes on.
	It("is a caller's flood, which bounds that caller alone", func() {
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
		Eventually(f.Held, bound, poll).Should(Equal(2))
		resp, err := order("loop", "third")
		Expect(err).NotTo(HaveOccurred())
		got := readRefusal(resp)
		Expect(resp.StatusCode).To(Equal(http.StatusTooManyRequests), "%+v", got)
		Expect(got.Run).To(Equal(outcome.NotRun))
		Expect(*got.RetryAfterMs).To(BeNumerically(">", 0))
		go run("other", "theirs")
		Eventually(f.Held, bound, poll).Should(Equal(3))
		f.ControlServices(`{"frozen":false}`)
		for range 3 {
			Eventually(done, bound).Should(Receive(BeNil()))
		}
		Expect(f.Executions("third") + f.Executions("loop/third")).To(BeZero())
	})
})
