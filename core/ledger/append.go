package ledger

import "tarragonhollow.example/tarragonhollow/core/outcome"

// proposal is a change that waits for its place on the log.
type proposal interface {
	// subject is what it changes, see Owner.fits.
	subject() subject
	// entries returns what to append, given the state now; none if the state
	// has made it moot.
	entries(o *Owner) []Entry
	// settled is called when the entries were read back as valid, or when the
	// proposal was moot.
	settled(o *Owner)
	// withdraw is called when the log certainly did not take the entries. It
	// returns true if the proposal gives up, having told its callers why.
	withdraw(o *Owner, cause *outcome.Refusal) bool
	// size is the estimated size of its entries.
	size() int
}

// subject names the request or job that a proposal changes. An exclusive
// proposal was decided on the subject's state, so it shares no record with
// another change of the subject, whose effect the state does not show yet.
type subject struct {
	name      string
	exclusive bool
}

func requestSubject(key string) subject { return subject{name: "r " + key, exclusive: true} }

func jobSubject(job string, exclusive bool) subject {
	return subject{name: "j " + job, exclusive: exclusive}
}

// AppendOutcome tells how an append ended.
type AppendOutcome int

const (
	// Appended: the record is on the stream.
	Appended AppendOutcome = iota
	// Unavailable: certainly not appended, the log is out.
	Unavailable
	// Limited: certainly not appended, the log asks for patience.
	Limited
	// TooLarge: certainly not appended, the record is too large.
	TooLarge
	// Unknown: the answer was lost.
	Unknown
)

// flight is the one record of this owner that may be on its way.
type flight struct {
	data  []byte
	seq   uint64
	props []proposal
	sent  bool // an append is going on
	// maybe is set once an answer was lost: from then on only reading back
	// tells, and the record is appended again only as it was, with its Seq, so
	// that it counts once however many of its appends land and whenever.
	maybe bool
	// bound is the stream's next offset after the answer was lost; a state
	// folded up to it that hasn't met the record allows another try.
	bound int64
	acked bool
}

const noBound int64 = -1

func (o *Owner) queue(p proposal, urgent bool) {
	o.waiting += p.size()
	if urgent {
		o.urgent = append(o.urgent, p)
		return
	}
	o.normal = append(o.normal, p)
}

// ringFull tells whether completions that wait for the log must be refused.
func (o *Owner) ringFull() bool { return o.waiting > ringBytes || len(o.normal) > ringLen }

// NextAppend returns when the next record may be built, Unix milliseconds, and
// whether that is early for the sake of an urgent change, which the daemon
// charges to its budget. ok is false if nothing is to be appended.
func (o *Owner) NextAppend() (atMs int64, urgent, ok bool) {
	if o.phase == lost {
		return 0, false, false
	}
	if f := o.flight; f != nil {
		again := !f.sent && !f.acked && f.bound != noBound && o.st.next >= f.bound
		return max(o.retryAtMs, o.now), true, again
	}
	if o.phase == claiming {
		return o.retryAtMs, true, true
	}
	if len(o.urgent) > 0 || o.releaseTo != nil {
		return max(o.lastAppendMs+o.cfg.UrgentMs, o.retryAtMs), true, true
	}
	if len(o.normal) > 0 || o.restateDue(o.st.oldest()) || o.termDue() {
		return max(o.lastAppendMs+o.cfg.PaceMs, o.retryAtMs), false, true
	}
	return 0, false, false
}

// Build returns the next record's bytes, nil if there is nothing to append now.
// The daemon appends them and reports with AppendDone.
func (o *Owner) Build(nowMs int64) ([]byte, error) {
	o.now = nowMs
	atMs, _, ok := o.NextAppend()
	if !ok || nowMs < atMs {
		return nil, nil
	}
	if o.flight != nil {
		o.flight.sent = true
		o.lastAppendMs = nowMs
		return o.flight.data, nil
	}
	rec, props := o.fill()
	if len(rec.Entries) == 0 && !o.termDue() {
		return nil, nil
	}
	data, err := EncodeRecord(rec)
	if err != nil {
		return nil, err
	}
	o.seq = rec.Seq
	o.flight = &flight{data: data, seq: rec.Seq, props: props, sent: true, bound: noBound}
	o.lastAppendMs = nowMs
	o.figures.Appends++
	return data, nil
}

