package orders_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/orders"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Fences are ordered by their tenure records, and within a record by the sequence of the
// orders; beyond the bounds there is no fence.
func TestFenceOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offset := func(name string) int64 { return rapid.Int64Range(-1, orders.MaxOffset+1).Draw(t, name) }
		seq := func(name string) uint32 { return rapid.Uint32Range(0, orders.MaxSeq+1).Draw(t, name) }
		o1, s1, o2, s2 := offset("o1"), seq("s1"), offset("o2"), seq("s2")
		f1, ok1 := orders.Fence(o1, s1)
		f2, ok2 := orders.Fence(o2, s2)
		if want := o1 >= 0 && o1 <= orders.MaxOffset && s1 <= orders.MaxSeq; ok1 != want {
			t.Fatalf("Fence(%d, %d) ok %t", o1, s1, ok1)
		}
		if ok1 && ok2 && (f1 < f2) != (o1 < o2 || o1 == o2 && s1 < s2) {
			t.Fatalf("fences %d and %d", f1, f2)
		}
	})
}

// A claim is valid if no record before it has a higher term and the first record of its
// term is its writer's. The naive model searches the whole history each time.
func TestClaimsAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims, history := orders.NewClaims(), []orders.Claim{}
		for range rapid.IntRange(1, 30).Draw(t, "records") {
			c := orders.Claim{
				Shard:  rapid.IntRange(0, 1).Draw(t, "shard"),
				Term:   rapid.Uint64Range(1, 4).Draw(t, "term"),
				Holder: rapid.SampledFrom([]string{"a#1", "b#1"}).Draw(t, "holder"),
			}
			want := true
			first := ""
			for _, h := range history {
				if h.Shard == c.Shard && h.Term == c.Term && first == "" {
					first = h.Holder
				}
				want = want && (h.Shard != c.Shard || h.Term <= c.Term)
			}
			want = want && (first == "" || first == c.Holder)
			if got := claims.Apply(int64(len(history)), c); got != want {
				t.Fatalf("%+v after %+v: valid %t", c, history, got)
			}
			history = append(history, c)
		}
	})
}

// engine is the actual state of a target; the planner sees it late or not at all.
type engine struct {
	version, reported string
	loadsUntil        int64
	leaving, silent   bool
	// down engines serve no requests; silent ones may serve, but did not answer now.
	down bool
}

func (e *engine) loading(now int64) bool { return now < e.loadsUntil }

// The simulation tracks the actual state next to the planner's view. With any losses, lags
// and failures, at most the allowed share loads, the minimum share keeps serving, no leaving
// or silent target gets an order, and after the faults end all targets get the version.
func TestPlannerKeepsTheGroupServing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opt := orders.DefaultOptions()
		fleet := make([]engine, rapid.IntRange(2, 9).Draw(t, "targets"))
		for i := range fleet {
			fleet[i] = engine{version: "1", reported: "1"}
		}
		p, now, wanted := orders.NewPlanner(opt), int64(1_000_000), "2"
		lastOrder := int64(-1 << 40)
		storeKnown := false
		step := func(faults bool) {
			now += rapid.Int64Range(200, 4000).Draw(t, "pass")
			if faults && rare(t, "publish", 40) {
				wanted, storeKnown = wanted+"'", false
			}
			goal := orders.Goal{Model: "menu", Version: wanted}
			usable := 0
			for i := range fleet {
				e := &fleet[i]
				e.silent = faults && rare(t, "silent", 9)
				e.leaving = faults && (e.leaving || i > 1 && rare(t, "leave", 400))
				e.down = faults && rare(t, "down", 9)
				if !faults || rapid.Bool().Draw(t, "report is fresh") {
					e.reported = e.version
				}
				o := orders.Observation{Address: fmt.Sprint("t", i), Leaving: e.leaving}
				if !e.silent && !e.down {
					o.Reported, o.Model, o.Version = true, "menu", e.reported
					o.State = orders.Serving
				}
				switch {
				case faults && rare(t, "probe lost", 5):
					o.State = orders.Unknown
				case o.Reported && e.loading(now):
					o.State = orders.Loading
				}
				if !e.leaving {
					usable++
				}
				goal.Targets = append(goal.Targets, o)
			}
			plan := p.Step(now, goal)
			for _, order := range plan.Orders {
				var i int
				_, _ = fmt.Sscanf(order.Address, "t%d", &i)
				e := &fleet[i]
				if e.leaving || e.silent || e.down || !storeKnown || now-lastOrder < opt.SpacingMs {
					t.Fatalf("order to %+v, store %t, %d ms after the last", *e, storeKnown, now-lastOrder)
				}
				lastOrder = now
				out, arrives := orders.Accepted, true
				if faults {
					out = orders.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
					arrives = out == orders.Accepted || out == orders.Lost && rapid.Bool().Draw(t, "arrives")
				}
				if arrives {
					e.version, e.loadsUntil = wanted, now+rapid.Int64Range(1, 30_000).Draw(t, "load")
				}
				p.Sent(now, order.Address, out)
				loading, serving := 0, 0
				for _, e := range fleet {
					switch {
					case e.leaving:
					case e.loading(now):
						loading++
					case !e.down:
						serving++
					}
				}
				if loading > max(1, usable/4) || usable > 1 && serving < max(1, usable/2) {
					t.Fatalf("%d load and %d serve of %d", loading, serving, usable)
				}
			}
			if p.NeedsStore(now, goal) {
				answer := orders.StoreAnswer(0)
				if faults {
					answer = orders.StoreAnswer(max(0, rapid.IntRange(-3, 2).Draw(t, "store")))
				}
				p.StoreAnswered(now, answer, 0)
				storeKnown = answer == orders.StoreHas
			}
		}
		for range rapid.IntRange(0, 120).Draw(t, "steps with faults") {
			step(true)
		}
		for range 400 {
			step(false)
		}
		for i, e := range fleet {
			if e.version != wanted {
				t.Fatalf("target %d has %s, not %s", i, e.version, wanted)
			}
		}
	})
}

// rare is true about once in n draws; rapid draws small numbers more often.
func rare(t *rapid.T, name string, n int) bool { return rapid.IntRange(0, n).Draw(t, name) == n-1 }
