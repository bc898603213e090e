package ledger

import "tarragonhollow.example/tarragonhollow/core/outcome"

// CallID identifies a call that waits for an owner's reply.
type CallID uint64

// Reply is an owner's reply to a call. Only the field that matches the call is set.
type Reply struct {
	Call CallID
	// Lost reports that another daemon holds the shard now; repeat the call there.
	Lost   bool
	Begin  *BeginReply
	Finish *FinishReply
	Chunk  *JobChunkReply
	Commit *JobCommitReply
	Ends   *FinishItemsReply
	Cancel *CancelReply
}

// CancelReply answers a cancel once no new item can start on any host.
type CancelReply struct {
	Status  JobStatus
	Refusal *outcome.Refusal
}

// Limits bounds what an owner retains and retries.
type Limits struct {
	// KeptAnswersMs is how long the answer of a keyed request is retained after the
	// request ended, KeptResultsMs how long the results of a job are, in milliseconds.
	KeptAnswersMs int64
	KeptResultsMs int64
	// CrashLimit is how many targets an item may crash before it fails.
	CrashLimit int
}

// OwnerConfig configures an owner. Its functions must answer from memory, without
// blocking.
type OwnerConfig struct {
	Shard int
	// Self is this daemon's incarnation id.
	Self string
	// Live reports whether an incarnation is still considered running.
	Live func(id string) bool
	// GroupOf returns the target group that serves an item; ok is false if there is none.
	GroupOf func(Item) (group string, ok bool)
	// Limits returns the limits currently in force.
	Limits func() Limits
	// LeaseMs is how long a batch dispatcher may hold an item without renewing its lease.
	LeaseMs int64
	// AppendIntervalMs is the minimum time between two appends of batch changes,
	// UrgentIntervalMs the minimum time before an urgent append.
	AppendIntervalMs int64
	UrgentIntervalMs int64
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
	// maxRecordBytes is the size up to which a record is filled. Even with the largest
	// single entry on top, a record stays below the log's limit of 1 MiB.
	maxRecordBytes = 320 << 10
	// minRecordBytes is the smallest value to which maxRecord is reduced when the log
	// rejects records as too large.
	minRecordBytes = 16 << 10
	// maxAnswerBytes bounds a stored answer, maxItemBytes the body of a job's line.
	maxAnswerBytes = 512 << 10
	maxItemBytes   = 512 << 10
	// maxQueueBytes and maxQueueLen bound the completions that wait for the log during an
	// outage (the "ring" of the metric names).
	maxQueueBytes = 32 << 20
	maxQueueLen   = 1 << 16
	// outageRetryMs is the retry-after time of refusals while the log is unavailable; a
	// quarter of it is the pause before a failed append is retried.
	outageRetryMs = 1000
	// callWaitMs bounds how long a call waits for its record to be read back.
	callWaitMs = 3000
)

// Owner is the pure state machine of a shard's holder. Its inputs are calls, outcomes of
// appends and records read back; its outputs are replies and the next record to append.
type Owner struct {
	cfg   OwnerConfig
	st    *State
	now   int64
	phase phase
	term  uint64
	seq   uint64

	urgent      []proposal
	normal      []proposal
	queuedBytes int // total size of the proposals in both queues, in bytes
	maxRecord   int
	inFlight    *inFlight

	lastAppendMs int64
	retryAtMs    int64
	appendDown   bool
	readDown     bool
	releaseTo    *string

	heldSinceMs int64
	graceUntil  int64
	replies     []Reply

	runs        map[string]*run
	uploads     map[uploadID]*upload
	scheds      map[string]*sched
	leases      map[itemKey]*lease
	ready       map[string][]itemKey
	pendingEnds map[itemKey]*pendingEnd
	cancels     map[string]*cancellation
	revocations []string
	served      map[string]float64
	// routeNames holds one shared copy of each route string.
	routeNames map[string]string

	nextGCMs int64
	stats    Stats
}

// Stats are an owner's counters and gauges, for metrics and benchmarks.
type Stats struct {
	// Appends counts the records built, ItemsHandedOut the items handed to batch
	// dispatchers, and Rewritten the objects whose full state was written forward on the
	// log.
	Appends        uint64
	ItemsHandedOut uint64
	Rewritten      uint64
	// QueueRefused counts the completions refused because the queue for the log was full.
	QueueRefused uint64
	// QueuedProposals counts the proposals waiting for the log, QueuedBytes their bytes.
	QueuedProposals int
	QueuedBytes     int
	// VoidRecords counts the records that were read but are not valid; see State.isValid.
	VoidRecords uint64
}

