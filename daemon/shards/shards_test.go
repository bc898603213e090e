package shards

import (
	"context"
	"fmt"
	"net"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/shard"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/peer"
	"tarragonhollow.example/tarragonhollow/platform/fakelog"
)

func TestShards(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "daemon/shards")
}

const testShards = 4

// fleet is a handful of Shards over one fake log, joined in process.
type fleet struct {
	mu    sync.Mutex
	log   *fakelog.Log
	nodes map[string]*node
	next  uint64
	// tune changes a node's options, for benchmarks.
	tune func(*Options)
}

type node struct {
	fleet  *fleet
	self   membership.Member
	client *fakelog.Client
	shards *Shards
	stop   func()
	server *peer.Server
	caller *peer.Client
	// revoked lists the jobs that this node's steward was told to drop, doubted
	// the members that were to be looked at.
	revoked []string
	doubted []string
	// blind keeps the node from hearing who holds what.
	blind atomic.Bool
	// alone cuts it from all others, but not from the log.
	alone atomic.Bool
}

func newFleet(hosts ...string) *fleet {
	f := &fleet{log: fakelog.New(fakelog.Options{}), nodes: map[string]*node{}}
	for _, h := range hosts {
		f.start(h)
	}
	DeferCleanup(f.stop)
	return f
}

func (f *fleet) start(host string) *node {
	f.next++
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	n := &node{
		fleet: f, client: f.log.NewClient(),
		server: peer.NewServer(peer.ServerOptions{}), caller: peer.NewClient(peer.ClientOptions{}),
		self: membership.Member{
			Host: host, PeerAddress: listener.Addr().String(), Incarnation: f.next, LogOK: true, Ready: true,
		},
	}
	Expect(n.server.Register("Steward", &stewardFake{n})).To(Succeed())
	opt := Options{
		Log: n.client, View: n, Peer: n.caller, Registrar: n.server, Shards: testShards,
		Config:     func() *config.Config { return nil },
		GroupOf:    func(it ledger.Item) (string, bool) { return "g", !strings.Contains(it.URL, "nowhere") },
		AppendPace: 5 * time.Millisecond, UrgentPace: time.Millisecond, AppendBudget: 1e6,
		Lease: 300 * time.Millisecond, ClaimStep: 50 * time.Millisecond, ColdStart: 20 * time.Millisecond,
		RetryFor: 20 * time.Second,
	}
	if f.tune != nil {
		f.tune(&opt)
	}
	s, err := New(opt)
	Expect(err).NotTo(HaveOccurred())
	n.shards = s
	ctx, cancel := context.WithCancel(context.Background())
	g := duty.NewGroup(ctx)
	f.mu.Lock()
	f.nodes[host] = n
	f.mu.Unlock()
	s.Run(g)
	g.Go(func(context.Context) { _ = n.server.Serve(listener) })
	n.stop = func() {
		cancel()
		_ = n.server.Close()
		g.Wait()
		_ = n.caller.Close()
	}
	return n
}

// kill ends a node as abruptly as a process can: nothing is handed over.
func (f *fleet) kill(n *node) {
	f.mu.Lock()
	delete(f.nodes, n.self.Host)
	f.mu.Unlock()
	n.stop()
}

func (f *fleet) stop() {
	f.mu.Lock()
	nodes := f.nodes
	f.nodes = map[string]*node{}
	f.mu.Unlock()
	for _, n := range nodes {
		n.stop()
	}
}

// term is the term in which the node holds the name's shard, 0 if it doesn't.
func (n *node) term(name string) uint64 {
	for _, h := range n.shards.Holds() {
		if h.Shard == shard.Of(name, testShards) {
			return h.Term
		}
	}
	return 0
}

// seenTerm is the highest term in which anybody is seen to hold the shard.
func (n *node) seenTerm(name string) (term uint64) {
	holder, _ := n.Holder(shard.Of(name, testShards))
	for _, h := range holder.Shards {
		if h.Shard == shard.Of(name, testShards) {
			term = h.Term
		}
	}
	return term
}

func (f *fleet) ownerOf(name string) *node {
	var owner *node
	Eventually(func() *node {
		owner = f.holder(shard.Of(name, testShards))
		return owner
	}).WithTimeout(10 * time.Second).ShouldNot(BeNil())
	return owner
}

func (f *fleet) holder(id int) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		for _, h := range n.shards.Holds() {
			if h.Shard == id {
				return n
			}
		}
	}
	return nil
}

func (f *fleet) other(n *node) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.nodes {
		if m != n {
			return m
		}
	}
	return nil
}

// The node is its own view.

func (n *node) Self() membership.Member { return n.self }

