package ledger

import "tarragonhollow.example/tarragonhollow/core/outcome"

// CallID names a call that waits for an owner's reply.
type CallID uint64

// Reply is an owner's word on a call; the field that fits the call is set.
type Reply struct {
	Call CallID
	// Lost tells that the shard is held by another daemon now: ask that one.
	Lost   bool
	Begin  *BeginReply
	Finish *FinishReply
	Chunk  *JobChunkReply
	Commit *JobCommitReply
	Ends   *FinishItemsReply
	Cancel *CancelReply
}

// CancelReply answers a cancel once no new item will start anywhere.
type CancelReply struct {
	Status  JobStatus
	Refusal *outcome.Refusal
}

// Limits bounds what an owner keeps.
type Limits struct {
	// KeptAnswersMs is how long a keyed request's answer stays after its end,
	// KeptResultsMs how long a job's results do, in milliseconds.
	KeptAnswersMs int64
	KeptResultsMs int64
	// CrashLimit is how many targets an item may crash before it fails.
	CrashLimit int
}

// OwnerConfig is what an owner is told at its start. Its functions answer from
// the daemon's memory at once.
type OwnerConfig struct {
	Shard int
	// Self is this daemon's incarnation id.
	Self string
	// Live tells whether an incarnation is still taken for running.
	Live func(id string) bool
	// GroupOf names the target group that serves an item; !ok is "none".
	GroupOf func(Item) (group string, ok bool)
	// Limits returns the bounds in force.
	Limits func() Limits
	// LeaseMs is how long a steward may hold an item without renewing it.
	LeaseMs int64
	// PaceMs is the least time between two appends of batch changes, UrgentMs
	// that before an urgent one.
	PaceMs   int64
	UrgentMs int64
	// RetentionMs is how long the log keeps a record.
	RetentionMs int64
}

type phase int

const (
	claiming phase = iota
	holding
	lost
)

const (
	// maxRecordBytes is the size a record is filled up to. With the largest
	// single entry on top it stays below a log's limit of 1 MiB.
	maxRecordBytes = 320 << 10
	// minRecordBytes is the least that a refusing log may press it to.
	minRecordBytes = 16 << 10
	// maxAnswerBytes bounds a kept answer, maxItemBytes a job line.
	maxAnswerBytes = 512 << 10
	maxItemBytes   = 512 << 10
	// ringBytes and ringLen bound what waits for the log during an outage.
	ringBytes = 32 << 20
	ringLen   = 1 << 16
	// outageRetryMs is the pause before the log is tried again, and what a
	// refused caller is told.
	outageRetryMs = 1000
	// callWaitMs bounds how long a call waits for its record to be read back.
	callWaitMs = 3000
)

// Owner is the pure state machine of a shard's holder: calls, outcomes of
// appends and records read back step in; replies and the next record come out.
type Owner struct {
	cfg   OwnerConfig
	st    *State
	now   int64
	phase phase
	term  uint64
	seq   uint64

	urgent    []proposal
	normal    []proposal
	waiting   int // bytes of proposals in both queues
	maxRecord int
	flight    *flight

	lastAppendMs int64
	retryAtMs    int64
	appendDown   bool
	readDown     bool
	releaseTo    *string

	heldSinceMs int64
	graceUntil  int64
	replies     []Reply

	runs    map[string]*run
	uploads map[uploadID]*upload
	scheds  map[string]*sched
	leases  map[itemKey]*lease
	ready   map[string][]itemKey
	ends    map[itemKey]*pendingEnd
	cancels map[string]*cancellation
	revoke  []string
	served  map[string]float64
	// routeNames interns routes.
	routeNames map[string]string

	nextSweepMs int64
	figures     Figures
}

// Figures counts what an owner did, for metrics and benchmarks.
type Figures struct {
	// Appends counts records built, Items the items handed to stewards and
	// Restated the objects stated anew.
	Appends  uint64
	Items    uint64
	Restated uint64
	// RingRefused counts completions that found the ring full.
	RingRefused uint64
	// Waiting counts the proposals that wait for the log, WaitingBytes their bytes.
	Waiting      int
	WaitingBytes int
	// Voids counts records read that did not count.
	Voids uint64
}

// Add adds g to f.
func (f *Figures) Add(g Figures) {
	f.Appends += g.Appends
	f.Items += g.Items
	f.Restated += g.Restated
	f.RingRefused += g.RingRefused
	f.Waiting += g.Waiting
	f.WaitingBytes += g.WaitingBytes
	f.Voids += g.Voids
}

