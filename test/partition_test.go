package test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/standin/deployment"
	"tarragonhollow.example/tarragonhollow/standin/faultproxy"
	"tarragonhollow.example/tarragonhollow/test/fleet"
)

// The ways in which the network between hosts fails: connections are reset, or they
// stall and data sent meanwhile arrives late.
var (
	resetConnections   = faultproxy.Faults{Cut: faultproxy.CutReset}
	stalledConnections = faultproxy.Faults{Stall: faultproxy.StallBoth}
)

// splits are the sizes of the first group and the faults between the two groups.
var splits = []TableEntry{
	Entry("of two, by reset connections", 2, resetConnections),
	Entry("of two, by silence", 2, stalledConnections),
	Entry("of one and the rest, by reset connections", 1, resetConnections),
	Entry("of one and the rest, by silence", 1, stalledConnections),
}

var _ = Describe("Daemons that cannot reach each other", func() {
	// Two groups cannot reach each other, but each still reaches the log, the targets
	// and its callers. Each considers the other dead and claims its shards. Callers of
	// both must be served, a configuration published on one side must apply on both,
	// and the job must end with each item once.
	DescribeTable("in two groups serve callers of both and converge after healing", func(sizeA int, faults faultproxy.Faults) {
		f, network := fleet.StartWithNetwork(fleet.Options{Daemons: 4, Shape: slowEngines})
		a, b := f.Daemons[:sizeA], f.Daemons[sizeA:]
		job := fleet.NewJob("prep", 150, 11)
		f.MustPut(a[0], job)
		waitForItemCalls(f, job, 10)
		network.Split(a, b, faults)
		expectView(a, a)
		expectView(b, b)

		chatEverywhere(f)
		concurrently(12, func(i int) {
			expectOneExecution(f, fmt.Sprintf("tray-%d", i), f.Daemons[i%4:i%4+1])
		})
		mustPublish(a[0], f.Config()+"\n# from one side\n", 1)
		expectVersion(f, 2)
		mustPublish(b[0], f.Config()+"\n# from the other\n", 2)
		expectVersion(f, 3)
		expectView(a, a)
		expectView(b, b)

		heal(f, network)
		concurrently(12, func(i int) {
			expectOneExecution(f, fmt.Sprintf("tray-%d", i), f.Daemons)
		})
		f.WaitJob(a[0], job)
		f.CheckJob(job)
	}, splits)

	// The same order is sent to both sides of a partition. It runs twice if each side
	// relies on its own claim of the shard, or if one side answers not_run while the
	// other has run it and the caller places a new order.
	DescribeTable("in two groups run the same order once and refuse it truly", func(sizeA int, faults faultproxy.Faults) {
		f, network := fleet.StartWithNetwork(fleet.Options{Daemons: 4})
		a, b := f.Daemons[:sizeA], f.Daemons[sizeA:]
		network.Split(a, b, faults)
		expectView(a, a)
		expectView(b, b)
		onBothSides := func(i int) {
			expectOneExecution(f, fmt.Sprintf("tray-%d", i), []*fleet.Daemon{a[i%len(a)], b[i%len(b)]})
		}
		concurrently(12, onBothSides)
		heal(f, network)
		concurrently(12, onBothSides)
	}, splits)

	// During a partition both sides claim the same shards. If a claim is followed at
	// once by a claim of the other side, no holder has the time to store anything, and
	// the claims use up the appends that orders and jobs need.
	DescribeTable("in two groups limit the rate of competing shard claims", func(sizeA int, faults faultproxy.Faults) {
		f, network := fleet.StartWithNetwork(fleet.Options{Daemons: 4})
		a, b := f.Daemons[:sizeA], f.Daemons[sizeA:]
		network.Split(a, b, faults)
		expectView(a, a)
		expectView(b, b)
		began, before := time.Now(), shardClaims(f)
		for i := range 12 {
			expectOneExecution(f, fmt.Sprintf("tray-%d", i), f.Daemons[i%4:i%4+1])
		}
		// A slow machine only lowers the rate.
		seconds := max(1, time.Since(began).Seconds())
		perShard := float64(shardClaims(f)-before) / seconds / float64(fleet.Shards)
		Expect(perShard).To(BeNumerically("<", 2), "claims of a shard in a second")
	}, splits)

	// Calls from B to A pass and calls from A to B fail, as with a one-way firewall
	// rule. C reaches both, so no daemon may be considered dead. A's callers with a key
	// of B's shards must get a correct run state, and the job on B's shard must end.
	DescribeTable("one way consider no daemon dead and answer callers correctly", func(faults faultproxy.Faults) {
		f, network := fleet.StartWithNetwork(fleet.Options{Shape: slowEngines})
		a, b, c := f.Daemons[0], f.Daemons[1], f.Daemons[2]
		job := fleet.NewJob(f.KeyOwnedBy(b, "prep"), 120, 11)
		f.MustPut(a, job)
		waitForItemCalls(f, job, 10)
		network.Cut([]*fleet.Daemon{a}, []*fleet.Daemon{b}, faults)

		chatEverywhere(f)
		for i := range 3 {
			key := f.KeyOwnedBy(b, fmt.Sprintf("tray-%d", i))
			_, err := f.Order(a, key)
			if err != nil {
				expectRun(err, outcome.NotRun)
				Expect(f.Executions(key)).To(BeZero(), key)
			}
			expectOneExecution(f, key, []*fleet.Daemon{c, b})
			Expect(f.Order(b, f.KeyOwnedBy(a, fmt.Sprintf("room-%d", i)))).To(BeNumerically(">", 0))
		}
		expectView(f.Daemons, f.Daemons)
		f.WaitJob(c, job)

		heal(f, network)
		for i := range 3 {
			expectOneExecution(f, fmt.Sprintf("late-%d", i), f.Daemons)
		}
		f.CheckJob(job)
	},
		Entry("by reset connections", resetConnections),
		Entry("by silence", stalledConnections),
	)

	// Guards against a job that makes no progress because the only daemon that dispatches
	// batch work to its targets cannot reach the job's owner.
	DescribeTable("one way end a job whose targets are another's", func(faults faultproxy.Faults) {
		f, network := fleet.StartWithNetwork(fleet.Options{Shape: func(s *deployment.Shape) {
			slowEngines(s)
			s.Engines = 1
		}})
		var dispatchers []*fleet.Daemon
		Eventually(func() []*fleet.Daemon {
			dispatchers = f.BatchDispatchers(f.Shape.Model)
			return dispatchers
		}, timeout, pollInterval).Should(HaveLen(1))
		dispatcher := dispatchers[0]
		others := f.Others(dispatcher)
		job := fleet.NewJob(f.KeyOwnedBy(others[0], "prep"), 30, -1)
		f.MustPut(others[1], job)
		waitForItemCalls(f, job, 3)
		network.Cut([]*fleet.Daemon{dispatcher}, others[:1], faults)
		f.WaitJob(others[1], job)
		f.CheckJobAt(others, job)
	},
		Entry("by reset connections", resetConnections),
		Entry("by silence", stalledConnections),
	)
})

