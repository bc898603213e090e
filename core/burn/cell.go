package burn

// Scale is a width of buckets. Each event is counted once in every scale.
type Scale int

const (
	// Fine buckets of 10 s serve the 5 min window. They go between live
	// daemons only: on the log, the minutes stand in for them.
	Fine Scale = iota
	// Minute buckets serve the windows up to 6 h.
	Minute
	// Hour buckets serve the error budget.
	Hour
	// scales is how many there are.
	scales
)

const (
	secondMs = int64(1000)
	minuteMs = 60 * secondMs
	hourMs   = 60 * minuteMs
	// PeriodMs is the time over which the error budget is reckoned.
	PeriodMs = 72 * hourMs
)

// widthMs is a bucket's width, keptMs how long buckets of the scale are kept:
// a bucket longer than the longest window, so that none is lost early.
var (
	widthMs = [scales]int64{10 * secondMs, minuteMs, hourMs}
	keptMs  = [scales]int64{5*minuteMs + 10*secondMs, 6*hourMs + minuteMs, PeriodMs + hourMs}
)

const (
	// maxReasons bounds the reasons of one cell; later ones count as otherReason.
	maxReasons  = 12
	otherReason = "other"
)

// Count counts the events towards one objective.
type Count struct {
	// Field names would be most of an encoded summary.
	//lint:ignore U1000 msgpack finds its option by this field's name
	_msgpack struct{} `msgpack:",as_array"`

	Total uint64 `json:"total"`
	Bad   uint64 `json:"bad"`
}

// Cell is one bucket of one profile and group at one host incarnation.
type Cell struct {
	Scale Scale `json:"scale" msgpack:"s"`
	// Index is the bucket's number: Unix milliseconds over the scale's width.
	Index int64 `json:"index" msgpack:"i"`
	// Counts is indexed by Objective.
	Counts [objectives]Count `json:"counts" msgpack:"c"`
	// Reasons counts failed events by reason.
	Reasons map[string]uint64 `json:"reasons,omitempty" msgpack:"r,omitempty"`
}

// add counts one event. Every counter of a cell only grows.
func (c *Cell) add(judged [objectives]Count, reason string) {
	for o := range c.Counts {
		c.Counts[o].Total += judged[o].Total
		c.Counts[o].Bad += judged[o].Bad
	}
	if reason == "" {
		return
	}
	if c.Reasons == nil {
		c.Reasons = make(map[string]uint64, 1)
	}
	if _, known := c.Reasons[reason]; !known && len(c.Reasons) >= maxReasons {
		reason = otherReason
	}
	c.Reasons[reason]++
}

// join takes over what another copy of the same cell knows more.
//
// Failure guarded against: a summary that is read from the log and heard from a
// peer, or is sent again after a lost answer, would count its events twice and
// raise an alert for nothing. Only the cell's own incarnation counts into it
// and its counters only grow, so of two copies the larger counter is the later
// one, and taking the maximum is commutative, associative and idempotent.
func (c *Cell) join(other Cell) {
	for o := range c.Counts {
		c.Counts[o].Total = max(c.Counts[o].Total, other.Counts[o].Total)
		c.Counts[o].Bad = max(c.Counts[o].Bad, other.Counts[o].Bad)
	}
	for reason, n := range other.Reasons {
		if c.Reasons == nil {
			c.Reasons = make(map[string]uint64, len(other.Reasons))
		}
		c.Reasons[reason] = max(c.Reasons[reason], n)
	}
}

// copied returns a cell that shares no memory with c.
func (c *Cell) copied() Cell {
	out := Cell{Scale: c.Scale, Index: c.Index}
	out.join(*c)
	return out
}

// expired tells whether no window reaches back to the cell.
func expired(s Scale, index, nowMs int64) bool { return (index+1)*widthMs[s] <= nowMs-keptMs[s] }
