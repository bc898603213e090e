package ledger

import "tarragonhollow.example/tarragonhollow/core/outcome"

// proposal is a change that waits to be written to the log.
type proposal interface {
	// subject returns the request or job that the proposal changes; see
	// recordBuilder.fits.
	subject() subject
	// entries returns the entries to append in view of the current state, none if the
	// state has made the proposal obsolete.
	entries(o *Owner) []Entry
	// done is called when the entries were read back as valid, or when the proposal was
	// obsolete.
	done(o *Owner)
	// withdraw is called when the log has certainly not stored the entries. It returns
	// true if the proposal is dropped, after its callers were answered with the cause.
	withdraw(o *Owner, cause *outcome.Refusal) bool
	// size returns the estimated size of the entries in bytes.
	size() int
}

// subject identifies the request or job that a proposal changes. An exclusive proposal
// was decided on the current state of its subject. It must not share a record with
// another change of the same subject, because the state doesn't reflect that change yet.
type subject struct {
	name      string
	exclusive bool
}

func requestSubject(key string) subject { return subject{name: "r " + key, exclusive: true} }

func jobSubject(job string, exclusive bool) subject {
	return subject{name: "j " + job, exclusive: exclusive}
}

// AppendOutcome is the outcome of an append.
type AppendOutcome int

const (
	// Appended: the record is on the stream.
	Appended AppendOutcome = iota
	// Unavailable: certainly not appended, the log is unavailable.
	Unavailable
	// Throttled: certainly not appended, the log limits the rate.
	Throttled
	// TooLarge: certainly not appended, the record is too large.
	TooLarge
	// Unknown: the response was lost, so the record may have been appended.
	Unknown
)

// inFlight is the owner's record that is being appended or waits to be read back. There
// is at most one.
type inFlight struct {
	data      []byte
	seq       uint64
	props     []proposal
	appending bool // an append is running
	// outcomeUnknown is set once a response was lost. From then on only reading back
	// shows whether the record was stored. It is appended again only unchanged, with its
	// Seq, so that it is valid once, however many of its appends land and however late.
	outcomeUnknown bool
	// retryOffset is the stream's next offset after the response was lost. If the state
	// was applied up to it without meeting the record, the append may be retried.
	retryOffset int64
	acked       bool
}

const noRetryOffset int64 = -1

func (o *Owner) propose(p proposal, urgent bool) {
	o.queuedBytes += p.size()
	if urgent {
		o.urgent = append(o.urgent, p)
		return
	}
	o.normal = append(o.normal, p)
}

// queueFull reports whether completions that would wait for the log must be refused.
func (o *Owner) queueFull() bool { return o.queuedBytes > maxQueueBytes || len(o.normal) > maxQueueLen }

// NextAppend returns when the next record may be built, Unix milliseconds, and whether
// that is early because of an urgent change, which the daemon charges to its budget. ok
// is false if there is nothing to append.
func (o *Owner) NextAppend() (atMs int64, urgent, ok bool) {
	if o.phase == lost {
		return 0, false, false
	}
	if f := o.inFlight; f != nil {
		retry := !f.appending && !f.acked && f.retryOffset != noRetryOffset && o.st.next >= f.retryOffset
		return max(o.retryAtMs, o.now), true, retry
	}
	if o.phase == claiming {
		return o.retryAtMs, true, true
	}
	if len(o.urgent) > 0 || o.releaseTo != nil {
		return max(o.lastAppendMs+o.cfg.UrgentIntervalMs, o.retryAtMs), true, true
	}
	if len(o.normal) > 0 || o.rewriteDue(o.st.oldest()) || o.keepAliveDue() {
		return max(o.lastAppendMs+o.cfg.AppendIntervalMs, o.retryAtMs), false, true
	}
	return 0, false, false
}