// expectView waits until each of the daemons considers exactly the others live.
func expectView(daemons, live []*fleet.Daemon) {
	GinkgoHelper()
	var names []string
	for _, d := range live {
		names = append(names, d.Name)
	}
	for _, d := range daemons {
		Eventually(d.LiveHosts, timeout, pollInterval).Should(Equal(names), d.Name)
	}
}

// expectVersion waits until the version is in force at every daemon.
func expectVersion(f *fleet.Fleet, version uint64) {
	GinkgoHelper()
	for _, d := range f.Daemons {
		Eventually(func() uint64 { return d.Status().ConfigVersion }, timeout, pollInterval).Should(Equal(version), d.Name)
	}
}

// chatEverywhere sends chats with and without a key to every daemon, all concurrently.
func chatEverywhere(f *fleet.Fleet) {
	GinkgoHelper()
	concurrently(4*len(f.Daemons), func(i int) {
		text, key := fmt.Sprintf("room %d", i), ""
		if i%2 == 0 {
			key = fmt.Sprintf("chat-%d", i)
		}
		d := f.Daemons[i/4]
		Expect(f.Stream(d, key, text)).To(Equal(f.Expected(text)), d.Name)
	})
}

// heal ends the partition and waits until all daemons consider each other live and each
// shard has exactly one holder.
func heal(f *fleet.Fleet, network *fleet.Network) {
	GinkgoHelper()
	network.Heal()
	expectView(f.Daemons, f.Daemons)
	f.WaitOwned()
	Eventually(func() int { return doublyHeld(f) }, timeout, pollInterval).Should(BeZero())
}

// shardClaims counts the shard claims that the daemons have logged so far.
func shardClaims(f *fleet.Fleet) int {
	n := 0
	for _, d := range f.Daemons {
		n += d.Logged("event=shard_claim")
	}
	return n
}

// expectOneExecution places the same order at each of the daemons concurrently, retries
// until each has answered, and expects equal answers and one execution.
func expectOneExecution(f *fleet.Fleet, key string, daemons []*fleet.Daemon) {
	GinkgoHelper()
	executions := make([]int64, len(daemons))
	concurrently(len(daemons), func(i int) {
		Eventually(func() (err error) {
			executions[i], err = f.Order(daemons[i], key)
			return err
		}, 2*timeout, pollInterval).Should(Succeed(), "%s at %s", key, daemons[i].Name)
	})
	Expect(executions).To(HaveEach(executions[0]), key)
	Expect(f.Executions(key)).To(Equal(1), key)
}
