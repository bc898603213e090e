// Package streams makes known to other daemons at which software version each stream began, so
// that a caller can resume it at any of them while targets of several versions serve.
//
// Where a group's targets have had one version throughout streamversion.Memory, nothing is
// sent. Otherwise the record of each stream is sent to a few daemons before the caller gets
// the first event, and a daemon that resumes the stream asks these. A version that isn't known
// is never guessed.
package streams

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/streamversion"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/peer"
)

const (
	service      = "Streams"
	recordMethod = service + ".Record"
	findMethod   = service + ".Find"
	// copies is the number of daemons to which a record is sent, asked that of those asked
	// for one, and that get one that did not reach the first: daemons that were added or
	// replaced meanwhile shift the order.
	copies = 4
	asked  = 8
	// findTimeout bounds a search, a small part of a stream's latency objective, answersWait
	// the wait for answers that contradict a record.
	findTimeout = 100 * time.Millisecond
	answersWait = 10 * time.Millisecond
	// sendTimeout bounds one message to another daemon. A record of which fewer than
	// enoughCopies arrived is sent again after checkEvery, which doubles with each of maxTries.
	sendTimeout  = 300 * time.Millisecond
	enoughCopies = 2
	maxTries     = 8
	// maxPending bounds the records that wait to be sent.
	maxPending = 4096
	// checkEvery is how often it is checked what has to be sent by now.
	checkEvery = 100 * time.Millisecond
)

// Targets is what is known of the targets' versions; see places.Places.
type Targets interface {
	Versions(group string) places.GroupVersions
}

// Options configure a Directory.
type Options struct {
	// Self is this daemon's peer address.
	Self string
	// ListPeers lists the other daemons.
	ListPeers func() []places.Peer
	Peers     peer.Caller
	Targets   Targets
	Records   RecordOptions
	Logger    *zap.Logger
	Metrics   *metrics.Set
}

// Directory holds the versions of streams. It is safe for concurrent use.
type Directory struct {
	Options
	wake               chan struct{}
	sent, failed, lost *metrics.Counter
	// restored is closed once the records of versions have been restored.
	restored chan struct{}

	mu      sync.Mutex
	table   streamversion.Table
	pending []outgoing
}

// outgoing is a record that waits to be sent.
type outgoing struct {
	streamversion.Record
	tries int
	// notBefore is when it is sent again.
	notBefore time.Time
}

// New returns an empty directory.
func New(o Options) *Directory {
	return &Directory{
		Options: o, wake: make(chan struct{}, 1), restored: make(chan struct{}),
		sent:   o.Metrics.GetOrCreateCounter("tarragonhollow_stream_records_sent_total"),
		failed: o.Metrics.GetOrCreateCounter("tarragonhollow_stream_records_not_delivered_total"),
		lost:   o.Metrics.GetOrCreateCounter("tarragonhollow_stream_records_lost_total"),
	}
}

// Register adds the service that peers call.
func (d *Directory) Register(r peer.Registrar) error { return r.Register(service, &handler{d}) }

// Began records that the stream began here at the version, "" if that is uncertain. Its
// record is sent in any case if the group was one of several of its route: which one it was can't
// be determined otherwise.
func (d *Directory) Began(stream, group, version string, oneOfSeveral bool) {
	if stream == "" {
		return
	}
	stream = recordName(stream)
	send := oneOfSeveral || d.mustSend(group, version)
	d.mu.Lock()
	e := d.table.Add(time.Now(), streamversion.Record{Stream: stream, Group: group, Version: version}, true)
	if send && !e.Sent {
		e.Sent = true
		d.queue(outgoing{Record: e.Record})
	}
	d.mu.Unlock()
	if send {
		duty.Wake(d.wake)
	}
	if version == "" {
		d.Logger.Warn("stream_version_uncertain", zap.String("id", stream), zap.String("group", group))
	}
}

// queue adds a record to those that wait to be sent. d.mu is held.
func (d *Directory) queue(o outgoing) {
	if len(d.pending) >= maxPending || o.tries >= maxTries {
		d.lost.Inc()
		return
	}
	d.pending = append(d.pending, o)
}

// mustSend reports whether records of the group's streams that began at the version are sent:
// others may not know that it is the only one.
func (d *Directory) mustSend(group, version string) bool {
	single, ok := d.Targets.Versions(group).Single()
	return !ok || single != version
}

// Run sends records until ctx is done.
func (d *Directory) Run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.queueUnsent()
		case <-d.wake:
		}
		if due := d.takeDue(time.Now()); len(due) > 0 {
			calls.Go(func() { d.sendAll(ctx, due) })
		}
	}
}

// queueUnsent queues the records of streams that began before their group needed them.
func (d *Directory) queueUnsent() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.table.Unsent(time.Now(), func(group string) bool {
		_, single := d.Targets.Versions(group).Single()
		return !single
	}) {
		d.queue(outgoing{Record: r})
	}
}

// takeDue removes the records that are to be sent now.
func (d *Directory) takeDue(now time.Time) []outgoing {
	d.mu.Lock()
	defer d.mu.Unlock()
	var due, later []outgoing
	for _, o := range d.pending {
		if o.notBefore.After(now) {
			later = append(later, o)
			continue
		}
		due = append(due, o)
	}
	d.pending = later
	return due
}

// sendAll sends records to the daemons that hold them, and queues again those of which too few
// copies arrived.
func (d *Directory) sendAll(ctx context.Context, due []outgoing) {
	hosts, arrived := streamversion.NewHosts(d.addresses()), make([]atomic.Int32, len(due))
	messages := map[string][]int{}
	for i, o := range due {
		n := copies
		if o.tries > 0 {
			n = asked
		}
		for _, address := range d.holders(hosts, o.Stream, n) {
			messages[address] = append(messages[address], i)
		}
	}
	var calls sync.WaitGroup
	for address, indexes := range messages {
		calls.Go(func() {
			records := make([]streamversion.Record, 0, len(indexes))
			for _, i := range indexes {
				records = append(records, due[i].Record)
			}
			if !d.send(ctx, address, records) {
				return
			}
			for _, i := range indexes {
				arrived[i].Add(1)
			}
		})
	}
	calls.Wait()
	// A daemon without others keeps its records for those that it doesn't know yet.
	enough := int32(min(enoughCopies, max(1, len(d.ListPeers()))))
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, o := range due {
		if arrived[i].Load() < enough {
			o.notBefore = time.Now().Add(checkEvery << o.tries)
			o.tries++
			d.queue(o)
		}
	}
}

func (d *Directory) send(ctx context.Context, address string, records []streamversion.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if d.Peers.Call(ctx, address, recordMethod, RecordArgs{records}, &Ack{}) != nil {
		d.failed.Add(len(records))
		return false
	}
	d.sent.Add(len(records))
	return true
}

// addresses lists the daemons, this one included.
func (d *Directory) addresses() []string {
	list := []string{d.Self}
	for _, p := range d.ListPeers() {
		list = append(list, p.Address)
	}
	return list
}

// holders returns the other daemons among the first n that hold a stream's record.
func (d *Directory) holders(hosts streamversion.Hosts, stream string, n int) []string {
	list := slices.DeleteFunc(hosts.Holders(stream, n+1), func(address string) bool { return address == d.Self })
	return list[:min(n, len(list))]
}
