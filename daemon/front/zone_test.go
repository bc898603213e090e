package front

import (
	"context"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/feed"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
	"tarragonhollow.example/tarragonhollow/extern/partlog/fakepartlog"
	"tarragonhollow.example/tarragonhollow/peer"
	"tarragonhollow.example/tarragonhollow/peer/fakepeer"
)

const (
	largeZones   = 2
	zoneDaemons  = 30
	fleetTargets = 600
	zoneLimit    = 60 * time.Second
)

var (
	configurations = partlog.Partition{Topic: "configurations"}
	entries        = partlog.Partition{Topic: "entries"}
)

// countingLog is the log as one daemon reaches it. It counts the calls and can reject the
// daemon.
type countingLog struct {
	partlog.Log
	calls     atomic.Int64
	rejecting atomic.Bool
}

func (l *countingLog) countCall() error {
	l.calls.Add(1)
	if l.rejecting.Load() {
		return partlog.Unavailable.New("daemon rejected")
	}
	return nil
}

func (l *countingLog) Append(ctx context.Context, p partlog.Partition, records []partlog.Record, at int64) (int64, error) {
	if err := l.countCall(); err != nil {
		return 0, err
	}
	return l.Log.Append(ctx, p, records, at)
}

func (l *countingLog) Read(ctx context.Context, p partlog.Partition, from int64, wait time.Duration) (partlog.Page, error) {
	if err := l.countCall(); err != nil {
		return partlog.Page{}, err
	}
	return l.Log.Read(ctx, p, from, wait)
}

func (l *countingLog) Newest(ctx context.Context, p partlog.Partition, after string) (partlog.NewestPage, error) {
	if err := l.countCall(); err != nil {
		return partlog.NewestPage{}, err
	}
	return l.Log.Newest(ctx, p, after)
}

// network passes the calls between daemons in one process; calls from and to dead daemons
// fail.
type network struct {
	fakepeer.Receivers

	mu   sync.Mutex
	dead map[string]bool
}

func (n *network) kill(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead[address] = true
}

// cut reports whether one of the daemons is dead.
func (n *network) cut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead[from] || n.dead[to]
}

// endpoint is one daemon's access to the network.
type endpoint struct {
	network *network
	address string
}

// Call implements peer.Caller.
func (e endpoint) Call(ctx context.Context, address, method string, args, reply any) error {
	if e.network.cut(e.address, address) {
		return peer.Unreachable.New("%s", address)
	}
	var answer any
	if reply != nil {
		// The reply to a call that timed out must not be written into the caller's
		// variable.
		answer = reflect.New(reflect.TypeOf(reply).Elem()).Interface()
	}
	ended := make(chan error, 1)
	go func() { ended <- e.network.Invoke(address, method, args, answer) }()
	select {
	case err := <-ended:
		if err == nil && reply != nil {
			reflect.ValueOf(reply).Elem().Set(reflect.ValueOf(answer).Elem())
		}
		return err
	case <-ctx.Done():
		return peer.NoReply.Wrap(ctx.Err(), "%s", method)
	}
}

// Notify implements peer.Caller.
func (e endpoint) Notify(address, method string, args any) {
	go func() { _ = e.Call(context.Background(), address, method, args, nil) }() // one way
}

// member is one daemon of a large fleet: its lists, its targets and its configuration.
type member struct {
	name          string
	log           *countingLog
	hosts         *hosts
	places        *places.Places
	configuration *Configuration
	feed          *feed.Feed
	stop          func()
}

// configurationLog applies configurations that are written as their number.
type configurationLog struct {
	*Configuration
	position int64
	answered func()
}

func (c *configurationLog) Position() int64 { return c.position }

func (c *configurationLog) Load(records []partlog.StoredRecord, end int64) {
	for _, k := range records {
		_ = c.Configuration.Apply(k.Value, "log")
	}
	c.position = end
}

func (c *configurationLog) Apply(page partlog.Page) { c.Load(page.Records, page.Next) }

func (c *configurationLog) CallEnded(asOf time.Time, err error) {
	if !asOf.IsZero() {
		c.Confirm(asOf)
	}
	if err == nil {
		c.answered()
	}
}

// entryLog applies target entries; the value is the zone, with a prefix for a draining
// target.
type entryLog struct {
	places   *places.Places
	position int64
	answered func()
}

func (e *entryLog) Position() int64 { return e.position }

func (e *entryLog) Load(records []partlog.StoredRecord, end int64) {
	var all []roster.Target
	for _, k := range records {
		all = append(all, targetOf(k))
	}
	e.places.Update(func(now time.Time, r *roster.Roster) {
		r.StoreAnswered(now)
		r.Replace(now, all)
	})
	e.position = end
}

