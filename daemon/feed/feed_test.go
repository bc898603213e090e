package feed

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/feed"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/daemon/places"
)

func TestFeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "feed")
}

// fakeTargets is a view of the targets that knows all of them.
type fakeTargets struct {
	zone   places.Zone
	cutOff bool
	roles  places.Roles
}

func (t *fakeTargets) LocalZone() places.Zone                  { return t.zone }
func (t *fakeTargets) AdoptVersions(time.Time, []string, bool) {}
func (t *fakeTargets) SetRoles(r places.Roles)                 { t.roles = r }
func (t *fakeTargets) SetCutOffFromLog(cutOff bool)            { t.cutOff = cutOff }
func (t *fakeTargets) Sample(string, bool, []string) (places.Sample, bool) {
	return places.Sample{}, true
}
func (t *fakeTargets) TargetsChanged() <-chan struct{}                               { return nil }
func (t *fakeTargets) Adopt(time.Time, []roster.Target, bool)                        {}
func (t *fakeTargets) Confirm(time.Time, map[string]roster.Start)                    {}
func (t *fakeTargets) AdoptDepartures(time.Time, map[string]places.SampledDeparture) {}
func (t *fakeTargets) BusyTargets() []string                                         { return nil }
func (t *fakeTargets) TargetsAge(time.Time) (age time.Duration, complete bool)       { return 0, true }
func (t *fakeTargets) Rebuild()                                                      {}

// fakeConfiguration is a configuration that was just confirmed.
type fakeConfiguration struct{}

func (fakeConfiguration) Packed(int64) ([]byte, bool, time.Duration) { return nil, true, 0 }
func (fakeConfiguration) ApplyPacked([]byte, string) error           { return nil }
func (fakeConfiguration) Confirm(time.Time)                          {}
func (fakeConfiguration) Age(time.Time) time.Duration                { return 0 }
func (fakeConfiguration) Version() int64                             { return 1 }
func (fakeConfiguration) Changed() <-chan struct{}                   { return nil }

// calls records the notifications to other daemons.
type calls struct{ reports []ReaderReport }

func (n *calls) Call(context.Context, string, string, any, any) error { return nil }

func (n *calls) Notify(_, _ string, args any) { n.reports = append(n.reports, args.(ReaderReport)) }

var _ = Describe("A daemon of a large zone", func() {
	var (
		f       *Feed
		targets *fakeTargets
		sent    *calls
		// answers reports whether the log answers this daemon.
		answers bool
		now     time.Time
	)
	BeforeEach(func() {
		answers = false
		now = time.Now()
		sent = &calls{}
		targets = &fakeTargets{zone: places.Zone{Leader: "leader", ReceivedAt: now, Members: []string{"leader", "self", "other"},
			Roles: places.Roles{Readers: []feed.Reader{{Address: "leader", Age: 0}, {Address: "self", Age: feed.Never}}}}}
		f = New(Options{Host: "self", Self: "self", Large: func() (bool, bool) { return true, true }, FleetSize: func() int { return 3 },
			Configuration: fakeConfiguration{}, Targets: targets, Peers: sent, Logger: zap.NewNop(), Metrics: metrics.NewSet()})
		read := func(ctx context.Context, answered func()) {
			if answers {
				answered()
			}
			<-ctx.Done()
		}
		f.configurationReading.setLoop(read)
		f.targetReading.setLoop(read)
		DeferCleanup(func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.configurationReading.Stop()
			f.targetReading.Stop()
		})
	})
	step := func() { f.step(context.Background(), now) }

	// Guards against a standby that the log rejects and that counts as a reader because
	// the leader sent it all targets a moment ago: it would lead with an outdated list.
	It("reports the age of its own reading to the leader, and not of what others passed on", func() {
		step()
		Expect(sent.reports).To(HaveLen(1))
		Expect(sent.reports[0].Age).To(Equal(feed.Never))
		Expect(targets.cutOff).To(BeTrue())
	})

	It("may lead once the log answers it", func() {
		answers = true
		step()
		Eventually(func() bool {
			now = now.Add(reportEvery)
			targets.zone.ReceivedAt = now
			step()
			return targets.cutOff
		}).Should(BeFalse())
		Expect(sent.reports[len(sent.reports)-1].Age).NotTo(Equal(feed.Never))
	})

	// Guards against a zone that has no leader for seconds after its leader was lost,
	// because the lost leader is still known to have reached the log.
	It("may lead at once where the leader that reached the log is lost", func() {
		targets.zone.Readers = targets.zone.Readers[:1]
		step()
		Expect(targets.cutOff).To(BeTrue())
		targets.zone.Leader = ""
		step()
		Expect(targets.cutOff).To(BeFalse())
	})

	// Guards against two daemons that the log rejects and that alternately take the
	// leadership from a third one, which the log serves.
	It("leaves the leadership to a reader that reaches the log, whoever leads at the moment", func() {
		targets.zone.Readers = []feed.Reader{{Address: "leader", Age: time.Hour}, {Address: "other", Age: 0}}
		step()
		Expect(targets.cutOff).To(BeTrue())
		targets.zone.Leader = ""
		step()
		Expect(targets.cutOff).To(BeTrue())
		targets.zone.Leads, targets.zone.Leader = true, "self"
		step()
		Expect(targets.cutOff).To(BeTrue())
	})
})
