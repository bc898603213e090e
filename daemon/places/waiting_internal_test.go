package places

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/election"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/slots"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/peer"
)

// scriptedLeaders answer requests for slots as a test says. Only the test's goroutine and
// the request under test use them, one after the other.
type scriptedLeaders struct {
	answer func(ctx context.Context, leader string, r slots.Request) (slots.Grant, error)
	asked  []slots.Request
}

func (l *scriptedLeaders) Call(ctx context.Context, address, _ string, args, reply any) error {
	r := args.(slots.Request)
	l.asked = append(l.asked, r)
	grant, err := l.answer(ctx, address, r)
	*reply.(*slots.Grant) = grant
	return err
}

func (l *scriptedLeaders) Notify(string, string, any) {}

// noAnswer is the answer of a leader that is dead or unreachable.
func noAnswer(ctx context.Context) (slots.Grant, error) {
	<-ctx.Done()
	return slots.Grant{}, peer.NoReply.Wrap(ctx.Err(), "leader")
}

// waitingScheduler returns the scheduler of the daemon "self", which follows the leader
// "a".
func waitingScheduler(leaders *scriptedLeaders) *scheduler {
	s := newScheduler(Options{PeerAddress: "self", Zone: "z", Peers: leaders, SlotTimeout: defaultSlotTimeout, Policy: slots.Policy{Queue: true},
		Logger: zap.NewNop(), Metrics: metrics.NewSet()}, func() bool { return true }, make(chan struct{}, 1))
	s.election.SetMembers(time.Now(), []election.Member{{Address: "a", Capacity: 3}, {Address: "b", Capacity: 2}, {Address: "self", Capacity: 1}})
	return s
}

// follow makes the scheduler follow a leader while a test runs.
func follow(ctx context.Context, s *scheduler, leader string) {
	for {
		s.mu.Lock()
		s.election.ReceiveHeartbeat(time.Now(), leader)
		s.mu.Unlock()
		if !duty.Pause(ctx, election.HeartbeatInterval) {
			return
		}
	}
}

// abandonedAt lists the leaders at which the lease number was ended.
func abandonedAt(s *scheduler) []string {
	s.leases.mu.Lock()
	defer s.leases.mu.Unlock()
	var list []string
	for _, e := range s.leases.ended {
		list = append(list, e.grantedBy)
	}
	return list
}

// waitFor requests a slot, and runs a step while the request waits.
func waitFor(t *testing.T, s *scheduler, patience time.Duration, during func(number uint64)) (grant slots.Grant, by string, answered bool) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go follow(ctx, s, "a")
	synctest.Wait()
	request := slots.Request{ID: slots.ID{Holder: "self", Number: s.leases.next()}, Group: "g", Patience: patience, DeadlineLeft: 5 * time.Second}
	go during(request.ID.Number)
	grant, by, answered, finish := s.requestOrWait(ctx, request, "id")
	if grant.Verdict == slots.Granted {
		s.leases.begin(request.ID.Number, localLease{target: roster.Target{Start: "t", Zone: "z"}, grantedBy: by})
	}
	finish()
	return grant, by, answered
}

func waitingAnswer(context.Context, string, slots.Request) (slots.Grant, error) {
	return slots.Grant{Verdict: slots.Waiting}, nil
}

// Guards against two leaders that both grant a slot to one request: the second slot would
// stay taken.
func TestSlotOfASecondLeaderIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := waitingScheduler(&scriptedLeaders{answer: waitingAnswer})
		var number uint64
		grant, by, _ := waitFor(t, s, time.Second, func(n uint64) {
			number = n
			time.Sleep(150 * time.Millisecond)
			s.deliver(WaitEnd{From: "b", Number: n, Grant: slots.Grant{Verdict: slots.Overloaded}})
			s.deliver(WaitEnd{From: "b", Number: n, Grant: slots.Grant{Verdict: slots.Granted, Target: "t"}})
			s.deliver(WaitEnd{From: "a", Number: n, Grant: slots.Grant{Verdict: slots.Granted, Target: "t"}})
		})
		g.Expect(grant.Verdict).To(Equal(slots.Granted))
		g.Expect(by).To(Equal("b"), "a refusal of a leader at which it does not wait is ignored")
		g.Expect(abandonedAt(s)).To(Equal([]string{"a"}))
		s.deliver(WaitEnd{From: "b", Number: number, Grant: slots.Grant{Verdict: slots.Granted}})
		g.Expect(abandonedAt(s)).To(Equal([]string{"a"}), "a delivery that arrives twice returns nothing")
		s.deliver(WaitEnd{From: "a", Number: number, Grant: slots.Grant{Verdict: slots.Granted}})
		g.Expect(abandonedAt(s)).To(Equal([]string{"a", "a"}))
		g.Expect(s.waits.byNumber).To(BeEmpty())
	})
}

