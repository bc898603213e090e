package burnlog

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	lru "github.com/hashicorp/golang-lru/v2"

	"tarragonhollow.example/tarragonhollow/core/burn"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
)

// Collector counts events and reports the fleet's error budget burn. It is safe for
// concurrent use; Observe never blocks.
type Collector struct {
	opt    Options
	meter  *meter
	events *duty.Queue[burn.Event]
	items  *duty.Queue[unresolvedEnd]
	leases *lru.Cache[itemKey, lease]

	// mu guards the counts of this daemon.
	mu       sync.Mutex
	recorder *burn.Recorder
	// unsent are counts that the log may not have yet.
	unsent      *burn.Set
	lastRewrite time.Time

	// logMu guards the counts read from the log, and the offset to read next.
	logMu      sync.Mutex
	logSet     *burn.Set
	nextOffset int64
}

type meter struct {
	events, dropped, unknown           *metrics.Counter
	appends, appendBytes, appendErrors *metrics.Counter
}

// New returns a Collector and registers its net/rpc service. It fails with BadOptions if a
// required option is missing.
func New(o Options) (*Collector, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	leases, err := lru.New[itemKey, lease](maxLeases)
	if err != nil {
		return nil, BadOptions.Wrap(err, "leases")
	}
	set := o.Metrics
	c := &Collector{
		opt:         o,
		events:      duty.NewQueue[burn.Event](eventQueueSize),
		items:       duty.NewQueue[unresolvedEnd](itemQueueSize),
		leases:      leases,
		recorder:    burn.NewRecorder(o.View.Self().ID()),
		unsent:      burn.NewSet(),
		lastRewrite: o.Clock(),
		logSet:      burn.NewSet(),
		meter: &meter{
			events:       set.GetOrCreateCounter("tarragonhollow_burn_events_total"),
			dropped:      set.GetOrCreateCounter("tarragonhollow_burn_events_dropped_total"),
			unknown:      set.GetOrCreateCounter("tarragonhollow_burn_events_without_profile_total"),
			appends:      set.GetOrCreateCounter("tarragonhollow_burn_appends_total"),
			appendBytes:  set.GetOrCreateCounter("tarragonhollow_burn_append_bytes_total"),
			appendErrors: set.GetOrCreateCounter("tarragonhollow_burn_append_errors_total"),
		},
	}
	return c, o.Registrar.Register(ServiceName, &service{c})
}

// Run starts the background loops in g.
func (c *Collector) Run(g *duty.Group) {
	g.Go(c.recordLoop)
	g.Go(c.itemLoop)
	g.Go(c.appendLoop)
}

// Observe counts one event. If the queue is full, it drops the event and increments a metric,
// so that the reporting never blocks a request.
func (c *Collector) Observe(e burn.Event) {
	if e.AtMs == 0 {
		e.AtMs = c.nowMs()
	}
	if !c.events.Offer(e) {
		c.meter.dropped.Inc()
	}
}

// recordLoop counts the events that Observe has queued.
func (c *Collector) recordLoop(ctx context.Context) {
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.events.C():
			c.record(e)
		case <-prune.C:
			c.mu.Lock()
			c.recorder.Prune(c.nowMs())
			c.mu.Unlock()
		}
	}
}

// record counts an event against the currently configured objectives. An event of a profile
// that is no longer configured has no objective and is only counted in a metric.
func (c *Collector) record(e burn.Event) {
	cfg := c.opt.Config()
	if cfg == nil || cfg.Profiles[e.Profile] == nil {
		c.meter.unknown.Inc()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recorder.Record(e, cfg.Profiles[e.Profile])
	c.meter.events.Inc()
}

func (c *Collector) nowMs() int64 { return c.opt.Clock().UnixMilli() }

// SummariesRequest requests the counts of a daemon.
type SummariesRequest struct{}

// SummariesReply has all counts of a daemon.
type SummariesReply struct{ Summary burn.Summary }

// service is the net/rpc receiver.
type service struct{ c *Collector }

// Summaries implements the net/rpc method.
func (s *service) Summaries(_ SummariesRequest, reply *SummariesReply) error {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	reply.Summary = s.c.recorder.All()
	return nil
}