func (o *Owner) fill() (*Record, []proposal) {
	rec := &Record{
		Shard: o.cfg.Shard, Term: o.term, Writer: o.cfg.Self, Seq: o.seq + 1,
		Low: o.st.Low(), AtMs: o.now,
	}
	if o.phase == claiming {
		rec.Entries = []Entry{{Claim: &Claim{Reset: !o.st.anchored}}}
		return rec, nil
	}
	b := &batch{rec: rec, touched: map[string]bool{}, room: o.maxRecord - o.restate(rec)}
	urgent, normal := o.urgent, o.normal
	o.urgent, o.normal = nil, nil // a moot proposal may queue another
	o.urgent = append(o.take(b, urgent), o.urgent...)
	o.normal = append(o.take(b, normal), o.normal...)
	if o.releaseTo != nil && len(o.urgent) == 0 && len(o.normal) == 0 {
		rec.Entries = append(rec.Entries, Entry{Release: &Release{Successor: *o.releaseTo}})
	}
	return rec, b.props
}

// batch is a record being filled. touched maps the subjects in it to whether
// they were changed exclusively.
type batch struct {
	rec     *Record
	props   []proposal
	touched map[string]bool
	room    int
}

// take moves what fits from the queue into the record and returns the rest, in
// order.
func (o *Owner) take(b *batch, queue []proposal) []proposal {
	var rest []proposal
	for i, p := range queue {
		if b.room <= 0 {
			return append(rest, queue[i:]...)
		}
		if !b.fits(p.subject()) {
			rest = append(rest, p)
			continue
		}
		o.waiting -= p.size()
		entries := p.entries(o)
		if len(entries) == 0 {
			p.settled(o)
			continue
		}
		b.add(p, entries)
	}
	return rest
}

func (b *batch) fits(s subject) bool {
	exclusive, there := b.touched[s.name]
	fits := !there || (!exclusive && !s.exclusive)
	b.touched[s.name] = exclusive || s.exclusive
	return fits
}

func (b *batch) add(p proposal, entries []Entry) {
	b.props = append(b.props, p)
	b.room -= p.size()
	for _, e := range entries {
		b.rec.addEntry(e)
	}
}

// addEntry groups item changes that follow each other.
func (r *Record) addEntry(e Entry) {
	if n := len(r.Entries); n > 0 {
		last := &r.Entries[n-1]
		if e.Ends != nil && last.Ends != nil {
			last.Ends.Changes = append(last.Ends.Changes, e.Ends.Changes...)
			return
		}
		if e.Starts != nil && last.Starts != nil {
			last.Starts.Marks = append(last.Starts.Marks, e.Starts.Marks...)
			return
		}
	}
	r.Entries = append(r.Entries, e)
}

// AppendDone reports how the append of the built record ended. retryAfterMs is
// the log's wish, 0 if none.
func (o *Owner) AppendDone(nowMs int64, out AppendOutcome, retryAfterMs int64) {
	o.now = nowMs
	f := o.flight
	if f == nil { // read back before the answer came
		o.appendDown = o.appendDown && out != Appended
		return
	}
	f.sent = false
	wait := int64(outageRetryMs / 4)
	switch out {
	case Appended:
		o.appendDown = false
		f.acked = true
		return
	case Unknown:
		f.maybe = true
	case Unavailable:
		o.appendDown = true
	case Limited, TooLarge:
		wait = o.cfg.UrgentMs
	}
	o.retryAtMs = nowMs + max(retryAfterMs, wait)
	if f.maybe {
		f.bound = noBound // the daemon asks for a new one
		return
	}
	o.unsend(out)
}