func (n *node) Members() []membership.Member {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	var out []membership.Member
	for _, m := range n.fleet.nodes {
		if n.alone.Load() && m != n {
			continue
		}
		self := m.self
		if m.shards != nil {
			self.Shards, self.LogOK = m.shards.Holds(), m.shards.LogOK()
		}
		out = append(out, self)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}

func (n *node) Holder(id int) (best membership.Member, found bool) {
	if n.blind.Load() {
		return best, false
	}
	var term uint64
	for _, m := range n.Members() {
		for _, h := range m.Shards {
			if h.Shard == id && h.Term > term {
				best, term, found = m, h.Term, true
			}
		}
	}
	return best, found
}

func (n *node) LiveID(id string) bool {
	for _, m := range n.Members() {
		if m.ID() == id {
			return true
		}
	}
	return false
}

func (n *node) First(key string) (membership.Member, bool) {
	return membership.FirstOf(n.Successors(key))
}

func (n *node) Successors(key string) []membership.Member {
	all := n.Members()
	turn := len(key) % max(1, len(all))
	return append(all[turn:], all[:turn]...)
}

func (n *node) TargetLeaving(string) bool { return false }

func (n *node) Doubt(address string) { n.doubted = append(n.doubted, address) }

type stewardFake struct{ n *node }

// RevokeArgs and RevokeWords have the fields of the steward's messages.
type RevokeArgs struct{ Job string }

type RevokeWords struct{ Queued, Running int }

func (f *stewardFake) Revoke(req RevokeArgs, _ *RevokeWords) error {
	f.n.fleet.mu.Lock()
	defer f.n.fleet.mu.Unlock()
	f.n.revoked = append(f.n.revoked, req.Job)
	return nil
}

func begin(n *node, key, nonce string, repeatable bool) (ledger.BeginReply, error) {
	return n.shards.Begin(context.Background(), ledger.BeginRequest{
		Key: key, Nonce: nonce, Entry: n.self.ID(), Fingerprint: "fp", Profile: "p",
		Repeatable: repeatable, WaitMs: 100,
	})
}

func submit(n *node, job, upload string, items int) (ledger.JobCommitReply, error) {
	ctx := context.Background()
	open := ledger.JobOpenRequest{Job: job, Profile: "night", Upload: upload, DueMs: 1, Repeatable: true, MaxAttempts: 2}
	if err := n.shards.OpenJob(ctx, open); err != nil {
		return ledger.JobCommitReply{}, err
	}
	chunk := ledger.JobChunkRequest{Job: job, Upload: upload}
	for i := 0; i < items; i++ {
		chunk.Items = append(chunk.Items, ledger.Item{CustomID: fmt.Sprint(i), URL: "/v1/services/x/y", Body: []byte("{}")})
	}
	if err := n.shards.AddItems(ctx, chunk); err != nil {
		return ledger.JobCommitReply{}, err
	}
	return n.shards.CommitJob(ctx, ledger.JobCommitRequest{
		Job: job, Upload: upload, Chunks: 1, Items: items, Fingerprint: "fp",
	})
}

func pull(n, owner *node, max int, running []ledger.ItemRef) ledger.PullReply {
	reply, err := n.shards.Pull(context.Background(), owner.self.PeerAddress, ledger.PullRequest{
		Steward: n.self.ID(), Group: "g", Max: max, MaxBytes: 1 << 20, Running: running,
	})
	Expect(err).NotTo(HaveOccurred())
	return reply
}

func finish(n *node, items []ledger.LeasedItem) []ledger.ItemEnd {
	req := ledger.FinishItemsRequest{Steward: n.self.ID()}
	for _, it := range items {
		req.Ends = append(req.Ends, ledger.ItemEnd{Ref: it.Ref, Answer: &ledger.Answer{Status: 200, Body: []byte(it.Item.CustomID)}})
	}
	left, err := n.shards.FinishItems(context.Background(), req)
	Expect(err).NotTo(HaveOccurred())
	return left
}

var _ = Describe("Shards", func() {
	// A guest's order is placed through one daemon; the daemon that owns its
	// key dies, and the tablet sends the order again through a third. It must
	// get the kept answer and not run again.
	It("keeps an order's answer through the death of its owner", func() {
		f := newFleet("a", "b", "c")
		owner := f.ownerOf("c/k")
		entry := f.other(owner)
		r, err := begin(entry, "c/k", "n1", false)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Verdict).To(Equal(ledger.Granted))
		fin, err := entry.shards.Finish(context.Background(), ledger.FinishRequest{
			Key: "c/k", Nonce: "n1", Attempt: r.Attempt, Answer: &ledger.Answer{Status: 200, Body: []byte("tray")},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(fin.Durable).To(BeTrue())
		f.kill(owner)
		again, err := begin(f.other(owner), "c/k", "n2", false)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Verdict).To(Equal(ledger.Settled))
		Expect(string(again.Answer.Body)).To(Equal("tray"))
	})

	// A night's job is half done when its owner dies. Its successor must hand
	// out the rest, and every item must have exactly one result.
	It("finishes a job after the death of its owner", func() {
		f := newFleet("a", "b", "c")
		owner := f.ownerOf("c/job")
		steward := f.other(owner)
		reply, err := submit(steward, "c/job", "u1", 40)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Created).To(BeTrue())
		Expect(finish(steward, pull(steward, owner, 20, nil).Items)).To(BeEmpty())
		lost := pull(steward, owner, 5, nil).Items
		Expect(lost).To(HaveLen(5))
		f.kill(owner)
		next := f.ownerOf("c/job")
		Expect(next).NotTo(BeIdenticalTo(owner))
		Eventually(func() ledger.JobState {
			Expect(finish(steward, pull(steward, f.ownerOf("c/job"), 7, nil).Items)).To(BeEmpty())
			st, err := steward.shards.Job(context.Background(), "c/job")
			Expect(err).NotTo(HaveOccurred())
			return st.State
		}).WithTimeout(20 * time.Second).Should(Equal(ledger.JobEnded))
		page, err := steward.shards.Results(context.Background(), ledger.ResultsRequest{Job: "c/job"})
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Results).To(HaveLen(40))
		for i, r := range page.Results {
			Expect(string(r.Answer.Body)).To(Equal(fmt.Sprint(i)))
		}
	})

	// A client's network stalls and it sends the same bundle three times, to
	// two daemons at once. It must become one job.
	It("takes a job sent several times at once as one", func() {
		f := newFleet("a", "b")
		f.ownerOf("c/job")
		replies := make([]ledger.JobCommitReply, 3)
		errs := make([]error, 3)
		fanOut(3, func(i int) {
			n := f.nodes["a"]
			if i%2 == 1 {
				n = f.nodes["b"]
			}
			replies[i], errs[i] = submit(n, "c/job", fmt.Sprint("u", i), 10)
		})
		created := 0
		for i := range replies {
			Expect(errs[i]).NotTo(HaveOccurred())
			Expect(replies[i].Status.Items).To(Equal(10))
			if replies[i].Created {
				created++
			}
		}
		Expect(created).To(Equal(1))
	})

	// The platform's log goes out. An order must be refused as not run, a
	// repeatable request must run, and its answer must be kept once the log is
	// back.
	It("refuses orders and goes on with repeatable work while the log is out", func() {
		f := newFleet("a", "b")
		f.ownerOf("c/k")
		f.ownerOf("c/order")
		f.log.SetOutage(true)
		_, err := begin(f.nodes["a"], "c/order", "n1", false)
		refusal, ok := err.(*outcome.Refusal)
		Expect(ok).To(BeTrue(), "%v", err)
		Expect(refusal.Code).To(Equal(outcome.LogUnavailable))
		Expect(refusal.Run).To(Equal(outcome.NotRun))
		Expect(refusal.RetryAfterMs).To(BeNumerically(">", 0))
		r, err := begin(f.nodes["a"], "c/k", "n2", true)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Verdict).To(Equal(ledger.Granted))
		end := ledger.FinishRequest{Key: "c/k", Nonce: "n2", Attempt: 1, Answer: &ledger.Answer{Status: 200, Body: []byte("x")}}
		fin, err := f.nodes["a"].shards.Finish(context.Background(), end)
		Expect(err).NotTo(HaveOccurred())
		Expect(fin.Durable).To(BeFalse())
		f.log.SetOutage(false)
		Eventually(func() bool {
			fin, err := f.nodes["a"].shards.Finish(context.Background(), end)
			return err == nil && fin.Durable
		}).WithTimeout(10 * time.Second).Should(BeTrue())
	})

	// One daemon alone is cut off from the log. Others take its shard over, and
	// an order placed at the very host that is cut off is granted by the new
	// owner instead of being refused; back on the log, the old owner learns that
	// it lost.
	It("takes over from a holder that is cut off from the log", func() {
		f := newFleet("a", "b", "c")
		old := f.ownerOf("c/k")
		term := old.term("c/k")
		old.client.SetCut(true)
		Eventually(func() uint64 { return f.other(old).seenTerm("c/k") }).WithTimeout(20 * time.Second).Should(BeNumerically(">", term))
		Eventually(func() error {
			_, err := begin(old, "c/k", "n1", false)
			return err
		}).WithTimeout(20 * time.Second).Should(Succeed())
		old.client.SetCut(false)
		Eventually(func() uint64 { return old.term("c/k") }).WithTimeout(20 * time.Second).ShouldNot(Equal(term))
	})

	// A steward asks an owner whose process has just died. The failed call is the
	// first sign of it; the membership must hear of it and not wait for its probe.
	It("has an owner looked at whose call failed", func() {
		n := newFleet("a").nodes["a"]
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		gone := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		_, err = n.shards.Pull(context.Background(), gone, ledger.PullRequest{Steward: n.self.ID(), Group: "g"})
		Expect(err).To(HaveOccurred())
		Expect(n.doubted).To(ConsistOf(gone))
	})

	// A shard has just changed hands, and word of its new holder has not come to
	// the host at which an order is placed. The order must find the holder all the
	// same, since it is clear who was to claim the shard.
	It("finds a holder it has not heard of", func() {
		f := newFleet("a", "b", "c", "d")
		owner := f.ownerOf("c/k")
		term := owner.term("c/k")
		entry := f.other(owner)
		entry.blind.Store(true)
		r, err := begin(entry, "c/k", "n1", false)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Verdict).To(Equal(ledger.Granted))
		Expect(owner.term("c/k")).To(Equal(term), "the holder granted it, not a later one")
	})

	// The log loses answers, and whole appends, in the middle of an evening's
	// orders. Each is found again or appended again, and every order is granted.
	It("finds lost appends again by reading back", func() {
		f := newFleet("a", "b")
		f.ownerOf("c/k")
		for i := 0; i < 4; i++ {
			f.log.LoseAnswers(1 - i%2)
			f.log.LoseAppends(i % 2)
			r, err := begin(f.nodes["a"], "c/k", fmt.Sprint("n", i), false)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Verdict).To(Equal(ledger.Granted))
			_, err = f.nodes["a"].shards.Finish(context.Background(), ledger.FinishRequest{
				Key: "c/k", Nonce: fmt.Sprint("n", i), Attempt: r.Attempt, Refusal: outcome.Refuse(outcome.NoTarget, "none"),
			})
			Expect(err).NotTo(HaveOccurred())
		}
	})

	// A cancel races the stewards. It returns only when each of them has
	// dropped the job; afterwards nothing of it is handed out.
	It("cancels a job at every steward before it answers", func() {
		f := newFleet("a", "b")
		owner := f.ownerOf("c/job")
		_, err := submit(owner, "c/job", "u1", 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(pull(f.nodes["b"], owner, 3, nil).Items).To(HaveLen(3))
		st, err := f.nodes["a"].shards.CancelJob(context.Background(), "c/job")
		Expect(err).NotTo(HaveOccurred())
		Expect(st.Cancelled).To(Equal(10))
		Expect(st.State).To(Equal(ledger.JobCancelled))
		for _, n := range []*node{f.nodes["a"], f.nodes["b"]} {
			seen, err := n.shards.Job(context.Background(), "c/job")
			Expect(err).NotTo(HaveOccurred())
			Expect(seen.State).To(Equal(ledger.JobCancelled), n.self.Host)
		}
		f.mu.Lock()
		Expect(f.nodes["a"].revoked).To(ContainElement("c/job"))
		Expect(f.nodes["b"].revoked).To(ContainElement("c/job"))
		f.mu.Unlock()
		Expect(pull(f.nodes["b"], owner, 3, nil).Items).To(BeEmpty())
	})

	// A host is replaced while the platform's log is out. Its daemon can hand
	// nothing over; it must not stay until its whole drain time is over.
	It("gives up handing over when the log is out", func() {
		f := newFleet("a", "b")
		for id := 0; id < testShards; id++ {
			Eventually(func() *node { return f.holder(id) }).WithTimeout(10 * time.Second).ShouldNot(BeNil())
		}
		a := f.holder(0)
		f.log.SetOutage(true)
		Eventually(a.shards.LogOK).WithTimeout(10 * time.Second).Should(BeFalse())
		Expect(a.shards.Holds()).NotTo(BeEmpty())
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		Expect(a.shards.Drain(ctx)).To(MatchError(ContainSubstring("the log is out of reach")))
		Expect(ctx.Err()).NotTo(HaveOccurred())
	})

	// A daemon is stopped on purpose: all its shards go to others, and calls
	// made meanwhile find the new owners.
	It("hands its shards over when it drains", func() {
		f := newFleet("a", "b")
		for id := 0; id < testShards; id++ {
			Eventually(func() *node { return f.holder(id) }).WithTimeout(10 * time.Second).ShouldNot(BeNil())
		}
		a, b := f.nodes["a"], f.nodes["b"]
		Expect(a.shards.Drain(context.Background())).To(Succeed())
		Eventually(func() int { return len(b.shards.Holds()) }).WithTimeout(10 * time.Second).Should(Equal(testShards))
		r, err := begin(a, "c/k", "n", false)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Verdict).To(Equal(ledger.Granted))
	})
})