func (e *entryLog) Apply(page partlog.Page) {
	e.places.Update(func(now time.Time, r *roster.Roster) {
		r.StoreAnswered(now)
		for _, k := range page.Records {
			r.Set(now, targetOf(k))
		}
	})
	e.position = page.Next
}

func (e *entryLog) CallEnded(_ time.Time, err error) {
	if err == nil {
		e.answered()
	}
}

const drains = "draining "

func targetOf(k partlog.StoredRecord) roster.Target {
	zone, draining := strings.CutPrefix(string(k.Value), drains)
	return roster.Target{ID: k.Key, Group: "g", Address: k.Key, Zone: zone, Slots: 4, Draining: draining}
}

// zoneFleet is a fleet whose zones are large, in one process.
type zoneFleet struct {
	log     *fakepartlog.Log
	network *network
	members []*member
}

func newZoneFleet() *zoneFleet {
	f := &zoneFleet{log: fakepartlog.New(4), network: &network{dead: map[string]bool{}}}
	f.log.SetPageSize(200)
	for i := range fleetTargets {
		f.put(entries, fmt.Sprint("t", i), fmt.Sprint("z", i%largeZones+1))
	}
	f.put(configurations, "config", "1")
	// The fleet ran before: its daemons are in the lists.
	var all []*member
	for i := range largeZones * zoneDaemons {
		m := f.newMember(i)
		all = append(all, m)
		f.put(m.hosts.localList().partition, m.name, string(encodeEntry(m.hosts.Local)))
	}
	for _, m := range all {
		f.start(m)
	}
	f.members = all
	return f
}

func (f *zoneFleet) put(p partlog.Partition, key, value string) {
	_, err := f.log.Append(context.Background(), p, []partlog.Record{{Key: key, Value: []byte(value)}}, partlog.AnyOffset)
	Expect(err).NotTo(HaveOccurred())
}

func (f *zoneFleet) newMember(i int) *member {
	m := &member{name: fmt.Sprintf("%d:%d", i/largeZones+1, i%largeZones+1), log: &countingLog{Log: f.log}}
	self := places.Peer{Address: m.name, Zone: fmt.Sprint("z", i%largeZones+1), Cores: 0.2}
	set := metrics.NewSet()
	caller := endpoint{f.network, m.name}
	o := hostsOf(m.log, m.name, m.name, self.Zone)
	o.Local = self
	m.hosts = newHosts(o)
	m.configuration = newTestConfiguration()
	m.configuration.Peers, m.configuration.ListPeers = caller, m.hosts.peers
	m.places = places.New(places.Options{Host: m.name, Zone: self.Zone, PeerAddress: m.name, Cores: self.Cores, FleetSize: m.hosts.fleetSize,
		LargeZone: m.hosts.isLarge, Peers: caller, SlotTimeout: zoneLimit, Logger: zap.NewNop()})
	m.feed = feed.New(feed.Options{Host: m.name, Self: m.name, Large: m.hosts.large, FleetSize: m.hosts.knownFleetSize, Configuration: m.configuration,
		Targets: m.places, Peers: caller, Logger: zap.NewNop(), Metrics: set})
	m.hosts.readsLog, m.hosts.leaderFleetSize = m.feed.ReadsLog, m.places.LeaderFleetSize
	Expect(m.places.Register(f.network.At(m.name))).To(Succeed())
	Expect(m.feed.Register(f.network.At(m.name))).To(Succeed())
	return m
}

func (f *zoneFleet) start(m *member) {
	ctx, cancel := context.WithCancel(context.Background())
	group := duty.NewGroup(ctx)
	group.Go(m.hosts.run)
	group.Go(func(ctx context.Context) { m.places.Lead(ctx, m.hosts.peers) })
	group.Go(m.places.ReportLeases)
	pace := partlog.ReadOptions{Wait: 300 * time.Millisecond}
	m.feed.Run(group,
		func(ctx context.Context, answered func()) {
			partlog.Follow(ctx, m.log, configurations, pace, &configurationLog{m.configuration, -1, answered})
		},
		func(ctx context.Context, answered func()) {
			partlog.Follow(ctx, m.log, entries, pace, &entryLog{m.places, -1, answered})
		})
	m.stop = sync.OnceFunc(func() {
		f.network.kill(m.name)
		cancel()
		group.Wait()
	})
}

// stop stops all daemons together.
func (f *zoneFleet) stop() {
	var stopping sync.WaitGroup
	for _, m := range f.members {
		stopping.Go(m.stop)
	}
	stopping.Wait()
}

// leader returns the daemon that leads a zone, nil for none.
func (f *zoneFleet) leader(zone string) *member {
	for _, m := range f.members {
		if m.hosts.Local.Zone == zone && m.places.LocalZone().Leads {
			return m
		}
	}
	return nil
}

