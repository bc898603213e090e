package ledger

import "container/list"

// State is what a shard's stream has decided up to an offset. Every daemon that
// has applied the same records holds the same state.
type State struct {
	shard int
	start int64
	next  int64

	anchored bool
	maxTerm  uint64
	pending  []placed

	term      uint64
	holder    string
	successor string
	seq       uint64
	claimedAt int64
	lastValid int64
	lastAtMs  int64
	voids     uint64

	requests map[string]*request
	jobs     map[string]*job
	uploads  map[uploadID]*job

	live *list.List // *object, oldest full representation first
	// folded counts all bytes applied; liveBytes those of live objects.
	folded    int64
	liveBytes int64
}

type placed struct {
	offset int64
	size   int
	rec    *Record
}

// object is the bookkeeping of one live object: where its last full
// representation is and how much it weighs.
type object struct {
	since  int64
	folded int64
	atMs   int64
	bytes  int64
	elem   *list.Element

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
	// chunks are sorted by their first item; some may be missing while a
	// reader that began late waits for them to be restated.
	chunks    []*chunk
	completed int
	failed    int
	// received counts the items in chunks.
	received int
	// aborting is the owner's note that it has proposed to drop the upload.
	aborting bool
}

type chunk struct {
	object
	owner *job
	first int
	items []ItemBody
	// routes holds the items' routes once an owner has worked them out.
	routes []string
}

// Start says where to begin a fold, given the stream's bounds and its last
// record (nil if there is none or it can't be read). With anchored the fold may
// apply records at once; otherwise State finds its own anchor.
//
// The last record's Low is good whoever wrote it, even an owner that was paused
// past the loss of its shard: Low was true of the prefix its writer had folded,
// and it stays true, because a later full representation only moves objects
// forward and later objects begin later. A stale Low is merely older. If it has
// expired it isn't used at all.
func Start(first, next int64, tail *Record) (start int64, anchored bool) {
	if tail != nil && tail.Low >= first && tail.Low < next {
		return tail.Low, true
	}
	return first, first == 0
}

// NewState returns an empty state that will be given records from start on.
func NewState(shard int, start int64, anchored bool) *State {
	return &State{
		shard: shard, start: start, next: start, anchored: anchored,
		claimedAt: NoLow, lastValid: NoLow,
		requests: map[string]*request{},
		jobs:     map[string]*job{},
		uploads:  map[uploadID]*job{},
		live:     list.New(),
	}
}

// Next is the offset of the next record to apply.
func (s *State) Next() int64 { return s.next }

// Anchored tells whether the state can be trusted; see Start.
func (s *State) Anchored() bool { return s.anchored }

// Term and holder of the shard; the holder is "" after a release.
func (s *State) Term() (term uint64, holder string) { return s.term, s.holder }

// Successor is the incarnation id that the last release named.
func (s *State) Successor() string { return s.successor }

// LastAtMs is the writer's clock in the last record that counted.
func (s *State) LastAtMs() int64 { return s.lastAtMs }

// Voids counts records that did not count.
func (s *State) Voids() uint64 { return s.voids }

// Apply folds the record at the offset and tells whether it counts. A nil
// record stands for bytes that could not be read.
func (s *State) Apply(offset int64, size int, rec *Record) (valid bool, err error) {
	if offset < s.next {
		return false, nil
	}
	if offset > s.next {
		return false, Gap.New("record %d of shard %d follows %d", offset, s.shard, s.next-1)
	}
	s.next = offset + 1
	if rec == nil {
		s.voids++
		return false, nil
	}
	if !s.anchored {
		return s.anchor(placed{offset: offset, size: size, rec: rec}), nil
	}
	return s.fold(offset, size, rec), nil
}

// anchor buffers records until one tells a Low that lies within what was read:
// the record at that offset counted, so its term and writer are the shard's.
// Failing that, a reset claim anchors if no record since its own beginning had
// a term as high; then nothing older can be live (see Claim.Reset).
func (s *State) anchor(p placed) bool {
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
			valid = s.fold(q.offset, q.size, q.rec)
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

func (s *State) fold(offset int64, size int, rec *Record) bool {
	s.folded += int64(size)
	if !s.counts(offset, rec) {
		s.voids++
		return false
	}
	if rec.isClaim() || s.lastValid == NoLow {
		s.claimedAt = offset
	}
	s.term, s.holder, s.seq = rec.Term, rec.Writer, rec.Seq
	s.lastValid, s.lastAtMs = offset, rec.AtMs
	for i := range rec.Entries {
		s.applyEntry(offset, rec.AtMs, &rec.Entries[i])
	}
	return true
}

// counts is the whole agreement. A claim counts if it is the first for the next
// term; any other record only in the term and from the holder that the last
// claim set. So a paused owner that wakes up writes records that are void, on
// every reader alike. A record appended twice (its first answer was lost) has
// the same Seq and counts once, also when a delayed append lands after later
// ones.
func (s *State) counts(offset int64, rec *Record) bool {
	if offset == s.start && offset != 0 {
		return true // the anchor: known to have counted
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

// Low is what the next record says as its Low.
func (s *State) Low() int64 {
	if !s.anchored {
		return NoLow
	}
	if s.lastValid == NoLow {
		return s.start
	}
	low := s.lastValid
	if front := s.oldest(); front != nil {
		low = min(low, front.since)
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

// stated notes a full representation of the object at the offset.
func (s *State) stated(o *object, offset, atMs, bytes int64) {
	s.liveBytes += bytes - o.bytes
	o.since, o.folded, o.atMs, o.bytes = offset, s.folded, atMs, bytes
	if o.elem == nil {
		o.elem = s.live.PushBack(o)
		return
	}
	s.live.MoveToBack(o.elem)
}

func (s *State) grown(o *object, bytes int64) {
	o.bytes += bytes
	s.liveBytes += bytes
}

func (s *State) dropped(o *object) {
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
