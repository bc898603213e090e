package ledger

import "container/list"

// State is the state of a shard's stream up to an offset. All daemons that have applied
// the same records hold the same state.
type State struct {
	shard int
	start int64
	next  int64

	anchored bool
	maxTerm  uint64
	pending  []positionedRecord

	term            uint64
	holder          string
	successor       string
	seq             uint64
	claimOffset     int64
	lastValidOffset int64
	lastAtMs        int64
	voidRecords     uint64

	requests map[string]*request
	jobs     map[string]*job
	uploads  map[uploadID]*job

	live *list.List // of *object, oldest full state first
	// appliedBytes counts the bytes of all records applied, liveBytes those of live
	// objects.
	appliedBytes int64
	liveBytes    int64
}

type positionedRecord struct {
	offset int64
	size   int
	rec    *Record
}

// object records where the last full state of a live object is on the stream, and its
// size. All other entries about the object are changes to its last full state.
type object struct {
	fullOffset   int64
	appliedBytes int64
	atMs         int64
	bytes        int64
	elem         *list.Element

	request *request
	job     *job
	chunk   *chunk
}

type request struct {
	object
	RequestBody
}

type uploadID struct{ job, upload string }

type job struct {
	object
	JobHeader
	// chunks are sorted by their first item. Some may be missing from the state of a
	// reader that began late, until the owner rewrites them forward on the log.
	chunks    []*chunk
	completed int
	failed    int
	// received counts the items in chunks.
	received int
	// aborting is set once the owner has proposed to drop the upload.
	aborting bool
}

type chunk struct {
	object
	owner *job
	first int
	items []ItemBody
	// routes holds the items' routes once an owner has computed them.
	routes []string
}

// ReplayStart returns the offset at which to begin a replay, given the stream's first and
// next offsets and its last record (nil if there is none or it can't be read). If
// anchored is true, records can be applied from there at once; otherwise State finds its
// own anchor, a record known to be valid.
//
// The Low of the last record can be used whoever wrote the record, even an owner that was
// paused and has lost its shard in the meantime: Low was correct for the prefix that the
// writer had applied, and it stays correct, because a later full state only moves an
// object forward on the stream, and new objects begin later. An outdated Low is merely
// lower. If the offset has expired, Low isn't used at all.
func ReplayStart(first, next int64, tail *Record) (start int64, anchored bool) {
	if tail != nil && tail.Low >= first && tail.Low < next {
		return tail.Low, true
	}
	return first, first == 0
}

// NewState returns an empty state to which records are applied from offset start on.
func NewState(shard int, start int64, anchored bool) *State {
	return &State{
		shard: shard, start: start, next: start, anchored: anchored,
		claimOffset: NoLow, lastValidOffset: NoLow,
		requests: map[string]*request{},
		jobs:     map[string]*job{},
		uploads:  map[uploadID]*job{},
		live:     list.New(),
	}
}

// Next returns the offset of the next record to apply.
func (s *State) Next() int64 { return s.next }

// Anchored reports whether the state is based on a record known to be valid and can be
// trusted; see ReplayStart.
func (s *State) Anchored() bool { return s.anchored }

// Term returns the shard's term and its holder; the holder is "" after a release.
func (s *State) Term() (term uint64, holder string) { return s.term, s.holder }

// Successor returns the incarnation id that the last release named.
func (s *State) Successor() string { return s.successor }

// LastAtMs returns the writer's clock in the last valid record, in Unix milliseconds.
func (s *State) LastAtMs() int64 { return s.lastAtMs }

// VoidRecords returns the number of records applied that were not valid.
func (s *State) VoidRecords() uint64 { return s.voidRecords }

// Apply applies the record at the offset and reports whether it is valid. A nil record
// stands for bytes that could not be decoded; it is void. A record before Next is
// ignored; one after Next returns an error of type Gap.
func (s *State) Apply(offset int64, size int, rec *Record) (valid bool, err error) {
	if offset < s.next {
		return false, nil
	}
	if offset > s.next {
		return false, Gap.New("record %d of shard %d follows %d", offset, s.shard, s.next-1)
	}
	s.next = offset + 1
	if rec == nil {
		s.voidRecords++
		return false, nil
	}
	if !s.anchored {
		return s.anchor(positionedRecord{offset: offset, size: size, rec: rec}), nil
	}
	return s.applyRecord(offset, size, rec), nil
}