// Add adds other to s.
func (s *Stats) Add(other Stats) {
	s.Appends += other.Appends
	s.ItemsHandedOut += other.ItemsHandedOut
	s.Rewritten += other.Rewritten
	s.QueueRefused += other.QueueRefused
	s.QueuedProposals += other.QueuedProposals
	s.QueuedBytes += other.QueuedBytes
	s.VoidRecords += other.VoidRecords
}

// NewOwner returns an owner that will claim the shard with the given state. The owner
// takes over the state and applies further records to it.
func NewOwner(cfg OwnerConfig, st *State, nowMs int64) *Owner {
	o := &Owner{
		cfg: cfg, st: st, now: nowMs, maxRecord: maxRecordBytes,
		runs: map[string]*run{}, uploads: map[uploadID]*upload{},
		scheds: map[string]*sched{}, leases: map[itemKey]*lease{},
		ready: map[string][]itemKey{}, pendingEnds: map[itemKey]*pendingEnd{},
		cancels: map[string]*cancellation{}, served: map[string]float64{},
		routeNames: map[string]string{},
	}
	o.term = st.term + 1
	if !st.anchored {
		// The stream holds no term; see Claim.Reset. Offsets begin at 0, so one more than
		// the next offset is above every earlier term.
		o.term = uint64(st.next) + 1
	}
	return o
}

// Holding reports whether this daemon holds the shard, according to the records applied.
func (o *Owner) Holding() bool { return o.phase == holding }

// Lost reports that another daemon won the claim or has claimed a later term, or that the
// shard was released.
func (o *Owner) Lost() bool { return o.phase == lost }

// Term returns the term that this owner claims or has claimed.
func (o *Owner) Term() uint64 { return o.term }

// State returns the state that the owner maintains; it belongs to the owner.
func (o *Owner) State() *State { return o.st }

// Stats returns the owner's counters.
func (o *Owner) Stats() Stats {
	s := o.stats
	s.QueuedProposals = len(o.urgent) + len(o.normal)
	if o.inFlight != nil {
		s.QueuedProposals += len(o.inFlight.props)
	}
	s.QueuedBytes = o.queuedBytes
	s.VoidRecords = o.st.voidRecords
	return s
}

// LogOK reports whether the log is considered available for appends and reads; see
// AppendDone and ReadOK.
func (o *Owner) LogOK() bool { return !o.appendDown && !o.readDown }

// TakeReplies returns the replies that have become ready and clears them.
func (o *Owner) TakeReplies() []Reply {
	r := o.replies
	o.replies = nil
	return r
}

// TakeRevocations returns the jobs whose leases have to be revoked at every batch
// dispatcher, and clears them. The daemon reports the outcome of each with Revoked.
func (o *Owner) TakeRevocations() []string {
	r := o.revocations
	o.revocations = nil
	return r
}

// Release proposes to release the shard to the successor ("" for any daemon) and reports
// whether this is the first such proposal.
func (o *Owner) Release(nowMs int64, successor string) bool {
	o.now = nowMs
	if o.releaseTo != nil {
		return false
	}
	o.releaseTo = &successor
	return true
}

// Tick expires calls and leases, and proposes periodic work. The daemon calls it a few
// times a second.
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
	if nowMs >= o.nextGCMs {
		o.nextGCMs = nowMs + gcIntervalMs
		o.collectGarbage()
	}
}

func (o *Owner) reply(r Reply) { o.replies = append(o.replies, r) }

func logUnavailable() *outcome.Refusal {
	return outcome.Refuse(outcome.LogUnavailable, "the log cannot be reached, nothing was begun").
		After(outageRetryMs)
}

// startHolding begins the work of a holder once the claim was read back.
func (o *Owner) startHolding() {
	o.phase = holding
	o.heldSinceMs = o.now
	o.graceUntil = o.now + o.cfg.LeaseMs
	o.nextGCMs = o.now + gcIntervalMs
	for _, j := range o.st.jobs {
		o.resumeJob(j)
	}
}

// loseShard answers every waiting call with Lost, because another daemon is the owner
// now.
func (o *Owner) loseShard() {
	o.phase = lost
	o.inFlight, o.urgent, o.normal, o.queuedBytes = nil, nil, nil, 0
	for _, call := range o.waitingCalls() {
		o.reply(Reply{Call: call, Lost: true})
	}
	clear(o.runs)
	clear(o.uploads)
	clear(o.pendingEnds)
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
		add(r.grantWaiters)
		add(r.waiters)
		add(r.finishWaiters)
	}
	for _, u := range o.uploads {
		add(u.chunkWaiters)
		add(u.commitWaiters)
	}
	for _, c := range o.cancels {
		add(c.calls)
	}
	batches := map[*endBatch]bool{}
	for _, p := range o.pendingEnds {
		for _, b := range p.batches {
			if !batches[b] && !b.answered {
				batches[b] = true
				calls = append(calls, b.call)
			}
		}
	}
	return calls
}