// NewOwner returns an owner that will claim the shard whose state it is given.
// The owner folds the state on from here.
func NewOwner(cfg OwnerConfig, st *State, nowMs int64) *Owner {
	o := &Owner{
		cfg: cfg, st: st, now: nowMs, maxRecord: maxRecordBytes,
		runs: map[string]*run{}, uploads: map[uploadID]*upload{},
		scheds: map[string]*sched{}, leases: map[itemKey]*lease{},
		ready: map[string][]itemKey{}, ends: map[itemKey]*pendingEnd{},
		cancels: map[string]*cancellation{}, served: map[string]float64{},
		routeNames: map[string]string{},
	}
	o.term = st.term + 1
	if !st.anchored {
		// The stream tells no term; see Claim.Reset. Offsets begin at 0, so one
		// more than the next offset is above every earlier term.
		o.term = uint64(st.next) + 1
	}
	return o
}

// Holding tells whether the shard is held, as far as this daemon has read.
func (o *Owner) Holding() bool { return o.phase == holding }

// Lost tells that another daemon won the claim or has claimed a later term, or
// that the shard was released.
func (o *Owner) Lost() bool { return o.phase == lost }

// Term is the term that was claimed.
func (o *Owner) Term() uint64 { return o.term }

// State is the state as folded so far; it belongs to the owner.
func (o *Owner) State() *State { return o.st }

// Figures returns the owner's counters.
func (o *Owner) Figures() Figures {
	f := o.figures
	f.Waiting = len(o.urgent) + len(o.normal)
	if o.flight != nil {
		f.Waiting += len(o.flight.props)
	}
	f.WaitingBytes = o.waiting
	f.Voids = o.st.voids
	return f
}

// LogOK tells whether the log took and gave records at the last try.
func (o *Owner) LogOK() bool { return !o.appendDown && !o.readDown }

// Replies takes the replies that have become ready.
func (o *Owner) Replies() []Reply {
	r := o.replies
	o.replies = nil
	return r
}

// Revokes takes the jobs whose leases have to be revoked at every steward; the
// daemon answers each with Revoked.
func (o *Owner) Revokes() []string {
	r := o.revoke
	o.revoke = nil
	return r
}

// Release proposes to give the shard up to the successor ("" is nobody in
// particular) and tells whether that is new.
func (o *Owner) Release(nowMs int64, successor string) bool {
	o.now = nowMs
	if o.releaseTo != nil {
		return false
	}
	o.releaseTo = &successor
	return true
}

// Tick ends waits that have lasted too long. The daemon calls it a few times a
// second.
func (o *Owner) Tick(nowMs int64) {
	o.now = nowMs
	if o.phase != holding {
		return
	}
	o.tickRuns()
	o.tickUploads()
	o.tickLeases()
	o.tickEnds()
	o.tickCancels()
	if nowMs >= o.nextSweepMs {
		o.nextSweepMs = nowMs + sweepMs
		o.sweep()
	}
}

func (o *Owner) reply(r Reply) { o.replies = append(o.replies, r) }

func logUnavailable() *outcome.Refusal {
	return outcome.Refuse(outcome.LogUnavailable, "the log cannot be reached, nothing was begun").
		After(outageRetryMs)
}

// became sets the owner to work after its claim was read back.
func (o *Owner) became() {
	o.phase = holding
	o.heldSinceMs = o.now
	o.graceUntil = o.now + o.cfg.LeaseMs
	o.nextSweepMs = o.now + sweepMs
	for _, j := range o.st.jobs {
		o.resumeJob(j)
	}
}

// lose answers every waiting call: another daemon decides now.
func (o *Owner) lose() {
	o.phase = lost
	o.flight, o.urgent, o.normal, o.waiting = nil, nil, nil, 0
	for _, call := range o.waitingCalls() {
		o.reply(Reply{Call: call, Lost: true})
	}
	clear(o.runs)
	clear(o.uploads)
	clear(o.ends)
	clear(o.cancels)
}

func (o *Owner) waitingCalls() []CallID {
	var calls []CallID
	add := func(ws []waiter) {
		for _, w := range ws {
			calls = append(calls, w.call)
		}
	}
	for _, r := range o.runs {
		add(r.askers)
		add(r.waiters)
		add(r.finishers)
	}
	for _, u := range o.uploads {
		add(u.room)
		add(u.commits)
	}
	for _, c := range o.cancels {
		add(c.calls)
	}
	batches := map[*endBatch]bool{}
	for _, p := range o.ends {
		for _, b := range p.batches {
			if !batches[b] && !b.answered {
				batches[b] = true
				calls = append(calls, b.call)
			}
		}
	}
	return calls
}