// readers counts the daemons that read the targets.
func (f *zoneFleet) readers() int {
	n := 0
	for _, m := range f.members {
		if m.feed.ReadsLog() {
			n++
		}
	}
	return n
}

// awaitSupplied waits until all daemons except the given one hold a version and know
// targets.
func (f *zoneFleet) awaitSupplied(version int, except ...*member) {
	GinkgoHelper()
	for _, m := range f.members {
		if len(except) > 0 && m == except[0] {
			continue
		}
		Eventually(m.configuration.Version).WithTimeout(zoneLimit).Should(BeEquivalentTo(version), m.name)
		Eventually(func() bool { return m.places.HasTargets("g") }).WithTimeout(zoneLimit).Should(BeTrue(), m.name)
	}
}

// acquireAndRelease acquires a slot at a member, releases it, and returns the target's
// ID.
func (m *member) acquireAndRelease() string {
	slot, refusal := m.places.Acquire(context.Background(), places.Request{Group: "g", MaxWait: time.Second})
	if refusal != nil {
		return ""
	}
	m.places.Release(slot, routing.Neutral, 0)
	return slot.ID
}

var _ = Describe("A fleet of large zones", func() {
	var f *zoneFleet
	BeforeEach(func() {
		f = newZoneFleet()
		DeferCleanup(f.stop)
		f.awaitSupplied(1)
	})

	// If each host reads everything, the log serves only a part of the calls at a
	// thousand hosts, and hosts keep old routes and know few targets.
	It("reads the log at one daemon of each zone", func() {
		Eventually(f.readers).WithTimeout(zoneLimit).Should(Equal(largeZones))
		before := map[*member]int64{}
		for _, m := range f.members {
			before[m] = m.log.calls.Load()
		}
		for version := 2; version <= 13; version++ {
			f.put(configurations, "config", strconv.Itoa(version))
		}
		f.awaitSupplied(13)
		calls := int64(0)
		for _, m := range f.members {
			if !m.feed.ReadsLog() {
				calls += m.log.calls.Load() - before[m]
			}
		}
		// A subscriber only repeats the read of its zone's list.
		Expect(calls).To(BeNumerically("<", 2*len(f.members)))
	})

	It("uses every target, though each daemon holds few", func() {
		Eventually(f.readers).WithTimeout(zoneLimit).Should(Equal(largeZones))
		got := map[string]bool{}
		for range 4 {
			for _, m := range f.members {
				got[m.acquireAndRelease()] = true
			}
		}
		Expect(len(got)).To(BeNumerically(">", 3*len(f.members)), "each request goes to an empty target")
	})

	// The leader's host is lost. Its zone must not be left with old routes.
	It("goes on when the leader of a zone is lost", func() {
		Eventually(func() *member { return f.leader("z1") }).WithTimeout(zoneLimit).ShouldNot(BeNil())
		lost := f.leader("z1")
		lost.stop()
		f.put(configurations, "config", "2")
		f.awaitSupplied(2, lost)
		Eventually(f.readers).WithTimeout(zoneLimit).Should(Equal(largeZones))
	})

	// The platform rejects the leader's host and serves the others. The leader would go
	// on granting slots at removed targets, and pass no change on.
	It("goes on when the log rejects the leader of a zone", func() {
		Eventually(func() *member { return f.leader("z1") }).WithTimeout(zoneLimit).ShouldNot(BeNil())
		rejected := f.leader("z1")
		rejected.log.rejecting.Store(true)
		f.put(configurations, "config", "2")
		for i := range fleetTargets / 2 {
			f.put(entries, fmt.Sprint("t", i), drains+fmt.Sprint("z", i%largeZones+1))
		}
		f.awaitSupplied(2)
		Eventually(func() bool { return f.leader("z1") != rejected }).WithTimeout(zoneLimit).Should(BeTrue())
		drained := func(id string) bool {
			n, err := strconv.Atoi(strings.TrimPrefix(id, "t"))
			return err != nil || n < fleetTargets/2
		}
		Eventually(func() bool {
			for _, m := range f.members {
				if drained(m.acquireAndRelease()) {
					return false
				}
			}
			return true
		}).WithTimeout(zoneLimit).Should(BeTrue())
	})

	// The log is down for all. When it recovers it must not be loaded with failing calls
	// of the whole fleet.
	It("has few daemons call a log that is down, and follows it once it recovers", func() {
		Eventually(f.readers).WithTimeout(zoneLimit).Should(Equal(largeZones))
		f.log.SetDown(true)
		most := 0
		for range 40 {
			most = max(most, f.readers())
			duty.Pause(context.Background(), 50*time.Millisecond)
		}
		Expect(most).To(BeNumerically("<=", 5*largeZones))
		f.log.SetDown(false)
		f.put(configurations, "config", "2")
		f.awaitSupplied(2)
	})
})
