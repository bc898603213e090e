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

// Source says how the version of a stream is known, or why it isn't.
type Source string

// The sources of a version.
const (
	// Local: this daemon has a record.
	Local Source = "local"
	// Peer: another daemon has a record.
	Peer Source = "peer"
	// SingleVersion: the group's targets have had one version only.
	SingleVersion Source = "single_version"
	// PeerSingleVersion: so another daemon says, which has known the targets for longer.
	PeerSingleVersion Source = "peer_single_version"
)

// Why a version is not known.
const (
	// Unknown: there is no record, and the group's targets may have had several versions.
	Unknown Source = "unknown"
	// Uncertain: there is a record that says so, or there are records that differ.
	Uncertain Source = "uncertain"
	// OtherGroup: the stream began at a group to which its route doesn't lead any more.
	OtherGroup Source = "other_group"
	// NoAnswer: no other daemon with a current list of targets answered.
	NoAnswer Source = "no_answer"
)

// Origin is where a stream began.
type Origin struct {
	// Group and Version are "" if they are not known.
	Group, Version string
	Source         Source
	// Age is the age of the record, 0 without one. Answered is how many daemons answered.
	Age      time.Duration
	Answered int
}

// FindUnnamed returns the origin of a stream that a caller resumes without naming it: the only
// version that the group's targets have had, as this daemon or one that is asked knows, and that none
// contradicts.
func (d *Directory) FindUnnamed(ctx context.Context, group string) Origin {
	d.awaitRestored(ctx)
	own := d.Targets.Versions(group)
	version := own.Sole()
	if version == "" {
		return Origin{Source: Unknown}
	}
	origin, covered := Origin{Group: group, Version: version, Source: SingleVersion}, own.Covered
	for _, reply := range d.ask(ctx, "", group) {
		origin.Answered++
		if reply.Versions.Contradicts(version) {
			return Origin{Source: Unknown, Answered: origin.Answered}
		}
		if (reply.Versions.Covered || reply.Versions.Throughout) && reply.Versions.Sole() == version && !covered {
			origin.Source, covered = PeerSingleVersion, true
		}
	}
	if !covered {
		return Origin{Source: Unknown, Answered: origin.Answered}
	}
	return origin
}

// Find returns the origin of a stream that a caller resumes on a route to the groups.
func (d *Directory) Find(ctx context.Context, stream string, groups []string) Origin {
	group := ""
	if len(groups) == 1 {
		group = groups[0]
	}
	d.awaitRestored(ctx)
	stream = recordName(stream)
	own := d.known(stream, group)
	origin := own.origin(Local)
	if !own.Known {
		origin = d.findElsewhere(ctx, stream, group, own)
	}
	if origin.Version != "" && !slices.Contains(groups, origin.Group) {
		origin.Source, origin.Version = OtherGroup, ""
	}
	return origin
}

// origin returns the origin that a record names.
func (r *FindReply) origin(source Source) Origin {
	if r.Record.Version == "" {
		source = Uncertain
	}
	return Origin{Group: r.Record.Group, Version: r.Record.Version, Source: source, Age: time.Duration(r.AgeMs) * time.Millisecond}
}

// findElsewhere returns the origin of a stream of which this daemon has no record.
func (d *Directory) findElsewhere(ctx context.Context, stream, group string, own FindReply) Origin {
	replies := d.ask(ctx, stream, group)
	found := Origin{}
	for _, reply := range replies {
		switch origin := reply.origin(Peer); {
		case !reply.Known:
		case found.Source == "":
			found = origin
		case origin.Version != found.Version || origin.Group != found.Group:
			found = Origin{Source: Uncertain}
		}
	}
	if found.Source == "" {
		found = withoutRecord(group, own.Versions, replies, len(d.ListPeers()) == 0)
	} else if found.Version != "" {
		d.mu.Lock()
		d.table.Add(time.Now(), streamversion.Record{Stream: stream, Group: found.Group, Version: found.Version}, false)
		d.mu.Unlock()
	}
	found.Answered = len(replies)
	return found
}

// ask asks the daemons that may hold the stream's record. Once one has it, the others have
// answersWait to contradict it.
func (d *Directory) ask(ctx context.Context, stream, group string) []*FindReply {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	addresses := d.holders(streamversion.NewHosts(d.addresses()), stream, asked)
	answers := make(chan *FindReply, len(addresses))
	for _, address := range addresses {
		go func() {
			var reply FindReply
			if d.Peers.Call(ctx, address, findMethod, FindArgs{stream, group}, &reply) != nil {
				answers <- nil
				return
			}
			answers <- &reply
		}()
	}
	var replies []*FindReply
	var enough <-chan time.Time
	for range addresses {
		select {
		case reply := <-answers:
			if reply == nil {
				continue
			}
			if replies = append(replies, reply); reply.Known && enough == nil {
				enough = time.After(answersWait)
			}
		case <-enough:
			return replies
		}
	}
	return replies
}

// withoutRecord returns the origin of a stream of which no daemon that answered has a record.
// Records are sent unless the daemon at which the stream began knew of one version only, so it
// began at that one if some daemon knows that there was no other, and none knows another. At
// least one other daemon with a current list of targets must have answered, unless there is
// none.
func withoutRecord(group string, own places.GroupVersions, replies []*FindReply, alone bool) Origin {
	version, single := own.Single()
	source, fresh := SingleVersion, alone
	for _, r := range replies {
		fresh = fresh || r.Versions.Fresh
		if v, ok := r.Versions.Single(); ok && !single {
			version, single, source = v, true, PeerSingleVersion
		}
	}
	contradicted := own.Contradicts(version)
	for _, r := range replies {
		contradicted = contradicted || r.Versions.Contradicts(version)
	}
	switch {
	case group == "" || !single || contradicted:
		return Origin{Source: Unknown}
	case !fresh:
		return Origin{Source: NoAnswer}
	default:
		return Origin{Group: group, Version: version, Source: source}
	}
}