// anchor buffers records until one has a Low within the records read so far. The record
// at that offset is valid, so its term and writer are those of the shard. Failing that, a
// reset claim becomes the anchor if its term is higher than that of every record read
// before it and than the offset at which this state began; then nothing older can be live
// (see Claim.Reset).
func (s *State) anchor(p positionedRecord) bool {
	s.pending = append(s.pending, p)
	at := p.rec.Low
	if p.rec.isReset() && p.rec.Term > s.maxTerm && int64(p.rec.Term) > s.start {
		at = p.offset
	}
	s.maxTerm = max(s.maxTerm, p.rec.Term)
	if at < s.start || at == NoLow {
		return false
	}
	pending := s.pending
	s.pending, s.anchored = nil, true
	s.start = at
	valid := false
	for _, q := range pending {
		if q.offset >= at {
			valid = s.applyRecord(q.offset, q.size, q.rec)
		}
	}
	return valid
}

func (r *Record) isReset() bool {
	return len(r.Entries) == 1 && r.Entries[0].Claim != nil && r.Entries[0].Claim.Reset
}

func (r *Record) isClaim() bool {
	return len(r.Entries) > 0 && r.Entries[0].Claim != nil
}

func (s *State) applyRecord(offset int64, size int, rec *Record) bool {
	s.appliedBytes += int64(size)
	if !s.isValid(offset, rec) {
		s.voidRecords++
		return false
	}
	if rec.isClaim() || s.lastValidOffset == NoLow {
		s.claimOffset = offset
	}
	s.term, s.holder, s.seq = rec.Term, rec.Writer, rec.Seq
	s.lastValidOffset, s.lastAtMs = offset, rec.AtMs
	for i := range rec.Entries {
		s.applyEntry(offset, rec.AtMs, &rec.Entries[i])
	}
	return true
}

// isValid decides whether a record is valid; this rule is all that the daemons have to
// agree on. A claim is valid if it is the first one for the next term. Any other record
// is valid only in the term and from the holder that the last claim set, so records
// written by a paused owner after it resumes are void for every reader alike. A record
// that was appended twice because the response to the first append was lost has the same
// Seq both times and is valid once, even if a delayed append lands after later records.
func (s *State) isValid(offset int64, rec *Record) bool {
	if offset == s.start && offset != 0 {
		return true // the anchor is known to be valid
	}
	if rec.isClaim() {
		if rec.Entries[0].Claim.Reset {
			return rec.Term > s.term
		}
		return rec.Term == s.term+1
	}
	held := s.holder != "" && rec.Writer == s.holder
	return held && rec.Term == s.term && rec.Seq > s.seq
}

// Low returns the low watermark to write into the next record; see Record.Low.
func (s *State) Low() int64 {
	if !s.anchored {
		return NoLow
	}
	if s.lastValidOffset == NoLow {
		return s.start
	}
	low := s.lastValidOffset
	if front := s.oldest(); front != nil {
		low = min(low, front.fullOffset)
	}
	return low
}

func (s *State) oldest() *object {
	e := s.live.Front()
	if e == nil {
		return nil
	}
	return e.Value.(*object)
}

// recordFullState records that the object's full state is at the offset.
func (s *State) recordFullState(o *object, offset, atMs, bytes int64) {
	s.liveBytes += bytes - o.bytes
	o.fullOffset, o.appliedBytes, o.atMs, o.bytes = offset, s.appliedBytes, atMs, bytes
	if o.elem == nil {
		o.elem = s.live.PushBack(o)
		return
	}
	s.live.MoveToBack(o.elem)
}

func (s *State) addBytes(o *object, bytes int64) {
	o.bytes += bytes
	s.liveBytes += bytes
}

func (s *State) removeObject(o *object) {
	if o.elem == nil {
		return
	}
	s.live.Remove(o.elem)
	o.elem = nil
	s.liveBytes -= o.bytes
}

func (s *State) applyEntry(offset, atMs int64, e *Entry) {
	switch {
	case e.Claim != nil:
		s.successor = ""
	case e.Release != nil:
		s.holder, s.successor = "", e.Release.Successor
	case e.Start != nil:
		s.putRequest(offset, atMs, e.Start.Request)
	case e.RestateRequest != nil:
		s.putRequest(offset, atMs, *e.RestateRequest)
	case e.Finish != nil:
		s.finishRequest(atMs, e.Finish)
	case e.Forget != nil:
		s.forget(e.Forget)
	default:
		s.applyJobEntry(offset, atMs, e)
	}
}
