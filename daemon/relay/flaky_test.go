package relay_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/daemon/relay"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

const (
	flakyRequests = 600
	flakyCallers  = 24
	flakyTargets  = 16
	// flakyDeadline is how long a request may take; retries wait for their budget.
	flakyDeadline = 900 * time.Millisecond
	// flakyEvents is the number of events of a whole stream.
	flakyEvents = 6
)

// flakyTarget answers in the ways in which targets fail, drawn for each run of a request.
type flakyTarget struct {
	seed uint64
	// crash ends a target in the middle of an answer without framing; nil resets its connection.
	crash func(c net.Conn)

	mu sync.Mutex
	// arrivals and runs count by request.
	arrivals, runs map[string]int
}

// draw returns the generator of an arrival of the request, the same whenever it arrives.
func (f *flakyTarget) draw(id string) *rand.Rand {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals[id]++
	number, _ := strconv.Atoi(strings.TrimPrefix(id, "r"))
	return rand.New(rand.NewPCG(f.seed, uint64(number)<<8|uint64(f.arrivals[id])))
}

func (f *flakyTarget) ran(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

func (f *flakyTarget) answer(_ int, r *rawtarget.Request, c net.Conn) {
	id := r.Header.Get("Id")
	random := f.draw(id)
	next := 0
	if after, err := strconv.Atoi(r.Header.Get("After")); err == nil {
		next = after + 1
	}
	own := "Id: " + id
	kind := random.IntN(20)
	switch kind {
	case 0:
		rawtarget.Write(c, rawtarget.Whole(503, "", own, "Not-Run: 1"))
		return
	case 1:
		rawtarget.Write(c, rawtarget.Whole(421, "", own))
		return
	}
	f.mu.Lock()
	f.runs[id]++
	f.mu.Unlock()
	some := next + random.IntN(flakyEvents-next+1)
	if left, err := strconv.Atoi(r.Header.Get("Left")); err == nil && kind == 18 {
		endAtDeadline(own, span(next, some-1), time.Duration(left)*time.Millisecond, c)
		return
	}
	f.run(kind, own, span(next, some-1), span(some, flakyEvents-1), random, c)
}

// endAtDeadline sends events and ends the answer in the regular way when its time is over.
func endAtDeadline(own string, begin []int, left time.Duration, c net.Conn) {
	over := time.Now().Add(left - clockError)
	rawtarget.Write(c, rawtarget.Head(200, own, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")+chunked(begin...))
	time.Sleep(time.Until(over))
	rawtarget.Write(c, rawtarget.LastChunk)
}

// run answers with the events of begin and rest, or fails after begin.
func (f *flakyTarget) run(kind int, own string, begin, rest []int, random *rand.Rand, c net.Conn) {
	events := "Content-Type: text/event-stream"
	framed := rawtarget.Head(200, own, events, "Transfer-Encoding: chunked")
	unframed := rawtarget.Head(200, own, events)
	whole := append(append([]int{}, begin...), rest...)
	switch kind {
	case 2:
		rawtarget.Write(c, rawtarget.Whole([]int{500, 502, 504, 404, 422}[random.IntN(5)], "failed\n\n", own))
	case 3:
		rawtarget.Write(c, framed+chunked(begin...))
		rawtarget.Reset(c)
	case 4:
		rawtarget.Write(c, framed+chunked(begin...)+"5\r\nid: ")
		_ = c.Close()
	case 5:
		rawtarget.Write(c, framed+chunked(begin...)+rawtarget.Chunk("id: 9"))
		_ = c.Close()
	case 6:
		rawtarget.Write(c, framed+chunked(begin...)+"0\r\n")
		_ = c.Close()
	case 7: // silent for longer than the relay waits
		rawtarget.Write(c, framed+chunked(begin...))
		time.Sleep(400 * time.Millisecond)
		rawtarget.Write(c, chunked(rest...)+rawtarget.LastChunk)
	case 8: // the answer of another request comes first
		rawtarget.Write(c, rawtarget.Whole(200, plain(0, 1, 2), "Id: other", events)+framed+chunked(whole...)+rawtarget.LastChunk)
	case 9: // a second answer follows
		rawtarget.Write(c, framed+chunked(whole...)+rawtarget.LastChunk+rawtarget.Whole(200, "late", own))
	case 10:
		rawtarget.Write(c, unframed+plain(whole...))
		_ = c.Close()
	case 11:
		rawtarget.Write(c, unframed+plain(begin...))
		time.Sleep(20 * time.Millisecond)
		if f.crash != nil {
			f.crash(c)
			return
		}
		rawtarget.Reset(c)
	case 12:
		rawtarget.Write(c, "no answer\r\n\r\n")
	case 13:
		rawtarget.Write(c, rawtarget.Head(200, own, events, "Content-Length: 4000")+plain(begin...))
		_ = c.Close()
	case 14: // starts over
		rawtarget.Write(c, framed+chunked(span(0, flakyEvents-1)...)+rawtarget.LastChunk)
	case 15:
		_ = c.Close()
	case 16: // skips an event; in a first run or at the end that would be the target's own stream
		if len(whole) > 1 && len(whole) < flakyEvents {
			whole = whole[1:]
		}
		rawtarget.Write(c, framed+chunked(whole...)+rawtarget.LastChunk)
	case 17: // an error that names no request follows, also where the next answer is due
		rawtarget.Write(c, framed+chunked(whole...)+rawtarget.LastChunk)
		time.Sleep(time.Duration(random.IntN(8)) * time.Millisecond)
		rawtarget.Write(c, rawtarget.Whole(500, "whose"))
	default:
		rawtarget.Write(c, framed+chunked(whole...)+rawtarget.LastChunk)
	}
}

// flakyCheck counts the answers that callers received and notes those that are wrong.
type flakyCheck struct {
	target     *flakyTarget
	whole, cut atomic.Int64
	mu         sync.Mutex
	wrong      []string
}

func (k *flakyCheck) fail(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.wrong = append(k.wrong, fmt.Sprintf(format, args...))
}

// request sends one request, leaves some of the time, and checks the answer.
func (k *flakyCheck) request(url, id string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if random := k.target.draw(id + "0"); random.IntN(10) == 0 {
		time.AfterFunc(time.Duration(random.IntN(30))*time.Millisecond, cancel)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Id", id)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	k.check(id, response, string(body), err)
}

func (k *flakyCheck) check(id string, response *http.Response, got string, err error) {
	full := plain(span(0, flakyEvents-1)...)
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		if response.Header.Get("Run") == string(outcome.NotRun) && k.target.ran(id) > 0 {
			k.fail("%s was said not to have run", id)
		}
	case response.StatusCode != http.StatusOK:
		if err == nil && got != "failed\n\n" {
			k.fail("%s got %d %q", id, response.StatusCode, got)
		}
	case !strings.HasPrefix(full, got):
		k.fail("%s got %q", id, got)
	case err != nil:
		k.cut.Add(1)
	case got == full:
		k.whole.Add(1)
	default:
		k.fail("%s got a part as complete: %q", id, got)
	}
}

var _ = Describe("The relay of streams of flaky targets", func() {
	// Targets fail in all ways, several at once. A caller whose stream ends as complete has each
	// event once, and a stream that may not be resumed runs once.
	DescribeTable("ends as complete only what its target ended",
		func(resumable, crashes bool, seed uint64) {
			f := newFixture()
			target := &flakyTarget{seed: seed, arrivals: map[string]int{}, runs: map[string]int{}}
			if crashes {
				target.crash = f.crash
			}
			f.startTargets(flakyTargets, target.answer)
			server := serveOnConnections(func(w http.ResponseWriter, r *http.Request) relay.Result {
				request := *f.request
				request.ID = r.Header.Get("Id")
				request.HTTP.URI = "/" + request.ID
				request.Route = &route.Route{Kind: route.Stream, Resumable: resumable, MaxAttempts: 4, Groups: f.request.Route.Groups,
					Timeout: timeout, GapObjective: 100 * time.Millisecond}
				request.Arrived = time.Now()
				request.Deadline = request.Arrived.Add(flakyDeadline)
				return f.relay.Serve(r.Context(), &request, w)
			})
			check := &flakyCheck{target: target}
			var next atomic.Int64
			var group sync.WaitGroup
			for range flakyCallers {
				group.Go(func() {
					defer GinkgoRecover()
					for n := next.Add(1); n <= flakyRequests; n = next.Add(1) {
						check.request(server.URL, fmt.Sprint("r", n))
					}
				})
			}
			group.Wait()
			fmt.Fprintln(GinkgoWriter, "whole", check.whole.Load(), "cut", check.cut.Load())
			Expect(check.wrong).To(BeEmpty())
			Expect(check.whole.Load()).To(BeNumerically(">", flakyRequests/4), "too few streams were completed")
			for id, runs := range target.runs {
				if !resumable {
					Expect(runs).To(BeNumerically("<=", 1), id)
				}
			}
		},
		Entry("resumable", true, false, uint64(1)),
		Entry("resumable, and targets that crash end all their answers", true, true, uint64(2)),
		Entry("not resumable", false, false, uint64(3)),
	)
})