// Guards against a request that waits for a dead leader until its caller leaves, and
// against one that loses its place because one renewal was lost.
func TestRequestGoesOnAfterTwoUnansweredRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		leaders := &scriptedLeaders{}
		leaders.answer = func(ctx context.Context, leader string, r slots.Request) (slots.Grant, error) {
			if n := len(leaders.asked); n == 2 || n > 3 {
				return noAnswer(ctx)
			}
			return waitingAnswer(ctx, leader, r)
		}
		s := waitingScheduler(leaders)
		began := time.Now()
		_, _, answered := waitFor(t, s, time.Second, func(uint64) {})
		g.Expect(answered).To(BeFalse())
		g.Expect(leaders.asked).To(HaveLen(5))
		// Two intervals, three calls without an answer, and two shorter pauses after those.
		g.Expect(time.Since(began)).To(Equal(2*slots.RenewWaitInterval + 3*defaultSlotTimeout + 2*retryRenewalAfter))
		g.Expect(abandonedAt(s)).To(Equal([]string{"a"}))
		for i, r := range leaders.asked {
			g.Expect(r.ID).To(Equal(leaders.asked[0].ID))
			g.Expect(r.Waited + r.Patience).To(Equal(time.Second))
			g.Expect(r.Waited + r.DeadlineLeft).To(Equal(5 * time.Second))
			g.Expect(i == 0 || r.Waited > leaders.asked[i-1].Waited).To(BeTrue())
		}
	})
}

// Guards against a request that waits past its maximum wait because its leader neither
// grants nor refuses.
func TestHolderEndsTheWaitAtTheMaximumWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := waitingScheduler(&scriptedLeaders{answer: waitingAnswer})
		began := time.Now()
		grant, _, answered := waitFor(t, s, 330*time.Millisecond, func(uint64) {})
		g.Expect(answered).To(BeTrue())
		g.Expect(grant.Verdict).To(Equal(slots.Overloaded))
		g.Expect(time.Since(began)).To(Equal(330 * time.Millisecond))
		g.Expect(abandonedAt(s)).To(Equal([]string{"a"}))
	})
}

// Guards against a request that was sent to another zone's queue and waits there although
// that zone no longer has room for it.
func TestRequestReturnsFromAnotherZonesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		leaders := &scriptedLeaders{}
		leaders.answer = func(_ context.Context, leader string, r slots.Request) (slots.Grant, error) {
			g.Expect(r.Patience).To(Equal(time.Second - slots.RenewWaitInterval))
			if leader == "remote" {
				g.Expect(r.Visiting && r.Preempts).To(BeTrue())
				return slots.Grant{Verdict: slots.None}, nil
			}
			g.Expect(r.Stay).To(BeTrue())
			return slots.Grant{Verdict: slots.Granted, Target: "t"}, nil
		}
		s := waitingScheduler(leaders)
		go follow(t.Context(), s, "a")
		synctest.Wait()
		w := s.waits.begin(slots.Request{ID: slots.ID{Holder: "self", Number: 1}, Group: "g", Patience: time.Second}, "id")
		s.waits.record(1, "remote", true, slots.Waiting)
		grant, by, answered := s.await(t.Context(), w, 0, "remote")
		g.Expect(answered).To(BeTrue())
		g.Expect(grant.Verdict).To(Equal(slots.Granted))
		g.Expect(by).To(Equal("a"))
		s.finishWait(w, by)
		g.Expect(abandonedAt(s)).To(Equal([]string{"remote"}))
	})
}

