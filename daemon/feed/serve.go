package feed

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonhollow.example/tarragonhollow/core/feed"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/peer"
)

const (
	service = "Feed"
	// viewMethod requests updates from a reader; reportMethod reports to the leader that
	// the sender reads the log.
	viewMethod   = service + ".View"
	reportMethod = service + ".Report"
	// maxHold bounds how long a subscriber's request is held open.
	maxHold = 5 * time.Second
)

// ViewArgs requests from a reader what a subscriber lacks.
type ViewArgs struct {
	// Host is the subscriber's name, by which its sample is chosen, From its peer
	// address.
	Host, From string
	// Whole requests all targets of the zone in place of a sample.
	Whole bool
	// Version is the configuration that it holds, negative for none.
	Version int64
	// Sample is the digest of the sample that it holds, 0 for none.
	Sample uint64
	// Working are the IDs of the targets at which its work runs.
	Working []string
	// WaitMs is how long the request may be held open while there is no update, in
	// milliseconds.
	WaitMs int64
}

// ViewReply is what the subscriber lacks.
type ViewReply struct {
	// Serves reports that this daemon reads the log and holds a configuration; Readers
	// are the daemons that do, as far as known here.
	Serves  bool
	Readers []feed.Reader
	// Configuration is the newer configuration, compressed, empty for none. Known reports
	// that otherwise the subscriber's own version is active, and ConfigurationAgeMs is
	// the time since that was last confirmed.
	Configuration      []byte
	Known              bool
	ConfigurationAgeMs int64
	// Sampled reports that all targets are known here. Targets is the subscriber's sample
	// and Digest its digest; Targets is empty if the subscriber holds that sample
	// already.
	Sampled      bool
	Targets      []roster.Target
	Digest       uint64
	Started      map[string]roster.Start
	TargetsAgeMs int64
	// Departures are the announced leaves of the targets at which the subscriber's work runs.
	Departures map[string]places.SampledDeparture
	// Total is the number of targets.
	Total int
	// Several and VersionsKnown are what is known of the targets' versions; see
	// places.Sample.
	Several       []string
	VersionsKnown bool
	// HeldMs is how long the request was held open, in milliseconds.
	HeldMs int64
}

// ReaderReport reports to the leader that a daemon reads the log, and how long ago the
// log last answered it; see feed.Reader.
type ReaderReport struct {
	From string
	Age  time.Duration
}

// Ack is the empty reply.
type Ack struct{}

// handler answers other daemons.
type handler struct{ feed *Feed }

// Register adds the service that peers call.
func (f *Feed) Register(r peer.Registrar) error { return r.Register(service, &handler{f}) }

// Report is called by the readers of the zone.
func (s *handler) Report(r ReaderReport, _ *Ack) error {
	s.feed.mu.Lock()
	defer s.feed.mu.Unlock()
	s.feed.readers.Report(time.Now(), r.From, r.Age)
	return nil
}

// View is called by subscribers.
func (s *handler) View(args ViewArgs, reply *ViewReply) error {
	began := time.Now()
	wait := min(max(0, time.Duration(args.WaitMs)*time.Millisecond), maxHold)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	for {
		configurationChanged, targetsChanged := s.feed.Configuration.Changed(), s.feed.Targets.TargetsChanged()
		*reply = s.feed.view(args)
		if !reply.Serves || reply.hasUpdates(args) || ctx.Err() != nil {
			break
		}
		select {
		case <-configurationChanged:
		case <-targetsChanged:
		case <-ctx.Done():
		}
	}
	reply.HeldMs = time.Since(began).Milliseconds()
	return nil
}

// hasUpdates reports whether the subscriber lacks anything.
func (r *ViewReply) hasUpdates(args ViewArgs) bool {
	return len(r.Configuration) > 0 || r.Sampled && r.Digest != args.Sample
}

// view answers a request from the current state.
func (f *Feed) view(args ViewArgs) ViewReply {
	zone := f.Targets.LocalZone()
	f.mu.Lock()
	serves, readsTargets := f.configurationReading.Running(), f.targetReading.Running()
	if args.Whole {
		f.standby.FullListRequested(time.Now(), args.From)
	}
	f.mu.Unlock()
	reply := ViewReply{Readers: zone.Readers}
	if !serves || f.Configuration.Version() < 0 {
		return reply
	}
	reply.Serves = true
	packed, known, age := f.Configuration.Packed(args.Version)
	reply.Configuration, reply.Known, reply.ConfigurationAgeMs = packed, known, age.Milliseconds()
	if sample, sampled := f.Targets.Sample(args.Host, args.Whole, args.Working); sampled && readsTargets {
		reply.setSample(sample, args.Sample)
	}
	return reply
}

func (r *ViewReply) setSample(s places.Sample, held uint64) {
	r.Sampled, r.Digest, r.Started, r.Total, r.TargetsAgeMs = true, digest(s.Targets), s.Started, s.Total, s.Age.Milliseconds()
	r.Several, r.VersionsKnown = s.Several, s.VersionsKnown
	r.Departures = s.Departures
	if r.Digest != held {
		r.Targets = s.Targets
	}
}

// digest returns a hash that identifies a sample. It is never 0.
func digest(sample []roster.Target) uint64 {
	h := xxhash.New()
	for _, t := range sample {
		// The digest's Write returns no error.
		_, _ = h.WriteString(t.ID + "\x00" + string(t.Start) + "\x00" + t.Group + "\x00" + t.Address + "\x00" + t.Zone + "\x00" + t.Version + "\x00")
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(t.Slots)))
	}
	return max(1, h.Sum64())
}