// Build returns the encoding of the next record, nil if there is nothing to append now.
// The daemon appends it and reports the outcome with AppendDone.
func (o *Owner) Build(nowMs int64) ([]byte, error) {
	o.now = nowMs
	atMs, _, ok := o.NextAppend()
	if !ok || nowMs < atMs {
		return nil, nil
	}
	if o.inFlight != nil {
		o.inFlight.appending = true
		o.lastAppendMs = nowMs
		return o.inFlight.data, nil
	}
	rec, props := o.buildRecord()
	if len(rec.Entries) == 0 && !o.keepAliveDue() {
		return nil, nil
	}
	data, err := EncodeRecord(rec)
	if err != nil {
		return nil, err
	}
	o.seq = rec.Seq
	o.inFlight = &inFlight{data: data, seq: rec.Seq, props: props, appending: true, retryOffset: noRetryOffset}
	o.lastAppendMs = nowMs
	o.stats.Appends++
	return data, nil
}

func (o *Owner) buildRecord() (*Record, []proposal) {
	rec := &Record{
		Shard: o.cfg.Shard, Term: o.term, Writer: o.cfg.Self, Seq: o.seq + 1,
		Low: o.st.Low(), AtMs: o.now,
	}
	if o.phase == claiming {
		rec.Entries = []Entry{{Claim: &Claim{Reset: !o.st.anchored}}}
		return rec, nil
	}
	b := &recordBuilder{rec: rec, touched: map[string]bool{}, bytesLeft: o.maxRecord - o.rewriteOldest(rec)}
	urgent, normal := o.urgent, o.normal
	o.urgent, o.normal = nil, nil // an obsolete proposal may propose another
	o.urgent = append(o.fillFrom(b, urgent), o.urgent...)
	o.normal = append(o.fillFrom(b, normal), o.normal...)
	if o.releaseTo != nil && len(o.urgent) == 0 && len(o.normal) == 0 {
		rec.Entries = append(rec.Entries, Entry{Release: &Release{Successor: *o.releaseTo}})
	}
	return rec, b.props
}

// recordBuilder is a record being filled. touched maps the subjects of its changes to
// whether a change was exclusive.
type recordBuilder struct {
	rec       *Record
	props     []proposal
	touched   map[string]bool
	bytesLeft int
}

// fillFrom moves the proposals that fit from the queue into the record and returns the
// rest, in order.
func (o *Owner) fillFrom(b *recordBuilder, queue []proposal) []proposal {
	var rest []proposal
	for i, p := range queue {
		if b.bytesLeft <= 0 {
			return append(rest, queue[i:]...)
		}
		if !b.fits(p.subject()) {
			rest = append(rest, p)
			continue
		}
		o.queuedBytes -= p.size()
		entries := p.entries(o)
		if len(entries) == 0 {
			p.done(o)
			continue
		}
		b.add(p, entries)
	}
	return rest
}

func (b *recordBuilder) fits(s subject) bool {
	exclusive, found := b.touched[s.name]
	fits := !found || (!exclusive && !s.exclusive)
	b.touched[s.name] = exclusive || s.exclusive
	return fits
}

func (b *recordBuilder) add(p proposal, entries []Entry) {
	b.props = append(b.props, p)
	b.bytesLeft -= p.size()
	for _, e := range entries {
		b.rec.addEntry(e)
	}
}

// addEntry appends an entry; consecutive item changes are merged into one.
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

// AppendDone reports the outcome of appending the built record. retryAfterMs is the pause
// that the log requested, 0 if none.
func (o *Owner) AppendDone(nowMs int64, out AppendOutcome, retryAfterMs int64) {
	o.now = nowMs
	f := o.inFlight
	if f == nil { // read back before the response arrived
		o.appendDown = o.appendDown && out != Appended
		return
	}
	f.appending = false
	wait := int64(outageRetryMs / 4)
	switch out {
	case Appended:
		o.appendDown = false
		f.acked = true
		return
	case Unknown:
		f.outcomeUnknown = true
	case Unavailable:
		o.appendDown = true
	case Throttled, TooLarge:
		wait = o.cfg.UrgentIntervalMs
	}
	o.retryAtMs = nowMs + max(retryAfterMs, wait)
	if f.outcomeUnknown {
		f.retryOffset = noRetryOffset // the daemon fetches a new one
		return
	}
	o.undoAppend(out)
}

