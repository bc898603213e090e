package relay

import (
	"context"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/daemon/streams"
)

// unknownOriginRetryMs is the retry delay for callers whose stream's version is not known, in
// milliseconds: a daemon that knows it may not have answered in time.
const unknownOriginRetryMs = 250

// Streams knows at which software version streams began; see streams.Directory.
type Streams interface {
	// Began records the version, "" for uncertain, of a stream that begins here.
	Began(stream, group, version string, oneOfSeveral bool)
	// Find returns the origin of a stream that a caller names, FindUnnamed that of one that it
	// does not name.
	Find(ctx context.Context, stream string, groups []string) streams.Origin
	FindUnnamed(ctx context.Context, group string) streams.Origin
}

// streamVersion is the software version at which the caller's stream goes on.
type streamVersion struct {
	// bound reports that the stream has begun, at the version, "" if that is not known.
	bound   bool
	version string
	// origin says how the version of a stream that the caller resumes is known.
	origin streams.Origin
}

func (r *Request) resumableStream() bool { return r.Route.Kind == route.Stream && r.Route.Repeatable() }

// resumesStream reports whether the caller has a part of the stream from an earlier request.
func (r *Request) resumesStream() bool {
	return r.resumableStream() && (r.Resumes || r.StreamID != "")
}

// findOrigin finds the version of a stream that the caller resumes. Without it the request is
// refused: what two versions write doesn't fit together, and targets don't check it.
func (s *requestState) findOrigin(ctx context.Context) *outcome.Refusal {
	r := s.request
	if !r.resumesStream() {
		return nil
	}
	if r.StreamID == "" {
		s.stream.origin = s.relay.Streams.FindUnnamed(ctx, s.group())
	} else {
		s.stream.origin = s.relay.Streams.Find(ctx, r.StreamID, r.Route.GroupNames())
	}
	s.relay.meter.countResumption(s.stream.origin.Source)
	s.stream.bound, s.stream.version = true, s.stream.origin.Version
	if s.stream.version == "" {
		return unknownVersion()
	}
	s.groupName = s.stream.origin.Group
	return nil
}

func unknownVersion() *outcome.Refusal {
	return outcome.Refuse(outcome.NoTarget, "the software version at which the stream began is not known").After(unknownOriginRetryMs)
}

// checkVersion returns a refusal if the target may not go on with the caller's stream.
func (s *requestState) checkVersion(t roster.Target) *outcome.Refusal {
	if !s.stream.bound || t.Version == s.stream.version {
		return nil
	}
	return outcome.Refuse(outcome.NoTarget, "no target of version %q", s.stream.version).After(unknownOriginRetryMs)
}

// needsIdentity reports whether the target must be identified before the request is sent: its
// entry may be of an earlier start, with another version. It costs a round trip for each new
// connection, so it is left out for streams that begin while targets have one version.
func (s *requestState) needsIdentity() bool {
	return s.request.resumableStream() && (s.stream.bound || s.relay.Places.Versions(s.group()).Several)
}

// noteBegin records the version of the target that sends the stream's first event.
func (s *requestState) noteBegin() {
	if s.stream.bound {
		return
	}
	s.stream.bound, s.stream.version = true, s.lastTarget.Version
	s.recordBegin()
}

// recordBegin records the stream's version for those that may resume it.
func (s *requestState) recordBegin() {
	if !s.request.resumableStream() {
		return
	}
	id := s.request.ID
	if s.request.resumesStream() {
		id = s.request.StreamID
	}
	s.relay.Streams.Began(id, s.group(), s.stream.version, len(s.request.Route.Groups) > 1)
}

// noteRestart records that the attempt's target was found to have started again. If the new
// start is of another version, events that the attempt forwarded may be from either.
func (s *requestState) noteRestart(t roster.Target) {
	if s.answer.firstEvent == NoEvent {
		return
	}
	if now, known := s.relay.Places.Entry(t.ID); known && now.Version == t.Version {
		return
	}
	s.stream.version = ""
	s.recordBegin()
}

// versionFields returns the log fields about the version at which the caller's stream goes on.
func (s *requestState) versionFields() []zap.Field {
	return []zap.Field{
		zap.String("stream", s.request.StreamID), zap.Int64("resumed_after", s.request.resumedAfter()),
		zap.String("version_wanted", s.stream.version), zap.String("version_source", string(s.stream.origin.Source)),
		zap.String("stream_group", s.stream.origin.Group),
		zap.Int64("version_age_ms", s.stream.origin.Age.Milliseconds()), zap.Int("version_answers", s.stream.origin.Answered),
	}
}
