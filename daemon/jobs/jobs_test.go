package jobs_test

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"tarragonhollow.example/tarragonhollow/core/batch"
	"tarragonhollow.example/tarragonhollow/core/board"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/jobs"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/daemon/relay"
	"tarragonhollow.example/tarragonhollow/daemon/relay/fakewire"
	"tarragonhollow.example/tarragonhollow/daemon/suspects/fakesuspects"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
	"tarragonhollow.example/tarragonhollow/extern/partlog/fakepartlog"
	"tarragonhollow.example/tarragonhollow/target/h1"
	"tarragonhollow.example/tarragonhollow/target/killabletarget"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

func TestJobs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "jobs")
}

// limit bounds the wait for an expected event.
const limit = 15 * time.Second

var topics = jobs.Topics{Jobs: "jobs", Results: "results", Bodies: "bodies", Progress: "progress"}

// batchRoute returns a route for jobs of the host h under /b/.
func batchRoute(tokenCap int64) route.Route {
	return route.Route{Name: "b", Host: "h", Prefix: "/b/", Kind: route.Batch, MaxAttempts: 2, Due: time.Minute,
		KeepFor: time.Hour, TokenCap: tokenCap, Groups: []route.Share{{Group: "g", Weight: 1}}}
}

// submission returns a job of n items of 10 tokens.
func submission(id string, n int) *jobs.Submission {
	s := &jobs.Submission{ID: id, Host: "h", Path: "/b/" + id}
	for i := range n {
		name := fmt.Sprintf("%s-%d", id, i)
		s.Items = append(s.Items, jobs.SubmittedItem{
			Item: batch.Item{ID: name, Path: "/b/" + name, Tokens: 10}, Body: []byte("body of " + name)})
	}
	return s
}

// withoutBodies returns a job without bodies: its acceptance is its only append.
func withoutBodies(id string) *jobs.Submission {
	s := submission(id, 1)
	s.Items[0].Body = nil
	return s
}

// answer streams the events 0 to 4 that follow the one named by the header After.
func answer(r *rawtarget.Request, c net.Conn) {
	id := r.Header.Get("Id")
	first := 0
	if after, err := strconv.Atoi(r.Header.Get("After")); err == nil {
		first = after + 1
	}
	rawtarget.Write(c, head(id))
	for i := first; i < 5; i++ {
		rawtarget.Write(c, rawtarget.Chunk(rawtarget.Event(i, fmt.Sprintf("%s.%d", id, i))))
	}
	rawtarget.Write(c, rawtarget.LastChunk)
}

// events returns the events of the item j-0 from first to last.
func events(first, last int) string {
	var text strings.Builder
	for i := first; i <= last; i++ {
		text.WriteString(rawtarget.Event(i, fmt.Sprintf("j-0.%d", i)))
	}
	return text.String()
}

func head(id string) string {
	return rawtarget.Head(200, "Id: "+id, "Transfer-Encoding: chunked")
}

func output(id string) string {
	return strings.Join([]string{id + ".0", id + ".1", id + ".2", id + ".3", id + ".4"}, "\n")
}

