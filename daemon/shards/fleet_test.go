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
	"tarragonhollow.example/tarragonhollow/core/shard"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/extern/fakelog"
	"tarragonhollow.example/tarragonhollow/peer"
)

func TestShards(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "daemon/shards")
}

const testShards = 4

// fleet is a few daemons' Shards in this process, over one fake log.
type fleet struct {
	mu              sync.Mutex
	log             *fakelog.Log
	nodes           map[string]*node
	lastIncarnation uint64
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
	// revoked lists the jobs that this node's batch dispatcher (steward) had to drop,
	// probed the addresses of the members that were to be probed immediately.
	revoked []string
	probed  []string
	// blind hides from the node which member holds which shard.
	blind atomic.Bool
	// isolated cuts the node off from all others, but not from the log.
	isolated atomic.Bool
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
	f.lastIncarnation++
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	n := &node{
		fleet: f, client: f.log.NewClient(),
		server: peer.NewServer(peer.ServerOptions{}), caller: peer.NewClient(peer.ClientOptions{}),
		self: membership.Member{
			Host: host, PeerAddress: listener.Addr().String(), Incarnation: f.lastIncarnation, LogOK: true, Ready: true,
		},
	}
	Expect(n.server.Register("Steward", &fakeSteward{n})).To(Succeed())
	opt := Options{
		Log: n.client, View: n, Peer: n.caller, Registrar: n.server, Shards: testShards,
		Config:         func() *config.Config { return nil },
		GroupOf:        func(it ledger.Item) (string, bool) { return "g", !strings.Contains(it.URL, "nowhere") },
		AppendInterval: 5 * time.Millisecond, UrgentInterval: time.Millisecond, AppendBudget: 1e6,
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

// kill stops a node like a killed process, without a hand-off.
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

// term returns the term in which the node holds the name's shard, 0 if it does not.
func (n *node) term(name string) uint64 {
	for _, h := range n.shards.Holds() {
		if h.Shard == shard.Of(name, testShards) {
			return h.Term
		}
	}
	return 0
}

// seenTerm returns the highest term in which the node sees a member hold the shard.
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

// node implements membership.View.

func (n *node) Self() membership.Member { return n.self }

func (n *node) Members() []membership.Member {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	var out []membership.Member
	for _, m := range n.fleet.nodes {
		if n.isolated.Load() && m != n {
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
	start := len(key) % max(1, len(all))
	return append(all[start:], all[:start]...)
}

func (n *node) TargetLeaving(string) bool { return false }

func (n *node) ProbeNow(address string) { n.probed = append(n.probed, address) }

type fakeSteward struct{ n *node }

// RevokeArgs and RevokeReply have the fields of the messages of Steward.Revoke.
type RevokeArgs struct{ Job string }

type RevokeReply struct{ Queued, Running int }

func (f *fakeSteward) Revoke(req RevokeArgs, _ *RevokeReply) error {
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
	undelivered, err := n.shards.FinishItems(context.Background(), req)
	Expect(err).NotTo(HaveOccurred())
	return undelivered
}
