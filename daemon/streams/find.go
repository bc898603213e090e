package streams

import (
	"context"
	"slices"
	"time"

	"tarragonhollow.example/tarragonhollow/core/streamversion"
	"tarragonhollow.example/tarragonhollow/daemon/places"
)

// RecordArgs carries records to a daemon that holds them.
type RecordArgs struct{ Records []streamversion.Record }

// FindArgs asks for the version of a stream. Group is the target group that it must have begun
// at, "" if there are several.
type FindArgs struct{ Stream, Group string }

// FindReply is what a daemon knows of a stream.
type FindReply struct {
	// Known reports that it has a record; its Version is "" if that is uncertain.
	Known  bool
	Record streamversion.Record
	AgeMs  int64
	// Versions is what it knows of the versions of the group's targets.
	Versions places.GroupVersions
}

// Ack is the empty reply.
type Ack struct{}

// handler answers other daemons.
type handler struct{ directory *Directory }

// Record is called by a daemon at which streams began.
func (h *handler) Record(args RecordArgs, _ *Ack) error {
	now := time.Now()
	h.directory.mu.Lock()
	defer h.directory.mu.Unlock()
	for _, r := range args.Records {
		h.directory.table.Add(now, r, false)
	}
	return nil
}

// Find is called by a daemon at which a caller resumes a stream.
func (h *handler) Find(args FindArgs, reply *FindReply) error {
	*reply = h.directory.known(args.Stream, args.Group)
	return nil
}

// known returns what is known here.
func (d *Directory) known(stream, group string) FindReply {
	var reply FindReply
	if group != "" {
		reply.Versions = d.Targets.Versions(group)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, known := d.table.Find(stream); known {
		reply.Known, reply.Record, reply.AgeMs = true, e.Record, time.Since(e.At).Milliseconds()
	}
	return reply
}

// Source says how the version of a stream is known.
type Source string

// The sources of a version.
const (
	// Unknown: no daemon that answered knows it, or it is uncertain.
	Unknown Source = "unknown"
	// Local: this daemon has a record.
	Local Source = "local"
	// Peer: another daemon has a record.
	Peer Source = "peer"
	// SingleVersion: the group's targets have had one version only.
	SingleVersion Source = "single_version"
	// PeerSingleVersion: so another daemon says, which has known the targets for longer.
	PeerSingleVersion Source = "peer_single_version"
)

// Origin is where a stream began.
type Origin struct {
	// Group and Version are "" if Source is Unknown.
	Group, Version string
	Source         Source
	// Age is the age of the record, 0 without one. Answered is how many daemons answered.
	Age      time.Duration
	Answered int
}

// FindUnnamed returns the origin of a stream that a caller resumes without naming it: the only
// version that the group's targets are known to have had, if there is one.
func (d *Directory) FindUnnamed(group string) Origin {
	version := d.Targets.Versions(group).Sole()
	if version == "" {
		return Origin{Source: Unknown}
	}
	return Origin{Group: group, Version: version, Source: SingleVersion}
}

// Find returns the origin of a stream that a caller resumes on a route to the groups.
func (d *Directory) Find(ctx context.Context, stream string, groups []string) Origin {
	group := ""
	if len(groups) == 1 {
		group = groups[0]
	}
	own := d.known(stream, group)
	origin := own.origin(Local)
	if !own.Known {
		origin = d.ask(ctx, stream, group, own.Versions)
	}
	if origin.Source == Unknown || !slices.Contains(groups, origin.Group) {
		return Origin{Source: Unknown, Age: origin.Age, Answered: origin.Answered}
	}
	if !own.Known {
		d.mu.Lock()
		d.table.Add(time.Now(), streamversion.Record{Stream: stream, Group: origin.Group, Version: origin.Version}, false)
		d.mu.Unlock()
	}
	return origin
}

// origin returns the origin that a record names.
func (r *FindReply) origin(source Source) Origin {
	if !r.Known || r.Record.Version == "" {
		source = Unknown
	}
	return Origin{Group: r.Record.Group, Version: r.Record.Version, Source: source, Age: time.Duration(r.AgeMs) * time.Millisecond}
}

// ask asks the daemons that may hold the stream's record. A record ends the search; without
// one, all answers count.
func (d *Directory) ask(ctx context.Context, stream, group string, own places.GroupVersions) Origin {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	addresses := d.holders(stream, d.addresses(), asked)
	replies := make(chan *FindReply, len(addresses))
	for _, address := range addresses {
		go func() {
			var reply FindReply
			if d.Peers.Call(ctx, address, findMethod, FindArgs{stream, group}, &reply) != nil {
				replies <- nil
				return
			}
			replies <- &reply
		}()
	}
	var answers []places.GroupVersions
	for range addresses {
		reply := <-replies
		if reply == nil {
			continue
		}
		answers = append(answers, reply.Versions)
		if reply.Known {
			origin := reply.origin(Peer)
			origin.Answered = len(answers)
			return origin
		}
	}
	origin := Origin{Source: Unknown, Answered: len(answers)}
	if len(answers) > 0 || len(addresses) == 0 {
		origin.Group = group
		origin.Version, origin.Source = withoutRecord(own, answers)
	}
	return origin
}

// withoutRecord returns the version of a stream of which no daemon has a record. Records are
// sent unless the daemon at which the stream began knew of one version only, so it began at
// that one if some daemon knows that there was no other, and none knows another.
func withoutRecord(own places.GroupVersions, answers []places.GroupVersions) (string, Source) {
	version, single := own.Single()
	source := SingleVersion
	for _, a := range answers {
		if v, ok := a.Single(); ok && !single {
			version, single, source = v, true, PeerSingleVersion
		}
	}
	for _, v := range append(answers, own) {
		if v.Several || len(v.Known) == 1 && v.Known[0] != version {
			single = false
		}
	}
	if !single {
		return "", Unknown
	}
	return version, source
}
