package waitqueue_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragonhollow.example/tarragonhollow/core/waitqueue"
)

type entry = waitqueue.Entry[string]

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// order returns the values of all entries in order.
func order(q *waitqueue.Queue[string], now time.Time) []string {
	var list []string
	q.Each(now, func(e *entry) bool {
		list = append(list, e.Value)
		return true
	})
	return list
}

// Guards against a change of the order in which waiting requests get slots.
func TestOrder(t *testing.T) {
	g := NewWithT(t)
	q := waitqueue.New[string](nil)
	for _, e := range []*entry{
		{Value: "rank 1", Rank: 1, Returning: true, LatestStart: at(10), Deadline: at(100)},
		{Value: "late, second deadline", LatestStart: at(-2), Deadline: at(300)},
		{Value: "late, first deadline", LatestStart: at(-1), Deadline: at(200)},
		{Value: "second start", LatestStart: at(60), Deadline: at(100)},
		{Value: "first start", LatestStart: at(50), Deadline: at(900)},
		{Value: "late, returning", Returning: true, LatestStart: at(-3), Deadline: at(200)},
		{Value: "returning", Returning: true, LatestStart: at(90), Deadline: at(400)},
		{Value: "arrived earlier", LatestStart: at(60), Deadline: at(100), Arrived: at(-5)},
	} {
		if e.Arrived.IsZero() {
			e.Arrived = start
		}
		q.Add(start, e, at(1000))
	}
	g.Expect(order(q, start)).To(Equal([]string{"returning", "late, returning", "first start", "arrived earlier", "second start",
		"late, first deadline", "late, second deadline", "rank 1"}))
	// 55 ms later one has missed its objective, and its deadline is the last one.
	g.Expect(order(q, at(55))).To(Equal([]string{"returning", "late, returning", "arrived earlier", "second start",
		"late, first deadline", "late, second deadline", "first start", "rank 1"}))
	g.Expect(q.First(at(55)).Value).To(Equal("returning"))
	g.Expect(q.Last(at(55)).Value).To(Equal("rank 1"))
}

// limits lets requests with a tag up to a limit be within their share. Tags are the work
// of the request.
type limits struct {
	limit   float64
	waiting map[float64]int
}

func (s *limits) Enter(_ time.Time, _ string, work, _ float64) float64 {
	s.waiting[work]++
	return work
}
func (s *limits) Within(tag float64) bool { return tag <= s.limit }
func (s *limits) leave(tag float64) {
	if s.waiting[tag]--; s.waiting[tag] == 0 {
		delete(s.waiting, tag)
	}
}
func (s *limits) Granted(_ time.Time, _ string, tag float64) { s.leave(tag) }
func (s *limits) Left(_ string, tag float64)                 { s.leave(tag) }

// Guards against requests that stay behind although the virtual time has passed their tag.
func TestRequestsMoveIntoTheirShare(t *testing.T) {
	g := NewWithT(t)
	s := &limits{limit: 1, waiting: map[float64]int{}}
	q := waitqueue.New[string](s)
	for _, e := range []*entry{
		{Value: "within", Work: 1, LatestStart: at(90)},
		{Value: "far beyond", Work: 3, LatestStart: at(10)},
		{Value: "beyond", Work: 2, LatestStart: at(20)},
	} {
		q.Add(start, e, at(1000))
	}
	g.Expect(order(q, start)).To(Equal([]string{"within", "beyond", "far beyond"}))
	s.limit = 2
	g.Expect(order(q, start)).To(Equal([]string{"beyond", "within", "far beyond"}))
	g.Expect(q.Within(q.Last(start))).To(BeFalse())
	s.limit = 0
	g.Expect(order(q, start)).To(Equal([]string{"within", "beyond", "far beyond"}))
	for q.Len() > 0 {
		q.Grant(start, q.First(start))
	}
	g.Expect(s.waiting).To(BeEmpty())
}

