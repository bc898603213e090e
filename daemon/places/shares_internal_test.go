package places

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/fairshare"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

// earlierZoneReport is the report of the previous build.
type earlierZoneReport struct {
	Zone, Leader string
	Free         map[string]int
	Held         map[string]HeldWork
	Forwarded    bool
}

// Guards against leaders of two builds that do not understand each other's reports during
// a rolling upgrade.
func TestZoneReportsOfTwoBuildsAreCompatible(t *testing.T) {
	g := NewWithT(t)
	pass := func(from, to any) {
		var b bytes.Buffer
		g.Expect(gob.NewEncoder(&b).Encode(from)).To(Succeed())
		g.Expect(gob.NewDecoder(&b).Decode(to)).To(Succeed())
	}
	var earlier earlierZoneReport
	free := map[string]int{"g": 3}
	pass(ZoneReport{Zone: "z", Free: free, Shares: map[string]fairshare.Report{"g": {Number: 1, Used: map[string]float64{"a": 1}}}}, &earlier)
	g.Expect(earlier).To(Equal(earlierZoneReport{Zone: "z", Free: free}))
	var current ZoneReport
	pass(earlier, &current)
	g.Expect(current).To(Equal(ZoneReport{Zone: "z", Free: free}))
}

// Guards against reports of shares in each zone report, and against a leader that applies
// or sends them while the key is off.
func TestSharesAreReportedEveryInterval(t *testing.T) {
	for _, on := range []bool{false, true} {
		g := NewWithT(t)
		v := New(Options{Host: "h", Zone: "z", PeerAddress: "h", Logger: zap.NewNop(), Policy: slots.Policy{FairShares: on, Queue: on}})
		s := v.scheduler
		s.leads = true
		now := time.Unix(1000, 0)
		s.setTargets(map[string][]slots.Target{"g": {{Start: "t", Slots: 1}}}, nil, true)
		s.applyZoneReport(now, ZoneReport{Zone: "other", Leader: "l", Shares: map[string]fairshare.Report{"g": {Number: 1, Used: map[string]float64{"a": 1}}}})
		uses := s.ledger.ShareUses()
		g.Expect(len(uses) > 0).To(Equal(on))
		g.Expect(s.shareReports(now)).To(BeNil(), "no share is beyond its share")
		g.Expect(s.lastShareReport).To(Equal(now))
		s.shareReports(now.Add(shareReportEvery - 1))
		g.Expect(s.lastShareReport).To(Equal(now))
	}
}

// Guards against a leader whose metrics name each account of a large fleet, and against
// work that is missing in them.
func TestWorkOfSharesIsInTheMetrics(t *testing.T) {
	g := NewWithT(t)
	s, now := fairshare.New(), time.Unix(1000, 0)
	for i := range 100 {
		name := fmt.Sprint("a", i)
		s.Granted(now, name, s.Enter(now, name, float64(i+1), 1))
	}
	var b bytes.Buffer
	formatShareMetrics(&b, map[string][]fairshare.Use{"g": s.Uses(16)})
	g.Expect(strings.Count(b.String(), "\n")).To(Equal(16))
	g.Expect(b.String()).To(HavePrefix("tarragonhollow_share_work_total{group=\"g\",share=\"a99\"} 100\n"))
}

// Guards against a daemon that has stepped down and reports the shares of its time as a
// leader for good.
func TestOnlyALeaderWritesShareMetrics(t *testing.T) {
	g := NewWithT(t)
	s := New(Options{Host: "h", Zone: "z", PeerAddress: "h", Logger: zap.NewNop(), Policy: slots.Policy{FairShares: true, Queue: true}}).scheduler
	now := time.Unix(1000, 0)
	s.setTargets(map[string][]slots.Target{"g": {{Start: "t", Slots: 1}}}, nil, true)
	s.ledger.ApplyShareReports(now, "l", map[string]fairshare.Report{"g": {Number: 1}})
	for _, s.leads = range []bool{true, false} {
		g.Expect(len(s.shareUses()) > 0).To(Equal(s.leads))
	}
}