// undoAppend requeues the proposals of a record that is certainly not on the stream.
func (o *Owner) undoAppend(out AppendOutcome) {
	f := o.inFlight
	o.inFlight = nil
	o.seq--
	switch out {
	case Throttled:
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
		o.queuedBytes += p.size()
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
			o.queuedBytes -= p.size()
			continue
		}
		kept = append(kept, p)
	}
	return kept
}

// shrink handles a log that rejects the record's size: it halves the maximum size of
// records and, if the record held a single change, refuses that change.
func (o *Owner) shrink(props []proposal) {
	if len(props) > 1 {
		o.maxRecord = max(minRecordBytes, o.maxRecord/2)
		o.requeue(props, nil)
		return
	}
	o.maxRecord = max(minRecordBytes, o.maxRecord/2)
	o.requeue(props, outcome.Refuse(outcome.TooLarge, "the log does not take a record of this size"))
}

// NeedsRetryOffset reports that a response was lost: the daemon should fetch the stream's
// next offset from the log and pass it to SetRetryOffset.
func (o *Owner) NeedsRetryOffset() bool {
	f := o.inFlight
	return f != nil && f.outcomeUnknown && !f.appending && f.retryOffset == noRetryOffset
}

// SetRetryOffset sets the stream's next offset, fetched after a response was lost.
func (o *Owner) SetRetryOffset(next int64) {
	if o.inFlight != nil && !o.inFlight.appending {
		o.inFlight.retryOffset = next
	}
}

// Apply applies a record read from the stream. An error of type Gap means that the owner
// can't continue and the replay must begin again.
func (o *Owner) Apply(nowMs, offset int64, data []byte) error {
	o.now = nowMs
	rec, _ := DecodeRecord(o.cfg.Shard, data) // nil stands for a void record
	isNew := offset >= o.st.next
	valid, err := o.st.Apply(offset, len(data), rec)
	if err != nil {
		return err
	}
	if rec == nil || !isNew {
		return nil
	}
	o.afterApply(rec, valid)
	return nil
}

// afterApply updates the owner after a record was applied: it starts or ends holding the
// shard, and completes the record in flight.
func (o *Owner) afterApply(rec *Record, valid bool) {
	term, holder := o.st.Term()
	fromSelf := rec.Writer == o.cfg.Self && rec.Term == o.term
	isInFlight := valid && fromSelf && o.inFlight != nil && rec.Seq == o.inFlight.seq
	switch {
	case o.phase == lost:
		return
	case o.phase == claiming && isInFlight:
		o.inFlight = nil
		o.startHolding()
		return
	case o.phase == claiming && o.st.anchored && term >= o.term:
		o.loseShard()
		return
	case isInFlight:
		o.completeInFlight()
	}
	if o.phase == holding && (term != o.term || holder != o.cfg.Self) {
		o.loseShard()
	}
}

func (o *Owner) completeInFlight() {
	props := o.inFlight.props
	o.inFlight = nil
	o.appendDown = false
	for _, p := range props {
		p.done(o)
	}
}

// ReadFailed reports that the stream can't be read at the moment.
func (o *Owner) ReadFailed(nowMs int64) { o.now, o.readDown = nowMs, true }

// ReadOK reports that the stream can be read. It also ends the period after a failed
// append in which no new work is begun: once the log's pause is over and reads succeed,
// the next change is appended.
func (o *Owner) ReadOK(nowMs int64) {
	o.now, o.readDown = nowMs, false
	if o.appendDown && nowMs >= o.retryAtMs && o.inFlight == nil {
		o.appendDown = false
	}
}
