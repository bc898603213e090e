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

// The ways a line between hosts fails: its connections are reset, or it falls
// silent, and what was sent meanwhile arrives late.
var (
	resetLine  = faultproxy.Faults{Cut: faultproxy.CutReset}
	silentLine = faultproxy.Faults{Stall: faultproxy.StallBoth}
)

// splits are the groups and lines of a cut.
var splits = []TableEntry{
	Entry("of two, by reset connections", 2, resetLine),
	Entry("of two, by silence", 2, silentLine),
	Entry("of one and the rest, by reset connections", 1, resetLine),
	Entry("of one and the rest, by silence", 1, silentLine),
}

var _ = Describe("Daemons that cannot reach each other", func() {
	// The line between the zones is cut, but each zone still reaches the log, the
	// targets and its callers. Each side takes the other for dead and claims its
	// shards. Callers of both must be served, operators on either side obeyed on
	// both, and the night's job must end with each item once.
	DescribeTable("in two groups serve both and agree again", func(left int, line faultproxy.Faults) {
		f, network := fleet.StartApart(fleet.Options{Daemons: 4, Shape: slowEngines})
		a, b := f.Daemons[:left], f.Daemons[left:]
		job := fleet.NewJob("prep", 150, 11)
		f.MustPut(a[0], job)
		batchRuns(f, job, 10)
		network.Split(a, b, line)
		expectView(a, a)
		expectView(b, b)

		chatEverywhere(f)
		all(12, func(i int) {
			expectOneExecution(f, fmt.Sprintf("tray-%d", i), f.Daemons[i%4:i%4+1])
		})
		mustPublish(a[0], f.Config()+"\n# from one side\n", 1)
		expectVersion(f, 2)
		mustPublish(b[0], f.Config()+"\n# from the other\n", 2)
		expectVersion(f, 3)
		expectView(a, a)
		expectView(b, b)

		heal(f, network)
		all(12, func(i int) {
			expectOneExecution(f, fmt.Sprintf("tray-%d", i), f.Daemons)
		})
		f.WaitJob(a[0], job)
		f.CheckJob(job)
	}, splits)

	// Guests tap the same order on tablets of both sides of a cut. Two breakfasts
	// are billed if each side believes its own claim, or if one side says that
	// the order was not run while the other has placed it, and the guest orders
	// anew.
	DescribeTable("in two groups run the same order once and refuse it truly", func(left int, line faultproxy.Faults) {
		f, network := fleet.StartApart(fleet.Options{Daemons: 4})
		a, b := f.Daemons[:left], f.Daemons[left:]
		network.Split(a, b, line)
		expectView(a, a)
		expectView(b, b)
		onBothSides := func(i int) {
			expectOneExecution(f, fmt.Sprintf("tray-%d", i), []*fleet.Daemon{a[i%len(a)], b[i%len(b)]})
		}
		all(12, onBothSides)
		heal(f, network)
		all(12, onBothSides)
	}, splits)

	// While the line is cut, each side holds a shard that the other wants. Claims
	// and counter-claims that follow each other at once leave no holder the time
	// to keep anything, and use up the appends that orders and jobs need.
	DescribeTable("in two groups take turns with the shards", func(left int, line faultproxy.Faults) {
		f, network := fleet.StartApart(fleet.Options{Daemons: 4})
		a, b := f.Daemons[:left], f.Daemons[left:]
		network.Split(a, b, line)
		expectView(a, a)
		expectView(b, b)
		began, before := time.Now(), claims(f)
		for i := range 12 {
			expectOneExecution(f, fmt.Sprintf("tray-%d", i), f.Daemons[i%4:i%4+1])
		}
		// A slow machine only lowers the rate.
		seconds := max(1, time.Since(began).Seconds())
		perShard := float64(claims(f)-before) / seconds / float64(fleet.Shards)
		Expect(perShard).To(BeNumerically("<", 2), "claims of a shard in a second")
	}, splits)

	// A firewall's rule lets calls from B to A through and none from A to B. C
	// reaches both, so nobody is dead. A's callers with a key of B's shards must
	// hear the truth, and the kitchen's job on B's shard must end.
	DescribeTable("one way take nobody for dead and tell callers the truth", func(line faultproxy.Faults) {
		f, network := fleet.StartApart(fleet.Options{Shape: slowEngines})
		a, b, c := f.Daemons[0], f.Daemons[1], f.Daemons[2]
		job := fleet.NewJob(f.KeyOwnedBy(b, "prep"), 120, 11)
		f.MustPut(a, job)
		batchRuns(f, job, 10)
		network.Cut([]*fleet.Daemon{a}, []*fleet.Daemon{b}, line)

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
		Entry("by reset connections", resetLine),
		Entry("by silence", silentLine),
	)

	// Guards against a job that stands still: the only daemon that starts work at its targets
	// cannot reach the job's owner.
	DescribeTable("one way end a job whose targets are another's", func(line faultproxy.Faults) {
		f, network := fleet.StartApart(fleet.Options{Shape: func(s *deployment.Shape) {
			slowEngines(s)
			s.Engines = 1
		}})
		var stewards []*fleet.Daemon
		Eventually(func() []*fleet.Daemon {
			stewards = f.Stewards(f.Shape.Model)
			return stewards
		}, bound, poll).Should(HaveLen(1))
		steward := stewards[0]
		others := f.Others(steward)
		job := fleet.NewJob(f.KeyOwnedBy(others[0], "prep"), 30, -1)
		f.MustPut(others[1], job)
		batchRuns(f, job, 3)
		network.Cut([]*fleet.Daemon{steward}, others[:1], line)
		f.WaitJob(others[1], job)
		f.CheckJobAt(others, job)
	},
		Entry("by reset connections", resetLine),
		Entry("by silence", silentLine),
	)
})

// expectView waits until each of the daemons sees exactly the others.
func expectView(daemons, others []*fleet.Daemon) {
	GinkgoHelper()
	var names []string
	for _, d := range others {
		names = append(names, d.Name)
	}
	for _, d := range daemons {
		Eventually(d.Sees, bound, poll).Should(Equal(names), d.Name)
	}
}

// expectVersion waits until the version is in force at every daemon.
func expectVersion(f *fleet.Fleet, version uint64) {
	GinkgoHelper()
	for _, d := range f.Daemons {
		Eventually(func() uint64 { return d.Status().ConfigVersion }, bound, poll).Should(Equal(version), d.Name)
	}
}

// chatEverywhere asks each daemon keyed and unkeyed, all at once.
func chatEverywhere(f *fleet.Fleet) {
	GinkgoHelper()
	all(4*len(f.Daemons), func(i int) {
		text, key := fmt.Sprintf("room %d", i), ""
		if i%2 == 0 {
			key = fmt.Sprintf("chat-%d", i)
		}
		d := f.Daemons[i/4]
		Expect(f.Stream(d, key, text)).To(Equal(f.Expected(text)), d.Name)
	})
}

// heal ends the cut and waits until all see each other and each shard has one
// holder.
func heal(f *fleet.Fleet, network *fleet.Network) {
	GinkgoHelper()
	network.Heal()
	expectView(f.Daemons, f.Daemons)
	f.WaitOwned()
	Eventually(func() int { return doublyHeld(f) }, bound, poll).Should(BeZero())
}

// claims counts the claims of shards so far.
func claims(f *fleet.Fleet) int {
	n := 0
	for _, d := range f.Daemons {
		n += d.Logged("event=shard_claim")
	}
	return n
}

// expectOneExecution places an order at each of the daemons at once, again while
// it is refused as not_run, until all have answered alike.
func expectOneExecution(f *fleet.Fleet, key string, daemons []*fleet.Daemon) {
	GinkgoHelper()
	executions := make([]int64, len(daemons))
	all(len(daemons), func(i int) {
		Eventually(func() (err error) {
			executions[i], err = f.Order(daemons[i], key)
			return err
		}, 2*bound, poll).Should(Succeed(), "%s at %s", key, daemons[i].Name)
	})
	Expect(executions).To(HaveEach(executions[0]), key)
	Expect(f.Executions(key)).To(Equal(1), key)
}