var _ = Describe("Jobs", func() {
	var (
		log *fakepartlog.Log
		// script is what the target of the spec does; a request that reaches it late must not
		// read that of the next spec.
		script *func(r *rawtarget.Request, c net.Conn)
		target *rawtarget.Target
		table  *route.Table
		peers  *fakePeers
		// fleet is the number of daemons that the daemons are configured with.
		fleet int
		// holder is the daemon that holds all partitions of a large zone, "" for a small
		// zone; no other can hold partitions.
		holder string
		// views holds each daemon's view of the targets.
		views map[string]*places.Places
		// reach holds the log as seen by the hosts whose access to it can fail.
		reach map[string]*hostLog
		// logger is the logger of all daemons.
		logger *zap.Logger
		// pacedReturn is the daemons' setting.
		pacedReturn bool
		// crashes is what all daemons know of crashes.
		crashes *fakesuspects.Tracker
	)

	BeforeEach(func() {
		fleet = 2
		holder = ""
		views = map[string]*places.Places{}
		reach = map[string]*hostLog{}
		logger = zap.NewNop()
		pacedReturn = false
		crashes = fakesuspects.New(2)
		log = fakepartlog.New(4)
		peers = &fakePeers{daemons: map[string]peerService{}}
		own := answer
		script = &own
		table = route.NewTable(1, []route.Route{batchRoute(0)}, route.Limits{})
		var err error
		target, err = rawtarget.Start(func(r *rawtarget.Request, c net.Conn) { own(r, c) })
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(target.Close)
	})

	// daemon starts one daemon on the log; groups may assign partitions differently.
	daemon := func(name string, groups partlog.Groups) (*jobs.Jobs, context.CancelFunc) {
		view := places.New(places.Options{Host: name, Zone: "z", Logger: zap.NewNop()})
		views[name] = view
		view.Update(func(now time.Time, r *roster.Roster) {
			r.StoreAnswered(now)
			r.Replace(now, []roster.Target{{ID: "t", Group: "g", Address: target.Address, Zone: "z", Version: "v1", Slots: 8}})
		})
		pool := h1.NewPool(func() {})
		var reached partlog.Log = log
		if own := reach[name]; own != nil {
			reached = own
		}
		var holders jobs.Holders
		if holder != "" {
			holders = fixedHolder{name, holder}
		}
		j := jobs.New(jobs.Options{
			LargeZone: func() bool { return holder != "" }, CanHoldPartitions: func() bool { return name == holder }, Holders: holders,
			Host: name, Zone: "z", Log: reached, Groups: groups, ListPeers: func() []places.Peer { return peers.list(name) }, Peers: peers, Address: peers.address, FleetSize: func() int { return fleet }, Topics: topics, Parts: 4, Routes: func() *route.Table { return table },
			Places: view, Pool: pool, Wire: fakewire.Wire{}, Crashes: relay.NewCrashDetector(crashes, pool), KeepFor: time.Hour, PacedReturn: pacedReturn, Logger: logger, Metrics: metrics.NewSet(),
		})
		Expect(j.Register(peers.registrar(name))).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		group := duty.NewGroup(ctx)
		j.Run(group)
		stop := sync.OnceFunc(func() {
			peers.remove(name)
			cancel()
			group.Wait()
			pool.Close()
		})
		DeferCleanup(stop)
		Eventually(j.Loaded).WithTimeout(limit).Should(BeTrue())
		return j, stop
	}
	alone := func() *jobs.Jobs {
		j, _ := daemon("a", log)
		return j
	}
	ctx := func() context.Context {
		c, cancel := context.WithTimeout(context.Background(), limit)
		DeferCleanup(cancel)
		return c
	}
	submit := func(j *jobs.Jobs, s *jobs.Submission) *outcome.Refusal {
		r := batchRoute(0)
		return j.Submit(ctx(), s, &r)
	}
	// all reads results until every item has one.
	all := func(j *jobs.Jobs, id string) []batch.Result {
		var got []batch.Result
		Eventually(func(g Gomega) {
			v, refusal := j.Read(ctx(), "", id, len(got), 100*time.Millisecond)
			g.Expect(refusal).To(BeNil())
			got = append(got, v.Results...)
			g.Expect(got).To(HaveLen(v.Total))
		}).WithTimeout(limit).WithPolling(time.Millisecond).Should(Succeed())
		return got
	}
	acceptances := func() int {
		page, err := log.Read(ctx(), partlog.Partition{Topic: topics.Jobs}, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		n := 0
		for _, k := range page.Records {
			if strings.HasPrefix(k.Key, "job/") {
				n++
			}
		}
		return n
	}

	// Thousands of hosts that all read the acceptances use up the log's whole rate, and jobs
	// are refused. In a large zone a host without partitions doesn't read the jobs' records
	// and still serves every call about them.
	It("serves jobs at a host of a large zone that does not read their records", func() {
		holder = "a"
		reach["b"] = newHostLog(log)
		reach["b"].setFailure(rejected)
		daemon("a", log)
		b, _ := daemon("b", log)
		Eventually(func() *outcome.Refusal { return submit(b, submission("j", 3)) }).WithTimeout(limit).Should(BeNil())
		Expect(submit(b, submission("j", 3))).To(BeNil(), "the same job is submitted again")
		Expect(acceptances()).To(Equal(1))
		Expect(all(b, "j")).To(HaveLen(3))
		_, refusal := b.Read(ctx(), "", "unknown", 0, 0)
		Expect(refusal.Code).To(Equal(outcome.NotFound))
		Expect(b.End(ctx(), "", "j")).To(BeNil())
		Expect(b.End(ctx(), "", "unknown").Code).To(Equal(outcome.NotFound))
	})

	// Guards against items of an ended job that continue to run on a daemon that has lost
	// their partition, and so no longer reads the ends of jobs.
	It("stops the items that it began when their job ends after its partition was reassigned", func() {
		holder = "a"
		hung := make(chan struct{})
		running := make(chan struct{}, 10)
		*script = func(*rawtarget.Request, net.Conn) {
			running <- struct{}{}
			<-hung
		}
		DeferCleanup(func() { close(hung) })
		core, lines := observer.New(zap.InfoLevel)
		logger = zap.New(core)
		groups := &revocableGroup{allPartitions: allPartitions{log}}
		a, _ := daemon("a", groups)
		Eventually(func() *outcome.Refusal { return submit(a, submission("j", 1)) }).WithTimeout(limit).Should(BeNil())
		Eventually(running).WithTimeout(limit).Should(Receive())
		groups.revoked.Store(true)
		Eventually(func() int { return lines.FilterMessage("partition_given_up").Len() }).WithTimeout(limit).Should(Equal(4))
		_, err := log.Append(ctx(), partlog.Partition{Topic: topics.Jobs}, []partlog.Record{{Key: batch.EndedKey("j"), Value: []byte{1}}}, partlog.AnyOffset)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return lines.FilterMessage("item_run_ended").Len() }).WithTimeout(limit).Should(Equal(1))
		Expect(lines.FilterMessage("item_run_ended").All()[0].ContextMap()).To(HaveKeyWithValue("cause", "the item or its job is over"))
	})

	It("returns the body of a waiting item, and ends a job, through the holder", func() {
		holder = "a"
		hung := make(chan struct{})
		*script = func(*rawtarget.Request, net.Conn) { <-hung }
		DeferCleanup(func() { close(hung) })
		reach["b"] = newHostLog(log)
		reach["b"].setFailure(rejected)
		daemon("a", log)
		b, _ := daemon("b", log)
		Eventually(func() *outcome.Refusal { return submit(b, submission("j", 1)) }).WithTimeout(limit).Should(BeNil())
		Eventually(func() string {
			body, _ := b.Body(ctx(), "", "j", "j-0")
			return string(body)
		}).WithTimeout(limit).Should(Equal("body of j-0"))
		Expect(b.End(ctx(), "", "j")).To(BeNil())
	})

	// The holder has crashed and no other one is known. Calls are refused as log_unavailable:
	// "no such job" could be wrong.
	It("does not answer that a job is unknown while no daemon that follows the jobs is reached", func() {
		holder = "gone"
		reach["b"] = newHostLog(log)
		reach["b"].setFailure(rejected)
		b, _ := daemon("b", log)
		_, refusal := b.Read(ctx(), "", "j", 0, 0)
		Expect(refusal.Code).To(Equal(outcome.LogUnavailable))
		refusal = submit(b, submission("j", 1))
		Expect(refusal.Code).To(Equal(outcome.LogUnavailable))
		Expect(refusal.Run).To(Equal(outcome.NotRun))
	})

	// A target that is cut off by the network crashes with items running and restarts under
	// the same ID. Nothing arrives on the old connections any more; the items must not wait
	// until a timeout shows it.
	It("reruns items at once when their target has restarted", func() {
		var once sync.Once
		hung := make(chan struct{})
		*script = func(r *rawtarget.Request, c net.Conn) {
			hang := false
			once.Do(func() { hang = true })
			if hang {
				close(hung)
				return
			}
			answer(r, c)
		}
		core, lines := observer.New(zap.InfoLevel)
		logger = zap.New(core)
		a := alone()
		Expect(submit(a, submission("j", 1))).To(BeNil())
		Eventually(hung).WithTimeout(limit).Should(BeClosed())
		views["a"].Update(func(now time.Time, r *roster.Roster) {
			r.Set(now, roster.Target{ID: "t", Born: 1, Group: "g", Address: target.Address, Zone: "z", Version: "v1", Slots: 8})
		})
		Expect(all(a, "j")[0].Output).To(Equal(output("j-0")))
		ended := lines.FilterMessage("item_run_ended").All()[0].ContextMap()
		Expect(ended).To(HaveKeyWithValue("cause", "the target has started again"))
		Expect(ended).To(HaveKeyWithValue("answer_end", "cancelled"))
		Expect(ended).To(HaveKeyWithValue("stopping", false))
	})

	// A daemon is stopped at the moment at which a target restarts. With the race detector, this
	// shows whether a run reads the reason of its end while another one is written.
	It("ends its runs for one reason when it stops while their target restarts", func() {
		hung := make(chan struct{})
		*script = func(*rawtarget.Request, net.Conn) { <-hung }
		DeferCleanup(func() { close(hung) })
		a, stop := daemon("a", allPartitions{log})
		Expect(submit(a, submission("j", 8))).To(BeNil())
		Eventually(target.Requests).WithTimeout(limit).Should(HaveLen(8))
		restarted := make(chan struct{})
		go func() {
			defer close(restarted)
			views["a"].Update(func(now time.Time, r *roster.Roster) {
				r.Set(now, roster.Target{ID: "t", Born: 1, Group: "g", Address: target.Address, Zone: "z", Version: "v1", Slots: 8})
			})
		}()
		stop()
		Eventually(restarted).WithTimeout(limit).Should(BeClosed())
	})

	// A host loses power with an item half done. Started over on another host, the item
	// would end late; the text received before must be neither lost nor duplicated.
	It("goes on with an item from what its lost holder had of it", func() {
		const before, total = 20, 24
		afterHeaders := make(chan string, 10)
		*script = func(r *rawtarget.Request, c net.Conn) {
			afterHeaders <- r.Header.Get("After")
			id := r.Header.Get("Id")
			first, most := 0, before
			if after, err := strconv.Atoi(r.Header.Get("After")); err == nil {
				first, most = after+1, total
			}
			rawtarget.Write(c, head(id))
			for i := first; i < most; i++ {
				rawtarget.Write(c, rawtarget.Chunk(rawtarget.Event(i, fmt.Sprintf("%s.%d", id, i))))
			}
			if most == total {
				rawtarget.Write(c, rawtarget.LastChunk)
			}
		}
		a, stop := daemon("a", allPartitions{log})
		Expect(submit(a, submission("j", 1))).To(BeNil())
		savedRecords := func() int {
			page, err := log.Newest(ctx(), partlog.Partition{Topic: topics.Progress, Part: jobs.Part("j", 4)}, "")
			Expect(err).NotTo(HaveOccurred())
			return len(page.Records)
		}
		Eventually(savedRecords).WithTimeout(limit).Should(Equal(1))
		stop()
		b, _ := daemon("b", allPartitions{log})
		result := all(b, "j")[0]
		Expect(result.State).To(Equal(batch.Succeeded))
		var events []string
		for i := range total {
			events = append(events, fmt.Sprintf("j-0.%d", i))
		}
		Expect(result.Output).To(Equal(strings.Join(events, "\n")))
		Expect(afterHeaders).To(Receive(BeEmpty()))
		Expect(afterHeaders).To(Receive(Equal(strconv.Itoa(before - 1))))
		Eventually(savedRecords).WithTimeout(limit).Should(BeZero())
	})

	// The item list of a long job is stored apart from its acceptance and is read only by
	// the daemon that runs it. The others must still serve calls about the job.
	It("runs a long job and returns its results and bodies at daemons that never read its list", func() {
		fleet = 60
		hold := make(chan struct{})
		*script = func(r *rawtarget.Request, c net.Conn) {
			<-hold
			answer(r, c)
		}
		a, _ := daemon("a", allPartitions{log})
		b, _ := daemon("b", noPartitions{log})
		const many = 20
		Expect(submit(b, submission("j", many))).To(BeNil())
		page, err := log.Newest(ctx(), partlog.Partition{Topic: topics.Jobs}, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(len(page.Records[0].Value)).To(BeNumerically("<", 200))
		for _, j := range []*jobs.Jobs{a, b} {
			body, refusal := j.Body(ctx(), "", "j", "j-7")
			Expect(refusal).To(BeNil())
			Expect(string(body)).To(Equal("body of j-7"))
			_, refusal = j.Body(ctx(), "", "j", "other")
			Expect(refusal.Code).To(Equal(outcome.NotFound))
		}
		// The holder is unreachable: the list and the body are read from the log.
		peers.setCut(true)
		body, refusal := b.Body(ctx(), "", "j", "j-8")
		Expect(refusal).To(BeNil())
		Expect(string(body)).To(Equal("body of j-8"))
		peers.setCut(false)
		close(hold)
		Expect(all(b, "j")).To(HaveLen(many))
		Expect(all(a, "j")).To(Equal(all(b, "j")))
	})

	// All hosts lose power. Callers request results from every daemon before the holders are
	// known again. If each daemon loaded whole partitions for them, the log's rate would be
	// used up, and no daemon would learn the routes.
	It("loads few partitions for callers in a large fleet while holders can't be reached", func() {
		fleet = 60
		daemon("a", allPartitions{log})
		b, _ := daemon("b", noPartitions{log})
		for _, id := range []string{"j1", "j2", "j3", "j4", "j5", "j6"} {
			Expect(submit(b, submission(id, 1))).To(BeNil())
		}
		peers.setCut(true)
		loaded, refused := map[int]bool{}, 0
		for _, id := range []string{"j1", "j2", "j3", "j4", "j5", "j6"} {
			_, refusal := b.Read(ctx(), "", id, 0, 0)
			if refusal == nil {
				loaded[jobs.Part(id, 4)] = true
				continue
			}
			Expect(refusal.Code).To(Equal(outcome.LogUnavailable))
			refused++
		}
		Expect(loaded).To(HaveLen(1))
		Expect(refused).To(BeNumerically(">", 0))
		peers.setCut(false)
		Expect(all(b, "j6")).To(HaveLen(1))
	})

	It("requests results from a partition's holder in a large fleet", func() {
		fleet = 100
		a := alone()
		b, _ := daemon("b", noPartitions{log})
		Expect(submit(a, submission("j", 5))).To(BeNil())
		Expect(all(b, "j")).To(Equal(all(a, "j")))
		Expect(peers.called()).To(BeNumerically(">", 0))
	})

	It("runs a job and returns the same results at every daemon", func() {
		a, b := alone(), func() *jobs.Jobs { j, _ := daemon("b", log); return j }()
		Expect(submit(a, submission("j", 6))).To(BeNil())
		at, other := all(a, "j"), all(b, "j")
		Expect(other).To(Equal(at))
		for _, r := range at {
			Expect(r.State).To(Equal(batch.Succeeded))
			Expect(r.Output).To(Equal(output(r.ID)))
		}
		body, refusal := b.Body(ctx(), "", "j", "j-3")
		Expect(refusal).To(BeNil())
		Expect(string(body)).To(Equal("body of j-3"))
	})

	// A client that got no answer sends its job again to other daemons, at the same time.
	// If the job were accepted twice, each item would have two results.
	It("accepts a job once, however often and to whichever daemon it is sent", func() {
		var daemons []*jobs.Jobs
		for _, name := range []string{"a", "b", "c"} {
			j, _ := daemon(name, log)
			daemons = append(daemons, j)
		}
		var wg sync.WaitGroup
		for i := range 9 {
			wg.Add(1)
			go func() {
				defer GinkgoRecover()
				defer wg.Done()
				Expect(submit(daemons[i%3], submission("j", 2))).To(BeNil())
			}()
		}
		wg.Wait()
		Expect(acceptances()).To(Equal(1))
	})

	// Several daemons accept jobs concurrently, each below the cap by its local count.
	It("enforces the quota across daemons that accept jobs concurrently", func() {
		*script = func(*rawtarget.Request, net.Conn) {} // no item ends
		var daemons []*jobs.Jobs
		for _, name := range []string{"a", "b", "c"} {
			j, _ := daemon(name, log)
			daemons = append(daemons, j)
		}
		limited := batchRoute(100)
		codes := make(chan outcome.Code, 12)
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				refusal := daemons[i%3].Submit(ctx(), submission(fmt.Sprint("j", i), 3), &limited)
				if refusal == nil {
					codes <- ""
					return
				}
				codes <- refusal.Code
			}()
		}
		wg.Wait()
		close(codes)
		count := map[outcome.Code]int{}
		for code := range codes {
			count[code]++
		}
		Expect(count).To(Equal(map[outcome.Code]int{"": 3, outcome.CallerLimit: 9}))
	})

	// The log rejects one host and serves the others. A job that arrives at that host must
	// be neither late nor refused because of it.
	It("submits a job through another daemon when the log rejects the local host", func() {
		reach["a"] = newHostLog(log)
		a, _ := daemon("a", noPartitions{log})
		b, _ := daemon("b", log)
		reach["a"].setFailure(rejected)
		Expect(submit(a, submission("j", 3))).To(BeNil())
		Expect(acceptances()).To(Equal(1))
		Expect(all(b, "j")).To(HaveLen(3))
	})

	// A host is cut off from the log and has not detected it yet: its calls get no answer.
	// The job must not wait for them to time out.
	It("hands a job in through another daemon when its own call gets no answer", func() {
		reach["a"] = newHostLog(log)
		a, _ := daemon("a", noPartitions{log})
		daemon("b", log)
		reach["a"].setFailure(unanswered)
		r := batchRoute(0)
		// Only the fallback through the other daemon ends this call.
		Expect(a.Submit(context.Background(), submission("j", 1), &r)).To(BeNil())
		Expect(acceptances()).To(Equal(1))
	})

	// The log is unavailable to all hosts. A job that is known not to be stored is refused at
	// once, and correctly as not run: no attempt to submit it took effect.
	It("refuses a job at once and truly when no daemon reaches the log", func() {
		a := alone()
		daemon("b", noPartitions{log})
		log.SetDown(true)
		r := batchRoute(0)
		refusal := a.Submit(context.Background(), submission("j", 1), &r)
		Expect(refusal.Code).To(Equal(outcome.LogUnavailable))
		Expect(refusal.Run).To(Equal(outcome.NotRun))
		log.SetDown(false)
		Expect(acceptances()).To(BeZero())
	})

	// Callers that get the same short Retry-After throughout a long outage submit a job again
	// and again.
	It("tells callers to return later the longer the log is out, and soon again after it", func() {
		pacedReturn = true
		a := alone()
		daemon("b", noPartitions{log})
		retryAfter := func(timeLeft time.Duration) int64 {
			GinkgoHelper()
			limited, cancel := context.WithTimeout(context.Background(), timeLeft)
			defer cancel()
			r := batchRoute(0)
			refusal := a.Submit(limited, withoutBodies("j"), &r)
			Expect(refusal.Code).To(Equal(outcome.LogUnavailable))
			Expect(refusal.Run).To(Equal(outcome.NotRun))
			return refusal.RetryAfterMs
		}
		log.SetDown(true)
		Eventually(func() int64 { return retryAfter(time.Minute) }).WithTimeout(limit).WithPolling(50*time.Millisecond).
			Should(BeNumerically(">=", 1500), "the least value of an outage of 2 s and more")
		Consistently(func() int64 { return retryAfter(time.Minute) }).WithTimeout(200 * time.Millisecond).Should(BeNumerically("<=", 2500))
		Expect(retryAfter(3*time.Second)).To(BeNumerically("<=", 1000), "more than a third of the time left")
		log.SetDown(false)
		Eventually(func() *outcome.Refusal { return submit(a, withoutBodies("j")) }).WithTimeout(limit).Should(BeNil())
		log.SetDown(true)
		r := batchRoute(0)
		refusal := a.Submit(ctx(), withoutBodies("k"), &r)
		Expect(refusal.RetryAfterMs).To(BeNumerically("<", 1500), "the age of the earlier outage")
	})

	// The pace of the return must not change what a refusal says about the job.
	It("paces the return of a caller whose job may have been accepted, and still says so", func() {
		pacedReturn = true
		a := alone()
		log.LoseAnswers(1)
		log.SetReadsDown(true)
		refusal := submit(a, withoutBodies("j"))
		Expect(refusal.Run).To(Equal(outcome.MayHaveRun))
		Expect(refusal.RetryAfterMs).To(BeNumerically(">=", 375))
	})

	// The other daemon that was called may have submitted the job, but its reply was lost.
	It("does not say that a job was not accepted when another daemon may have submitted it", func() {
		reach["a"] = newHostLog(log)
		a, _ := daemon("a", noPartitions{log})
		daemon("b", log)
		reach["a"].setFailure(rejected)
		peers.setDropReplies(true)
		refusal := submit(a, withoutBodies("j"))
		Expect(refusal.Run).To(Equal(outcome.MayHaveRun))
		Expect(acceptances()).To(Equal(1))
	})

	// The log rejects a host while an item ends there. Its result must be returned to callers
	// in time, and must not be lost with the host.
	It("has results written by another daemon when the log rejects the local host", func() {
		reach["a"] = newHostLog(log)
		a, stop := daemon("a", allPartitions{log})
		b, _ := daemon("b", noPartitions{log})
		*script = func(r *rawtarget.Request, c net.Conn) {
			reach["a"].setFailure(rejected)
			answer(r, c)
		}
		Expect(submit(a, submission("j", 1))).To(BeNil())
		Expect(all(b, "j")[0].Output).To(Equal(output("j-0")))
		stop()
		Expect(target.Requests()).To(HaveLen(1))
	})

	// The log rejects a host for longer than its membership lasts, and its partitions are
	// assigned to another one. Both would run the items that have not started yet.
	It("starts no items of partitions that were reassigned to another daemon", func() {
		groups := &losableGroup{allPartitions: allPartitions{log}}
		a, _ := daemon("a", groups)
		b, _ := daemon("b", noPartitions{log})
		Expect(submit(a, submission("before", 1))).To(BeNil())
		all(a, "before")
		groups.unreachable.Store(true)
		var receiver reportReceiver
		Expect(views["a"].Register(reportRegistrar{&receiver})).To(Succeed())
		number := uint64(0)
		reportParts := func() {
			number++
			Expect(receiver.Hear(board.LoadReport{From: "b", Number: number, Zone: "z", Held: []uint64{1}, Parts: []int{0, 1, 2, 3}}, nil)).To(Succeed())
		}
		round := 0
		// A membership that was just renewed takes precedence over another daemon's report.
		Eventually(func() bool {
			reportParts()
			round++
			id := fmt.Sprint("j", round)
			Expect(submit(b, withoutBodies(id))).To(BeNil())
			time.Sleep(700 * time.Millisecond)
			view, refusal := b.Read(ctx(), "", id, 0, 0)
			Expect(refusal).To(BeNil())
			return len(view.Results) == 0
		}).WithTimeout(limit).Should(BeTrue())
		before := len(target.Requests())
		Consistently(func() int {
			reportParts()
			return len(target.Requests())
		}, "1s").Should(Equal(before))
	})

	// A daemon calls another one to write a result, gets no reply in time and calls again.
	// The result must not be written twice: hosts that restart read only the newest record
	// of each key, and would return it at another position than before.
	It("writes a result once however often it is handed over", func() {
		*script = func(*rawtarget.Request, net.Conn) {} // no item ends on its own
		a := alone()
		Expect(submit(a, submission("j", 3))).To(BeNil())
		log.SetDown(true)
		writeArgs := func(item int) jobs.WriteArgs {
			result := batch.Result{Item: item, ID: fmt.Sprint("j-", item), State: batch.Succeeded, Output: "x"}
			return jobs.WriteArgs{Part: jobs.Part("j", 4), Results: []jobs.KeptResult{{Job: "j", Result: result}}}
		}
		service := peers.daemon("a")
		var wg sync.WaitGroup
		for _, item := range []int{0, 0, 1, 0} {
			wg.Add(1)
			go func() {
				defer GinkgoRecover()
				defer wg.Done()
				var reply jobs.WriteReply
				Expect(service.Write(writeArgs(item), &reply)).To(Succeed())
			}()
		}
		wg.Wait()
		log.SetDown(false)
		var reply jobs.WriteReply
		Eventually(func() bool {
			Expect(service.Write(writeArgs(2), &reply)).To(Succeed())
			return reply.Written
		}).WithTimeout(limit).Should(BeTrue())
		page, err := log.Read(ctx(), partlog.Partition{Topic: topics.Results, Part: jobs.Part("j", 4)}, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		seen := map[string]int{}
		for _, k := range page.Records {
			seen[k.Key]++
		}
		for key, n := range seen {
			Expect(n).To(Equal(1), key)
		}
	})

	// Records under a key that is too long for the log are lost. A job whose ID makes them so
	// must not be accepted, nor be refused as if it could be accepted later.
	It("refuses a job whose ID is too long for the keys of its records", func() {
		a := alone()
		Expect(submit(a, submission(strings.Repeat("j", 245), 1))).To(BeNil())
		refusal := submit(a, submission(strings.Repeat("j", 246), 1))
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Code).To(Equal(outcome.BadRequest))
		Expect(acceptances()).To(Equal(1))
	})

	// A daemon that has not read yet that a job was accepted writes the bodies of another job with
	// the same ID before it refuses that one.
	It("keeps the bodies of an accepted job when another account submits one with its ID", func() {
		log.SetNotificationsLost(true)
		*script = func(*rawtarget.Request, net.Conn) {} // no item ends
		a := alone()
		b, _ := daemon("b", noPartitions{log})
		accepted, other := submission("j", 1), submission("j", 1)
		accepted.Account, other.Account = "one", "two"
		other.Items[0].Body = []byte("BODY of j-0")
		Expect(submit(a, accepted)).To(BeNil())
		Expect(submit(b, other).Code).To(Equal(outcome.Conflict))
		body, refusal := b.Body(ctx(), "one", "j", "j-0")
		Expect(refusal).To(BeNil())
		Expect(string(body)).To(Equal("body of j-0"))
	})

	It("resolves an acceptance whose answer was lost", func() {
		a := alone()
		log.LoseAnswers(1)
		Expect(submit(a, withoutBodies("j"))).To(BeNil())
		Expect(acceptances()).To(Equal(1))
	})

	// The append gets no answer and takes effect seconds later, after the same job was
	// accepted by another append. It must not be accepted twice.
	It("ignores an acceptance that takes effect late", func() {
		a := alone()
		log.DelayAppends(1)
		Expect(submit(a, withoutBodies("j"))).To(BeNil())
		log.RunDelayed()
		Expect(acceptances()).To(Equal(1))
	})

	// No answer arrives before the caller's deadline. "Not run" would be wrong: the job may
	// be accepted any moment.
	It("does not say that a job was not accepted while it may still be accepted", func() {
		a := alone()
		log.DelayAppends(1000)
		r := batchRoute(0)
		short, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		refusal := a.Submit(short, withoutBodies("j"), &r)
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Run).To(Equal(outcome.MayHaveRun))
		log.DelayAppends(0)
		log.RunDelayed()
		Expect(submit(a, withoutBodies("j"))).To(BeNil())
		Expect(acceptances()).To(Equal(1))
	})

	// The append took effect and its answer was lost; sent again it conflicts with itself,
	// and the read that would show it fails. The job is accepted: "not run" would make the
	// client give it up while its items run.
	It("does not say that a job was not accepted when it can't read the effect of its own append", func() {
		a := alone()
		log.LoseAnswers(1)
		log.SetReadsDown(true)
		refusal := submit(a, withoutBodies("j"))
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Run).To(Equal(outcome.MayHaveRun))
		log.SetReadsDown(false)
		Expect(submit(a, withoutBodies("j"))).To(BeNil())
		Expect(acceptances()).To(Equal(1))
	})

	It("refuses at once and truly while the log is out, and says of no job that it does not exist", func() {
		a := alone()
		log.SetDown(true)
		refusal := submit(a, submission("j", 1))
		Expect(refusal.Code).To(Equal(outcome.LogUnavailable))
		Expect(refusal.Run).To(Equal(outcome.NotRun))
		_, refusal = a.Read(ctx(), "", "j", 0, 0)
		Expect(refusal.Code).To(Equal(outcome.LogUnavailable))
		log.SetDown(false)
		_, refusal = a.Read(ctx(), "", "j", 0, 0)
		Expect(refusal.Code).To(Equal(outcome.NotFound))
	})

	// A result was written by one daemon and returned to a client. Another daemon's waiting
	// read of the log did not return it, and so that daemon told the client that the same
	// position was empty.
	It("does not say that a position is empty whose result another daemon has returned", func() {
		log.SetNotificationsLost(true)
		a := alone()
		b, _ := daemon("b", noPartitions{log})
		Expect(submit(a, submission("j", 1))).To(BeNil())
		returned := all(a, "j")
		v, refusal := b.Read(ctx(), "", "j", 0, 10*time.Millisecond)
		Expect(refusal).To(BeNil())
		Expect(v.Results).To(Equal(returned))
	})

	// A daemon that held the job's partition has not heard that another one does now, and that
	// one has written and returned a result.
	It("does not say that a position is empty at a daemon that lost its partition", func() {
		log.SetNotificationsLost(true)
		a, _ := daemon("a", allPartitions{log})
		views["a"].Update(func(now time.Time, r *roster.Roster) { r.Replace(now, nil) }) // it runs no items
		Expect(submit(a, submission("j", 1))).To(BeNil())
		b, _ := daemon("b", allPartitions{log})
		returned := all(b, "j")
		time.Sleep(300 * time.Millisecond) // for which a daemon may answer from its last read
		v, refusal := a.Read(ctx(), "", "j", 0, 10*time.Millisecond)
		Expect(refusal).To(BeNil())
		Expect(v.Results).To(Equal(returned))
	})

	// The daemon that holds a job's partition is cut off from the others, or has crashed.
	// Its results must still be readable, at the same positions.
	It("reads results from the log when their holder can't be reached", func() {
		fleet = 100
		a := alone()
		b, _ := daemon("b", noPartitions{log})
		Expect(submit(a, submission("j", 5))).To(BeNil())
		returned := all(a, "j")
		peers.setCut(true)
		Expect(all(b, "j")).To(Equal(returned))
	})

	It("reads the results of finished items from the log before it refuses a job for the quota", func() {
		a := alone()
		b, _ := daemon("b", noPartitions{log})
		limited := batchRoute(50)
		Expect(a.Submit(ctx(), submission("j", 5), &limited)).To(BeNil())
		all(a, "j")
		Expect(b.Submit(ctx(), submission("k", 5), &limited)).To(BeNil())
	})

	// A caller that lost the answer of one daemon sends its job to another one, which has not
	// read yet that an earlier job was ended and this one accepted. Its refusal would say that
	// no item of the job runs.
	It("does not refuse a job for the quota that another daemon has accepted", func() {
		log.SetNotificationsLost(true)
		*script = func(*rawtarget.Request, net.Conn) {} // no item ends
		a := alone()
		b, _ := daemon("b", noPartitions{log})
		limited := batchRoute(50)
		Expect(a.Submit(ctx(), submission("k", 5), &limited)).To(BeNil())
		Expect(b.Submit(ctx(), submission("k", 5), &limited)).To(BeNil())
		Expect(a.End(ctx(), "", "k")).To(BeNil())
		Expect(a.Submit(ctx(), submission("j", 5), &limited)).To(BeNil())
		Expect(b.Submit(ctx(), submission("j", 5), &limited)).To(BeNil())
		Expect(acceptances()).To(Equal(2))
	})

	It("gives an item one result when two daemons both run it", func() {
		a, _ := daemon("a", allPartitions{log})
		b, _ := daemon("b", allPartitions{log})
		Expect(submit(a, submission("j", 8))).To(BeNil())
		got := all(a, "j")
		Expect(all(b, "j")).To(Equal(got))
		seen := map[string]bool{}
		for _, r := range got {
			Expect(seen[r.ID]).To(BeFalse())
			seen[r.ID] = true
		}
	})

	It("returns the same results after every daemon restarted and the log expired old records", func() {
		a, stop := daemon("a", log)
		Expect(submit(a, submission("j", 7))).To(BeNil())
		got := all(a, "j")
		stop()
		for part := range 4 {
			log.Expire(partlog.Partition{Topic: topics.Results, Part: part})
			log.Expire(partlog.Partition{Topic: topics.Bodies, Part: part})
		}
		log.Expire(partlog.Partition{Topic: topics.Jobs})
		b, _ := daemon("b", log)
		Expect(all(b, "j")).To(Equal(got))
		body, refusal := b.Body(ctx(), "", "j", "j-6")
		Expect(refusal).To(BeNil())
		Expect(string(body)).To(Equal("body of j-6"))
	})

	It("resumes an item after its last event when its run breaks", func() {
		var mu sync.Mutex
		attempts := map[string]int{}
		*script = func(r *rawtarget.Request, c net.Conn) {
			id := r.Header.Get("Id")
			mu.Lock()
			attempts[id]++
			attempt := attempts[id]
			mu.Unlock()
			if attempt > 1 {
				answer(r, c)
				return
			}
			rawtarget.Write(c, head(id)+rawtarget.Chunk(rawtarget.Event(0, id+".0"))+
				rawtarget.Chunk(rawtarget.Event(1, id+".1"))+rawtarget.Chunk("id: 2\ndata: "))
			rawtarget.Reset(c)
		}
		a := alone()
		Expect(submit(a, submission("j", 2))).To(BeNil())
		for _, r := range all(a, "j") {
			Expect(r.Output).To(Equal(output(r.ID)))
		}
		for _, r := range target.Requests() {
			Expect(r.Header.Get("After")).To(Or(BeEmpty(), Equal("1")))
		}
	})

	It("does not append a run that leaves out events", func() {
		var once sync.Once
		*script = func(r *rawtarget.Request, c net.Conn) {
			gap := false
			once.Do(func() { gap = true })
			if !gap {
				answer(r, c)
				return
			}
			id := r.Header.Get("Id")
			rawtarget.Write(c, head(id)+rawtarget.Chunk(rawtarget.Event(0, id+".0"))+
				rawtarget.Chunk(rawtarget.Event(2, id+".2"))+rawtarget.LastChunk)
		}
		a := alone()
		Expect(submit(a, submission("j", 1))).To(BeNil())
		Expect(all(a, "j")[0].Output).To(Equal(output("j-0")))
	})

	// A target that crashes closes the connection of an answer without framing just as one that
	// has ended it. The text would be stored as complete although it is cut.
	DescribeTable("does not take the end of a connection for that of an item",
		func(afters []string, runs ...string) {
			var mu sync.Mutex
			*script = func(r *rawtarget.Request, c net.Conn) {
				mu.Lock()
				defer mu.Unlock()
				if len(runs) == 0 {
					answer(r, c)
					return
				}
				rawtarget.Write(c, rawtarget.Head(200, "Id: "+r.Header.Get("Id"))+runs[0])
				runs = runs[1:]
				_ = c.Close()
			}
			a := alone()
			Expect(submit(a, submission("j", 1))).To(BeNil())
			result := all(a, "j")[0]
			Expect(result.State).To(Equal(batch.Succeeded))
			Expect(result.Output).To(Equal(output("j-0")))
			var asked []string
			for _, r := range target.Requests() {
				asked = append(asked, r.Header.Get("After"))
			}
			Expect(asked).To(Equal(afters))
		},
		Entry("which another run continues", []string{"", "1"}, events(0, 1)),
		Entry("at which another run ends, framed and without an event", []string{"", "4"}, events(0, 4)),
		Entry("at which another run ends in the same way", []string{"", "4"}, events(0, 4), ""),
		Entry("again after more events", []string{"", "1", "2", "4"}, events(0, 1), events(2, 2), events(3, 4), ""),
	)

	// Each of these runs has a correct end, and its text would have a hole.
	DescribeTable("runs an item again whose run has an event that can't be placed",
		func(events string) {
			var once sync.Once
			*script = func(r *rawtarget.Request, c net.Conn) {
				first := false
				once.Do(func() { first = true })
				if !first {
					answer(r, c)
					return
				}
				rawtarget.Write(c, head(r.Header.Get("Id"))+rawtarget.Chunk(events)+rawtarget.LastChunk)
			}
			a := alone()
			Expect(submit(a, submission("j", 1))).To(BeNil())
			Expect(all(a, "j")[0].Output).To(Equal(output("j-0")))
		},
		Entry("without an ID, between two others", rawtarget.Event(0, "j-0.0")+"data: j-0.1\n\n"+rawtarget.Event(1, "j-0.2")),
		Entry("without an ID, at the end", rawtarget.Event(0, "j-0.0")+"data: j-0.1\n\n"),
		Entry("without those before it", rawtarget.Event(3, "j-0.3")+rawtarget.Event(4, "j-0.4")),
		Entry("without the two before it", rawtarget.Event(2, "j-0.2")+rawtarget.Event(3, "j-0.3")+rawtarget.Event(4, "j-0.4")),
		Entry("with an ID that is no number", rawtarget.Event(0, "j-0.0")+"id: x\ndata: j-0.1\n\n"),
	)

	// A target answers a run with 500, and once more while the next run of the item waits on the
	// same connection. The ID of both is the item's.
	It("does not take a late answer to an item's last run for that of the next", func() {
		var mu sync.Mutex
		var failed net.Conn
		*script = func(r *rawtarget.Request, c net.Conn) {
			mu.Lock()
			defer mu.Unlock()
			failure := rawtarget.Whole(500, "failed", "Id: "+r.Header.Get("Id"))
			switch failed {
			case nil:
				failed = c
				rawtarget.Write(c, failure)
			case c:
				rawtarget.Write(c, failure)
				answer(r, c)
			default:
				answer(r, c)
			}
		}
		a := alone()
		Expect(submit(a, submission("j", 1))).To(BeNil())
		result := all(a, "j")[0]
		Expect(result.State).To(Equal(batch.Succeeded))
		Expect(result.Output).To(Equal(output("j-0")))
	})

	// An error without an ID arrives on a connection that an earlier item used. It may be about
	// that one, and must not count as this item's failure or end it as errored.
	DescribeTable("does not take another item's error on a kept connection for an item's own",
		func(status int) {
			table = route.NewTable(1, []route.Route{func() route.Route { r := batchRoute(0); r.MaxAttempts = 1; return r }()}, route.Limits{})
			*script = func(r *rawtarget.Request, c net.Conn) {
				if r.Index == 1 {
					rawtarget.Write(c, rawtarget.Whole(status, "whose"))
					return
				}
				answer(r, c)
			}
			core, lines := observer.New(zap.InfoLevel)
			logger = zap.New(core)
			a := alone()
			for _, id := range []string{"i", "j"} {
				Expect(submit(a, submission(id, 1))).To(BeNil())
				result := all(a, id)[0]
				Expect(result.State).To(Equal(batch.Succeeded))
				Expect(result.Output).To(Equal(output(id + "-0")))
			}
			Expect(target.Requests()).To(HaveLen(3))
			Expect(lines.FilterMessage("item_run_ended").Len()).To(Equal(2))
		},
		Entry("500", 500),
		Entry("422", 422),
		Entry("504", 504),
	)

	// An item's run breaks off, and what the next one answers says nothing of what follows its last
	// event. A part of the text must not be stored as the whole.
	DescribeTable("does not complete an item at the end of an answer that does not go on with it",
		func(other string) {
			var turns atomic.Int64
			*script = func(r *rawtarget.Request, c net.Conn) {
				switch turns.Add(1) {
				case 1:
					rawtarget.Write(c, head("j-0")+rawtarget.Chunk(events(0, 2)))
					rawtarget.Reset(c)
				case 2:
					rawtarget.Write(c, other)
				default:
					answer(r, c)
				}
			}
			a := alone()
			Expect(submit(a, submission("j", 1))).To(BeNil())
			result := all(a, "j")[0]
			Expect(result.State).To(Equal(batch.Succeeded))
			Expect(result.Output).To(Equal(output("j-0")))
		},
		Entry("it starts over and ends earlier", head("j-0")+rawtarget.Chunk(events(0, 1))+rawtarget.LastChunk),
		Entry("an error page", rawtarget.Whole(200, "{\"error\":\"failed\"}\n\n", "Id: j-0", "Content-Type: application/json")),
		Entry("no body, not a stream", rawtarget.Whole(200, "", "Id: j-0", "Content-Type: application/json")),
		Entry("no body, with an encoding", rawtarget.Whole(200, "", "Id: j-0", "Content-Type: text/event-stream", "Content-Encoding: gzip")),
	)

	// A target without framing ends its answer after the last event, and is then asked for what
	// follows. Whatever it answers, the text is whole.
	DescribeTable("completes an item whose text is whole, once",
		func(after func(r *rawtarget.Request, c net.Conn)) {
			var mu sync.Mutex
			first := true
			*script = func(r *rawtarget.Request, c net.Conn) {
				mu.Lock()
				defer mu.Unlock()
				if first {
					first = false
					rawtarget.Write(c, rawtarget.Head(200, "Id: "+r.Header.Get("Id"))+events(0, 4))
					_ = c.Close()
					return
				}
				after(r, c)
			}
			a := alone()
			Expect(submit(a, submission("j", 1))).To(BeNil())
			result := all(a, "j")[0]
			Expect(result.State).To(Equal(batch.Succeeded))
			Expect(result.Output).To(Equal(output("j-0")))
		},
		Entry("asked for what follows, the target answers 422", func(r *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, rawtarget.Whole(422, "no", "Id: "+r.Header.Get("Id")))
		}),
		Entry("asked for what follows, the target answers 500", func(r *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, rawtarget.Whole(500, "no", "Id: "+r.Header.Get("Id")))
		}),
		Entry("asked for what follows, the target repeats the last event", func(r *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, rawtarget.Head(200, "Id: "+r.Header.Get("Id"))+events(4, 4))
			_ = c.Close()
		}),
		Entry("asked for what follows, the target answers with no body of length 0", func(r *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, rawtarget.Whole(200, "", "Id: "+r.Header.Get("Id")))
		}),
	)

	// useTarget makes the address that of the only target of daemon a.
	useTarget := func(address string) {
		views["a"].Update(func(now time.Time, r *roster.Roster) {
			r.StoreAnswered(now)
			r.Replace(now, []roster.Target{{ID: address, Group: "g", Address: address, Zone: "z", Version: "v1", Slots: 8}})
		})
	}
	// runAtKilledTargets submits a job of one item to daemon a. One target after another sends its
	// answer to the item without framing and is killed; the spec's own target follows.
	runAtKilledTargets := func(bodies ...string) batch.Result {
		a := alone()
		var killed []*killabletarget.Target
		for _, body := range bodies {
			t, err := killabletarget.Start(rawtarget.Head(200, "Id: j-0") + body)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(t.Kill)
			killed = append(killed, t)
		}
		useTarget(killed[0].Address)
		Expect(submit(a, submission("j", 1))).To(BeNil())
		for i, t := range killed {
			Expect(t.AwaitAnswer()).To(Succeed())
			next := target.Address
			if i+1 < len(killed) {
				next = killed[i+1].Address
			}
			useTarget(next)
			t.Kill()
		}
		return all(a, "j")[0]
	}

	// The processes of two targets are killed at the same event, the second before it sends one.
	// Their kernels close the connections in an orderly way, as targets do that have ended an
	// answer without framing. The text would be stored as complete although it is cut.
	DescribeTable("does not take two crashes at one event for the end of an item",
		func(first, second, after string) {
			result := runAtKilledTargets(first, second)
			Expect(result.State).To(Equal(batch.Succeeded))
			Expect(result.Output).To(Equal(output("j-0")))
			Expect(target.Requests()).To(HaveLen(1))
			Expect(target.Requests()[0].Header.Get("After")).To(Equal(after))
		},
		Entry("the second without an event", events(0, 1), "", "1"),
		Entry("the second with the same event again", events(0, 1), events(1, 1), "1"),
		Entry("the second after the last event", events(0, 1), events(2, 4), "4"),
	)

	// A target's process is killed in the middle of an item, and another target can't do the item.
	It("does not take a crash for the end of an item that is given up", func() {
		*script = func(r *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, rawtarget.Whole(422, "no", "Id: "+r.Header.Get("Id")))
		}
		result := runAtKilledTargets(events(0, 1))
		Expect(result.State).To(Equal(batch.Errored))
		Expect(result.Output).To(BeEmpty())
	})

	// The first run ends without framing at a target that goes on serving. The process of the
	// target that is asked for what follows is killed, which confirms nothing.
	It("does not take a crash for the confirmation that an item has ended", func() {
		var answered atomic.Bool
		*script = func(r *rawtarget.Request, c net.Conn) {
			if answered.Swap(true) {
				answer(r, c)
				return
			}
			rawtarget.Write(c, rawtarget.Head(200, "Id: "+r.Header.Get("Id"))+events(0, 1))
			_ = c.Close()
		}
		a := alone()
		confirming, err := killabletarget.Start(rawtarget.Head(200, "Id: j-0"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(confirming.Kill)
		target.OnRequest(func() { useTarget(confirming.Address) })
		Expect(submit(a, submission("j", 1))).To(BeNil())
		Expect(confirming.AwaitAnswer()).To(Succeed())
		target.OnRequest(func() {})
		useTarget(target.Address)
		confirming.Kill()
		Expect(all(a, "j")[0].Output).To(Equal(output("j-0")))
	})

	// Guards against an orderly end that counts as a crash of the item, and delays it.
	It("confirms the text of an item whose target has left in order behind it", func() {
		a := alone()
		leaving, err := killabletarget.StartLeaving(rawtarget.Head(200, "Id: j-0")+events(0, 3), events(4, 4))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(leaving.Kill)
		useTarget(leaving.Address)
		Expect(submit(a, submission("j", 1))).To(BeNil())
		Expect(leaving.AwaitAnswer()).To(Succeed())
		views["a"].Update(func(now time.Time, r *roster.Roster) {
			r.StoreAnswered(now.Add(-time.Minute))
			r.StoreAnswered(now)
			r.Set(now, roster.Target{ID: leaving.Address, Group: "g", Address: leaving.Address, Zone: "z", Version: "v1", Slots: 8, Draining: true})
			r.Set(now, roster.Target{ID: "t", Group: "g", Address: target.Address, Zone: "z", Version: "v1", Slots: 8})
		})
		Expect(leaving.Leave()).To(Succeed())
		Expect(all(a, "j")[0].Output).To(Equal(output("j-0")))
		Expect(target.Requests()).To(HaveLen(1))
		Expect(target.Requests()[0].Header.Get("After")).To(Equal("4"))
		Expect(crashes.Crashes()).To(BeEmpty())
	})

	DescribeTable("gives up items that can't succeed, after the allowed attempts",
		func(status, attempts int) {
			*script = func(r *rawtarget.Request, c net.Conn) {
				rawtarget.Write(c, rawtarget.Whole(status, "no", "Id: "+r.Header.Get("Id")))
			}
			a := alone()
			Expect(submit(a, submission("j", 1))).To(BeNil())
			Expect(all(a, "j")[0].State).To(Equal(batch.Errored))
			Expect(target.Requests()).To(HaveLen(attempts))
		},
		Entry("the target reports that it can never succeed", 422, 1),
		Entry("the target fails each time", 500, 2),
	)

	// An item that fails at each run must not get all its attempts again at each daemon to which
	// its partition goes.
	It("counts an item's failures across the daemons that run it", func() {
		var failed atomic.Int32
		*script = func(r *rawtarget.Request, c net.Conn) {
			if len(target.Requests()) != 2 { // the second run is that which the first daemon loses
				failed.Add(1)
				rawtarget.Write(c, rawtarget.Whole(500, "no", "Id: "+r.Header.Get("Id")))
			}
		}
		a, stop := daemon("a", allPartitions{log})
		Expect(submit(a, submission("j", 1))).To(BeNil())
		Eventually(target.Requests).WithTimeout(limit).Should(HaveLen(2))
		short, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		a.Drain(short)
		stop()
		b, _ := daemon("b", allPartitions{log})
		Expect(all(b, "j")[0].State).To(Equal(batch.Errored))
		Expect(failed.Load()).To(BeNumerically("==", 2))
		Eventually(func() []partlog.StoredRecord {
			page, err := log.Newest(ctx(), partlog.Partition{Topic: topics.Progress, Part: jobs.Part("j", 4)}, "")
			Expect(err).NotTo(HaveOccurred())
			return page.Records
		}).WithTimeout(limit).Should(BeEmpty())
	})

	// A daemon is lost after an item's last failure, before the item's end is on the log.
	It("does not run an item again that has failed as often as allowed", func() {
		a, _ := daemon("a", noPartitions{log})
		Expect(submit(a, submission("j", 1))).To(BeNil())
		value, err := batch.Encode(batch.Progress{Item: 0, LastEvent: -1, Failures: 2})
		Expect(err).NotTo(HaveOccurred())
		p := partlog.Partition{Topic: topics.Progress, Part: jobs.Part("j", 4)}
		_, err = log.Append(ctx(), p, []partlog.Record{{Key: batch.ResultKey("j", 0), Value: value}}, partlog.AnyOffset)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(2 * time.Millisecond) // an earlier holder is assumed if the job is older by a millisecond
		b, _ := daemon("b", allPartitions{log})
		Expect(all(b, "j")[0].State).To(Equal(batch.Errored))
		Expect(target.Requests()).To(BeEmpty())
	})

	// One item's output is longer than a record of the log. Retried without end, its write
	// would block every result of its partition for ever.
	It("ends an item as errored whose output exceeds the log's record size, and continues with the others", func() {
		*script = func(r *rawtarget.Request, c net.Conn) {
			if id := r.Header.Get("Id"); id == "j-0" {
				rawtarget.Write(c, head(id)+rawtarget.Chunk(rawtarget.Event(0, strings.Repeat("x", fakepartlog.MaxRecordBytes)))+rawtarget.LastChunk)
				return
			}
			answer(r, c)
		}
		a := alone()
		Expect(submit(a, submission("j", 3))).To(BeNil())
		for _, r := range all(a, "j") {
			Expect(r.State == batch.Errored).To(Equal(r.ID == "j-0"), r.ID)
		}
	})

	It("stops an ended job's items, also at another daemon that runs them", func() {
		*script = func(*rawtarget.Request, net.Conn) {}
		a, _ := daemon("a", log)
		b, _ := daemon("b", noPartitions{log})
		Expect(submit(a, submission("j", 3))).To(BeNil())
		Eventually(target.Requests).WithTimeout(limit).Should(HaveLen(3))
		Expect(b.End(ctx(), "", "j")).To(BeNil())
		Eventually(target.Open).WithTimeout(limit).Should(BeZero())
		Expect(b.End(ctx(), "", "j")).To(BeNil())
		Expect(submit(a, submission("j", 3))).To(BeNil())
		Expect(acceptances()).To(Equal(1))
	})
})