// Guards against a request that is refused because the queue of another zone is full,
// without a try in its own zone.
func TestRefusalOfAnotherZoneLeadsToTheOwnQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		leaders := &scriptedLeaders{}
		leaders.answer = func(_ context.Context, leader string, r slots.Request) (slots.Grant, error) {
			g.Expect(leader).To(Equal("a"))
			g.Expect(r.Stay).To(BeTrue())
			return slots.Grant{Verdict: slots.Granted, Target: "t"}, nil
		}
		s := waitingScheduler(leaders)
		go follow(t.Context(), s, "a")
		synctest.Wait()
		began := time.Now()
		w := s.waits.begin(slots.Request{ID: slots.ID{Holder: "self", Number: 1}, Group: "g", Patience: time.Second}, "id")
		s.waits.record(1, "remote", true, slots.Waiting)
		s.deliver(WaitEnd{From: "remote", Number: 1, Grant: slots.Grant{Verdict: slots.Overloaded}})
		grant, by, answered := s.await(t.Context(), w, 0, "remote")
		g.Expect(answered).To(BeTrue())
		g.Expect(grant.Verdict).To(Equal(slots.Granted))
		g.Expect(by).To(Equal("a"))
		g.Expect(time.Since(began)).To(BeZero())
	})
}

// Guards against a request that is sent to a target although its caller has left, because
// the leader answered no renewal either.
func TestCallerLeavesDuringAnUnansweredRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		leaders := &scriptedLeaders{}
		leaders.answer = func(ctx context.Context, _ string, _ slots.Request) (slots.Grant, error) { return noAnswer(ctx) }
		s := waitingScheduler(leaders)
		go follow(t.Context(), s, "a")
		synctest.Wait()
		w := s.waits.begin(slots.Request{ID: slots.ID{Holder: "self", Number: 1}, Group: "g", Patience: time.Second}, "id")
		s.waits.record(1, "a", true, slots.Waiting)
		ctx, leave := context.WithTimeout(t.Context(), slots.RenewWaitInterval+defaultSlotTimeout+retryRenewalAfter+defaultSlotTimeout/2)
		defer leave()
		grant, _, answered := s.await(ctx, w, 0, "a")
		g.Expect(leaders.asked).To(HaveLen(2))
		g.Expect(answered).To(BeTrue())
		g.Expect(grant.Verdict).To(Equal(slots.Waiting), "the verdict for a caller that has left")
	})
}

// Guards against a slot that stays taken because its delivery arrives just before the
// request gets a slot of another leader, and the granting leader's answers were lost.
func TestDeliveryThatIsNotUsedIsReturned(t *testing.T) {
	g := NewWithT(t)
	s := waitingScheduler(&scriptedLeaders{})
	w := s.waits.begin(slots.Request{ID: slots.ID{Holder: "self", Number: 1}, Group: "g", Patience: time.Second}, "id")
	s.deliver(WaitEnd{From: "b", Number: 1, Grant: slots.Grant{Verdict: slots.Granted, Target: "t"}})
	g.Expect(abandonedAt(s)).To(BeEmpty(), "the request may still use it")
	s.finishWait(w, "a")
	g.Expect(abandonedAt(s)).To(Equal([]string{"b"}))
}

// Guards against a place in the queue of another zone that stays taken after the leader
// there has not answered, while the request waits in its own zone.
func TestRequestLeavesAnotherZoneThatDoesNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		leaders := &scriptedLeaders{}
		leaders.answer = func(ctx context.Context, leader string, r slots.Request) (slots.Grant, error) {
			if leader == "remote" {
				return noAnswer(ctx)
			}
			return waitingAnswer(ctx, leader, r)
		}
		s := waitingScheduler(leaders)
		go follow(t.Context(), s, "a")
		synctest.Wait()
		w := s.waits.begin(slots.Request{ID: slots.ID{Holder: "self", Number: 1}, Group: "g", Patience: time.Second}, "id")
		s.waits.record(1, "remote", true, slots.Waiting)
		ctx, leave := context.WithTimeout(t.Context(), slots.RenewWaitInterval+defaultSlotTimeout+time.Millisecond)
		defer leave()
		_, by, _ := s.await(ctx, w, 0, "remote")
		g.Expect(by).To(Equal("a"))
		g.Expect(abandonedAt(s)).To(Equal([]string{"remote"}))
	})
}
