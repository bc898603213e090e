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
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
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
	// for one: daemons that were added or replaced meanwhile shift the order.
	copies = 4
	asked  = 8
	// findTimeout bounds a search, a small part of a stream's latency objective.
	findTimeout = 100 * time.Millisecond
	// sendTimeout bounds one message to another daemon; then the next one gets the record.
	sendTimeout = 300 * time.Millisecond
	// maxPending bounds the records that wait to be sent.
	maxPending = 4096
	// checkEvery is how often streams that began while nothing had to be sent are checked.
	checkEvery = 100 * time.Millisecond
)

// Targets is what is known of the targets' versions; see places.Places.
type Targets interface {
	Versions(group string) places.GroupVersions
	TargetsFresh() bool
}

// Options configure a Directory.
type Options struct {
	// Self is this daemon's peer address.
	Self string
	// ListPeers lists the other daemons.
	ListPeers func() []places.Peer
	Peers     peer.Caller
	Targets   Targets
	Metrics   *metrics.Set
}

// Directory holds the versions of streams. It is safe for concurrent use.
type Directory struct {
	Options
	wake chan struct{}
	sent *metrics.Counter

	mu      sync.Mutex
	table   streamversion.Table
	pending []streamversion.Record
}

// New returns an empty directory.
func New(o Options) *Directory {
	d := &Directory{Options: o, wake: make(chan struct{}, 1)}
	d.sent = o.Metrics.GetOrCreateCounter("tarragonhollow_stream_records_sent_total")
	return d
}

// Register adds the service that peers call.
func (d *Directory) Register(r peer.Registrar) error { return r.Register(service, &handler{d}) }

// Began records that the stream began here at the version, "" if that is uncertain. Its
// record is sent in any case if the group was one of several of its route: which one it was can't
// be told otherwise.
func (d *Directory) Began(stream, group, version string, oneOfSeveral bool) {
	if stream == "" {
		return
	}
	send := oneOfSeveral || d.mustSend(group)
	d.mu.Lock()
	e := d.table.Add(time.Now(), streamversion.Record{Stream: stream, Group: group, Version: version}, true)
	if send && !e.Sent && len(d.pending) < maxPending {
		e.Sent = true
		d.pending = append(d.pending, e.Record)
	}
	d.mu.Unlock()
	if send {
		duty.Wake(d.wake)
	}
}

// mustSend reports whether records of the group's streams are sent: the targets may have
// several versions, or have got another one that is not known here.
func (d *Directory) mustSend(group string) bool {
	_, single := d.Targets.Versions(group).Single()
	return !single || !d.Targets.TargetsFresh()
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
		for address, records := range d.takePending() {
			calls.Go(func() { d.send(ctx, address, records) })
		}
	}
}

// queueUnsent queues the records of streams that began before their group needed them.
func (d *Directory) queueUnsent() {
	needed := map[string]bool{}
	mustSend := func(group string) bool {
		if _, known := needed[group]; !known {
			needed[group] = d.mustSend(group)
		}
		return needed[group]
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending = append(d.pending, d.table.Unsent(time.Now(), mustSend)...)
}

// takePending returns the records to be sent, by address.
func (d *Directory) takePending() map[string][]streamversion.Record {
	d.mu.Lock()
	pending := d.pending
	d.pending = nil
	d.mu.Unlock()
	if len(pending) == 0 {
		return nil
	}
	addresses := d.addresses()
	messages := map[string][]streamversion.Record{}
	for _, r := range pending {
		for _, address := range d.holders(r.Stream, addresses, copies) {
			messages[address] = append(messages[address], r)
		}
	}
	return messages
}

// send sends records to another daemon, and if that one can't be reached to the next ones.
func (d *Directory) send(ctx context.Context, address string, records []streamversion.Record) {
	if d.call(ctx, address, records) || ctx.Err() != nil {
		return
	}
	addresses := d.addresses()
	next := map[string][]streamversion.Record{}
	for _, r := range records {
		for _, other := range d.holders(r.Stream, addresses, asked)[min(copies, len(addresses)-1):] {
			next[other] = append(next[other], r)
			break
		}
	}
	for other, records := range next {
		d.call(ctx, other, records)
	}
}

func (d *Directory) call(ctx context.Context, address string, records []streamversion.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	d.sent.Add(len(records))
	return d.Peers.Call(ctx, address, recordMethod, RecordArgs{records}, &Ack{}) == nil
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
func (d *Directory) holders(stream string, addresses []string, n int) []string {
	var list []string
	for _, address := range streamversion.Holders(stream, addresses, n+1) {
		if address != d.Self && len(list) < n {
			list = append(list, address)
		}
	}
	return list
}
