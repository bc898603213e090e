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
	// viewMethod asks a reader for what is new, reportMethod tells the leader that its
	// sender reads the log.
	viewMethod   = service + ".View"
	reportMethod = service + ".Report"
	// longestWait bounds how long a subscriber's question is held open.
	longestWait = 5 * time.Second
)

// ViewArgs asks a reader for what a subscriber lacks.
type ViewArgs struct {
	// Host is the subscriber's name, by which its sample is chosen, From its peer address.
	Host, From string
	// Whole asks for all targets of the zone in place of a sample.
	Whole bool
	// Version is the configuration that it holds, negative for none.
	Version int64
	// Sample is the digest of the sample that it holds, 0 for none.
	Sample uint64
	// Working are the IDs of the targets at which its work runs.
	Working []string
	// WaitMs is how long the question may be held open while there is nothing new.
	WaitMs int64
}

// ViewReply is what the subscriber lacks.
type ViewReply struct {
	// Serves tells that this daemon reads the log and holds a configuration; Readers are
	// those that do, as far as known here.
	Serves  bool
	Readers []feed.Reader
	// Configuration is the newer configuration, compressed, empty for none. Known tells
	// that the subscriber's own is in force otherwise, and ConfigurationAgeMs how old the
	// word about that is.
	Configuration      []byte
	Known              bool
	ConfigurationAgeMs int64
	// Sampled tells that all targets are known here. Targets is the subscriber's sample
	// and Digest its digest, without the targets if the subscriber holds these already.
	Sampled      bool
	Targets      []roster.Target
	Digest       uint64
	Started      map[string]roster.Start
	TargetsAgeMs int64
	// Total is the number of targets.
	Total int
	// HeldMs is how long the question was held open.
	HeldMs int64
}

// ReaderReport tells the leader that a daemon reads the log, and how long ago the log last
// answered it; see feed.Reader.
type ReaderReport struct {
	From string
	Age  time.Duration
}

// Ack is the empty answer.
type Ack struct{}

// calls answers other daemons.
type calls struct{ feed *Feed }

// Register adds the service that peers call.
func (f *Feed) Register(r peer.Registrar) error { return r.Register(service, &calls{f}) }

// Report is called by the readers of the zone.
func (s *calls) Report(r ReaderReport, _ *Ack) error {
	s.feed.mu.Lock()
	defer s.feed.mu.Unlock()
	s.feed.readers.Report(time.Now(), r.From, r.Age)
	return nil
}

// View is called by subscribers.
func (s *calls) View(args ViewArgs, reply *ViewReply) error {
	began := time.Now()
	wait := min(max(0, time.Duration(args.WaitMs)*time.Millisecond), longestWait)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	for {
		routed, listed := s.feed.Configuration.Routed(), s.feed.Targets.Listed()
		*reply = s.feed.view(args)
		if !reply.Serves || reply.news(args) || ctx.Err() != nil {
			break
		}
		select {
		case <-routed:
		case <-listed:
		case <-ctx.Done():
		}
	}
	reply.HeldMs = time.Since(began).Milliseconds()
	return nil
}

// news tells whether the subscriber lacks anything.
func (r *ViewReply) news(args ViewArgs) bool {
	return len(r.Configuration) > 0 || r.Sampled && r.Digest != args.Sample
}

// view answers a question as things stand.
func (f *Feed) view(args ViewArgs) ViewReply {
	zone := f.Targets.OwnZone()
	f.mu.Lock()
	serves, lists := f.configurationReading.Running(), f.targetReading.Running()
	if args.Whole {
		f.standby.Seen(time.Now(), args.From)
	}
	f.mu.Unlock()
	reply := ViewReply{Readers: zone.Readers}
	if !serves || f.Configuration.Version() < 0 {
		return reply
	}
	reply.Serves = true
	packed, known, age := f.Configuration.Packed(args.Version)
	reply.Configuration, reply.Known, reply.ConfigurationAgeMs = packed, known, age.Milliseconds()
	if sample, sampled := f.Targets.Sample(args.Host, args.Whole, args.Working); sampled && lists {
		reply.setSample(sample, args.Sample)
	}
	return reply
}

func (r *ViewReply) setSample(s places.Sample, held uint64) {
	r.Sampled, r.Digest, r.Started, r.Total, r.TargetsAgeMs = true, digest(s.Targets), s.Started, s.Total, s.Age.Milliseconds()
	if r.Digest != held {
		r.Targets = s.Targets
	}
}

// digest names a sample. It is never 0.
func digest(sample []roster.Target) uint64 {
	h := xxhash.New()
	for _, t := range sample {
		// The digest's Write returns no error.
		_, _ = h.WriteString(t.ID + "\x00" + string(t.Start) + "\x00" + t.Group + "\x00" + t.Address + "\x00" + t.Zone + "\x00")
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(t.Slots)))
	}
	return max(1, h.Sum64())
}
