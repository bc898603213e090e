package burn

// Scale is a bucket width. Each event is counted once in every scale.
type Scale int

const (
	// Fine buckets of 10 s are used for the 5 min window. They are exchanged only between
	// live daemons; the log holds the minute buckets instead.
	Fine Scale = iota
	// Minute buckets are used for the windows up to 6 h.
	Minute
	// Hour buckets are used for the error budget.
	Hour
	// scales is the number of scales.
	scales
)

const (
	secondMs = int64(1000)
	minuteMs = 60 * secondMs
	hourMs   = 60 * minuteMs
	// PeriodMs is the period of the error budget, in milliseconds.
	PeriodMs = 72 * hourMs
)

// widthMs is the width of the buckets of each scale and keptMs their retention time: the
// longest window plus one bucket, so that no bucket is removed while a window needs it.
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
	// Encoded as an array, because field names would make up most of an encoded summary.
	//lint:ignore U1000 msgpack finds its option by this field's name
	_msgpack struct{} `msgpack:",as_array"`

	Total uint64 `json:"total"`
	Bad   uint64 `json:"bad"`
}

// Cell is one time bucket of one profile and target group at one host incarnation.
type Cell struct {
	Scale Scale `json:"scale" msgpack:"s"`
	// Index is the bucket's number: Unix milliseconds over the scale's width.
	Index int64 `json:"index" msgpack:"i"`
	// Counts is indexed by Objective.
	Counts [objectives]Count `json:"counts" msgpack:"c"`
	// Reasons counts failed events by reason.
	Reasons map[string]uint64 `json:"reasons,omitempty" msgpack:"r,omitempty"`
}

// add counts one event. The counters of a cell never decrease.
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

// merge merges another copy of the same cell into c.
//
// Failure guarded against: a summary that is received both from the log and from a peer, or
// is sent again after a lost answer, would count its events twice and raise a false alert.
// Only the cell's own incarnation counts events in it and its counters never decrease, so of
// two copies the larger counter is the later one, and taking the maximum is commutative,
// associative and idempotent.
func (c *Cell) merge(other Cell) {
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

// clone returns a deep copy of c.
func (c *Cell) clone() Cell {
	out := Cell{Scale: c.Scale, Index: c.Index}
	out.merge(*c)
	return out
}

// expired reports whether no window reaches back to the cell any more.
func expired(s Scale, index, nowMs int64) bool { return (index+1)*widthMs[s] <= nowMs-keptMs[s] }