// unsend takes back a record that is certainly not on the stream.
func (o *Owner) unsend(out AppendOutcome) {
	f := o.flight
	o.flight = nil
	o.seq--
	switch out {
	case Limited:
		o.requeue(f.props, nil)
	case TooLarge:
		o.shrink(f.props)
	default:
		o.requeue(f.props, logUnavailable())
		o.withdrawQueued()
	}
}

func (o *Owner) requeue(props []proposal, cause *outcome.Refusal) {
	var kept []proposal
	for _, p := range props {
		if cause != nil && p.withdraw(o, cause) {
			continue
		}
		o.waiting += p.size()
		kept = append(kept, p)
	}
	o.urgent = append(kept, o.urgent...)
}

func (o *Owner) withdrawQueued() {
	o.urgent = o.withdrawFrom(o.urgent)
	o.normal = o.withdrawFrom(o.normal)
}

func (o *Owner) withdrawFrom(queue []proposal) []proposal {
	var kept []proposal
	for _, p := range queue {
		if p.withdraw(o, logUnavailable()) {
			o.waiting -= p.size()
			continue
		}
		kept = append(kept, p)
	}
	return kept
}

// shrink answers a log that refuses the record's size: smaller records first,
// then, if a single change is too large, that change is refused.
func (o *Owner) shrink(props []proposal) {
	if len(props) > 1 {
		o.maxRecord = max(minRecordBytes, o.maxRecord/2)
		o.requeue(props, nil)
		return
	}
	o.maxRecord = max(minRecordBytes, o.maxRecord/2)
	o.requeue(props, outcome.Refuse(outcome.TooLarge, "the log does not take a record of this size"))
}

// NeedsBound tells that an answer was lost and the daemon should ask the log
// for the stream's next offset and report it with SetBound.
func (o *Owner) NeedsBound() bool {
	f := o.flight
	return f != nil && f.maybe && !f.sent && f.bound == noBound
}

// SetBound reports the stream's next offset, asked for after the answer was lost.
func (o *Owner) SetBound(next int64) {
	if o.flight != nil && !o.flight.sent {
		o.flight.bound = next
	}
}

// Read steps a page of the stream in. first is the earliest offset kept. An
// error of type Gap means that the fold can't go on and must be begun anew.
func (o *Owner) Read(nowMs, offset int64, data []byte) error {
	o.now = nowMs
	rec, _ := DecodeRecord(o.cfg.Shard, data) // nil stands for a void record
	fresh := offset >= o.st.next
	valid, err := o.st.Apply(offset, len(data), rec)
	if err != nil {
		return err
	}
	if rec == nil || !fresh {
		return nil
	}
	o.follow(rec, valid)
	return nil
}

// follow draws the conclusions of a record just folded.
func (o *Owner) follow(rec *Record, valid bool) {
	term, holder := o.st.Term()
	mine := rec.Writer == o.cfg.Self && rec.Term == o.term
	own := valid && mine && o.flight != nil && rec.Seq == o.flight.seq
	switch {
	case o.phase == lost:
		return
	case o.phase == claiming && own:
		o.flight = nil
		o.became()
		return
	case o.phase == claiming && o.st.anchored && term >= o.term:
		o.lose()
		return
	case own:
		o.landed()
	}
	if o.phase == holding && (term != o.term || holder != o.cfg.Self) {
		o.lose()
	}
}

func (o *Owner) landed() {
	props := o.flight.props
	o.flight = nil
	o.appendDown = false
	for _, p := range props {
		p.settled(o)
	}
}

// ReadFailed and ReadOK report whether the stream can be read.
func (o *Owner) ReadFailed(nowMs int64) { o.now, o.readDown = nowMs, true }

// ReadOK also ends the time after a failed append in which nothing new is
// begun: once the log's pause is over and reads succeed, the next change tries.
func (o *Owner) ReadOK(nowMs int64) {
	o.now, o.readDown = nowMs, false
	if o.appendDown && nowMs >= o.retryAtMs && o.flight == nil {
		o.appendDown = false
	}
}
