package admission

import "time"

// entries holds the online counts by entry host.
type entries struct {
	since time.Time
	live  map[string]bool
	count map[string]entryCount
}

type entryCount struct {
	seq    uint64
	online int
	// started counts the requests that the entry host ever started here.
	started uint64
	heard   time.Time
}

func newEntries(now time.Time) entries {
	return entries{since: now, count: make(map[string]entryCount)}
}

func (e *entries) setLive(live []string) {
	e.live = make(map[string]bool, len(live))
	for _, id := range live {
		e.live[id] = true
	}
	for id := range e.count {
		if !e.live[id] {
			delete(e.count, id)
		}
	}
}

// set stores an absolute word and tells whether it shows new starts. One-way
// messages may overtake each other, so an older sequence number never replaces
// a newer word.
func (e *entries) set(entry string, c entryCount) bool {
	old, known := e.count[entry]
	if known && c.seq < old.seq {
		return false
	}
	e.count[entry] = c
	return known && c.started > old.started
}

// total adds the counts that are still valid.
func (e *entries) total(now time.Time) int {
	n := 0
	for _, c := range e.count {
		if now.Sub(c.heard) <= SignalExpiry {
			n += c.online
		}
	}
	return n
}

// silent tells whether online load is unknown: a live entry host whose last
// word was that it has online requests here must repeat that word, so its
// expired count means lost signals, not an idle target. After a take-over the
// counts of the hosts not heard yet are unknown for one expiry.
func (e *entries) silent(now time.Time) bool {
	for id, c := range e.count {
		if c.online > 0 && now.Sub(c.heard) > SignalExpiry && (e.live == nil || e.live[id]) {
			return true
		}
	}
	if now.Sub(e.since) > SignalExpiry {
		return false
	}
	for id := range e.live {
		if _, heard := e.count[id]; !heard {
			return true
		}
	}
	return false
}

// report is the last load report; at is its arrival, window how far back it
// may look.
type report struct {
	at      time.Time
	window  time.Duration
	running int
	waiting int
}

// peakGrain is the time over which counts are merged into one sample; with the
// bounded window it bounds the memory whatever the rate of signals.
const peakGrain = 50 * time.Millisecond

// peaks remembers how many streams ran lately, to judge a lagging report.
type peaks struct {
	samples []peakSample
}

// peakSample covers a grain from at on: its largest counts, and the last ones,
// which hold until the next sample.
type peakSample struct {
	at         time.Time
	maxBatch   int
	maxOnline  int
	lastBatch  int
	lastOnline int
}

func (p *peaks) add(now time.Time, batch, online int) {
	cut := now.Add(-ReportLagMax - ReportValid)
	for len(p.samples) > 1 && p.samples[1].at.Before(cut) {
		p.samples = p.samples[1:]
	}
	if n := len(p.samples); n > 0 && now.Sub(p.samples[n-1].at) < peakGrain {
		s := &p.samples[n-1]
		s.maxBatch, s.maxOnline = max(s.maxBatch, batch), max(s.maxOnline, online)
		s.lastBatch, s.lastOnline = batch, online
		return
	}
	p.samples = append(p.samples, peakSample{
		at: now, maxBatch: batch, maxOnline: online, lastBatch: batch, lastOnline: online,
	})
}

// within returns the largest counts between from and to. Without any sample the
// present counts are returned.
func (p *peaks) within(from, to time.Time, batch, online int) (int, int) {
	if len(p.samples) == 0 {
		return batch, online
	}
	maxBatch, maxOnline := 0, 0
	for i, s := range p.samples {
		switch {
		case s.at.After(to) || (i+1 < len(p.samples) && !p.samples[i+1].at.After(from)):
		case from.Sub(s.at) >= peakGrain:
			// The sample began before the window; what held at its end counts.
			maxBatch, maxOnline = max(maxBatch, s.lastBatch), max(maxOnline, s.lastOnline)
		default:
			maxBatch, maxOnline = max(maxBatch, s.maxBatch), max(maxOnline, s.maxOnline)
		}
	}
	return maxBatch, maxOnline
}