// reference is the order of the queue as a sort of all entries.
func reference(s *limits, now time.Time, list []*entry, sequence map[*entry]int) []*entry {
	sorted := slices.Clone(list)
	late := func(e *entry) bool { return now.After(e.LatestStart) }
	number := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	slices.SortFunc(sorted, func(a, b *entry) int {
		first := cmp.Or(cmp.Compare(a.Rank, b.Rank), number(!s.Within(a.Work))-number(!s.Within(b.Work)))
		ties := cmp.Or(a.Arrived.Compare(b.Arrived), sequence[a]-sequence[b])
		if first != 0 || !s.Within(a.Work) {
			return cmp.Or(first, cmp.Compare(a.Work, b.Work), ties)
		}
		if order := cmp.Or(number(b.Returning)-number(a.Returning), number(late(a))-number(late(b))); order != 0 {
			return order
		}
		if late(a) {
			return cmp.Or(a.Deadline.Compare(b.Deadline), ties)
		}
		return cmp.Or(a.LatestStart.Compare(b.LatestStart), ties)
	})
	return sorted
}

// Guards against entries that are lost, out of order, counted wrongly, or left behind when
// the queue drains, whatever enters, leaves and expires while time and shares advance.
func TestQueueMatchesASort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &limits{limit: 2, waiting: map[float64]int{}}
		q := waitqueue.New[string](s)
		now := start
		var list []*entry
		sequence, expires := map[*entry]int{}, map[*entry]time.Time{}
		drop := func(e *entry) { list = slices.DeleteFunc(list, func(x *entry) bool { return x == e }) }
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "ms")) * time.Millisecond)
			s.limit += float64(rapid.IntRange(0, 3).Draw(t, "advance")) / 3
			number := rapid.IntRange(0, 40)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				e := &entry{Value: fmt.Sprint(step), Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Returning: rapid.Bool().Draw(t, "returning"),
					Work: float64(number.Draw(t, "work")), Arrived: now.Add(-time.Duration(number.Draw(t, "age")) * time.Millisecond),
					LatestStart: now.Add(time.Duration(number.Draw(t, "start")-20) * time.Millisecond),
					Deadline:    now.Add(time.Duration(number.Draw(t, "deadline")) * time.Millisecond)}
				sequence[e], expires[e] = step, now.Add(time.Duration(number.Draw(t, "expires"))*time.Millisecond)
				q.Add(now, e, expires[e])
				list = append(list, e)
			case 3:
				if e := q.First(now); e != nil {
					q.Grant(now, e)
					drop(e)
				}
			case 4:
				if len(list) > 0 {
					e := rapid.SampledFrom(list).Draw(t, "leaves")
					q.Remove(e)
					drop(e)
				}
			case 5:
				if len(list) > 0 {
					e := rapid.SampledFrom(list).Draw(t, "renewed")
					expires[e] = now.Add(10 * time.Millisecond)
					q.Renew(e, expires[e])
				}
				for e := q.Expired(now); e != nil; e = q.Expired(now) {
					if expires[e].After(now) {
						t.Fatalf("%s expired early", e.Value)
					}
					q.Remove(e)
					drop(e)
				}
				for _, e := range list {
					if !expires[e].After(now) {
						t.Fatalf("%s did not expire", e.Value)
					}
				}
			}
			want := reference(s, now, list, sequence)
			var values []string
			for i, e := range want {
				values = append(values, e.Value)
				if ahead := q.Ahead(now, e); ahead != i {
					t.Fatalf("%d ahead of %s, want %d", ahead, e.Value, i)
				}
			}
			if got := order(q, now); !slices.Equal(got, values) || q.Len() != len(list) {
				t.Fatalf("order %v, want %v", got, values)
			}
			if len(want) > 0 && q.Last(now) != want[len(want)-1] {
				t.Fatalf("last is %s", q.Last(now).Value)
			}
		}
		for q.Len() > 0 {
			q.Remove(q.Last(now))
		}
		if q.First(now) != nil || q.Last(now) != nil || len(s.waiting) > 0 {
			t.Fatalf("the drained queue keeps state: %v", s.waiting)
		}
	})
}
