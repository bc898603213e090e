package admission

import "time"

// onlineCounts holds the online counts by entry host.
type onlineCounts struct {
	takenOverAt time.Time
	live        map[string]bool
	count       map[string]entryCount
}

type entryCount struct {
	seq    uint64
	online int
	// started counts all requests that the entry host has started here.
	started    uint64
	receivedAt time.Time
}

func newOnlineCounts(now time.Time) onlineCounts {
	return onlineCounts{takenOverAt: now, count: make(map[string]entryCount)}
}

func (e *onlineCounts) setLive(live []string) {
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

// apply stores an absolute count and reports whether it shows new starts. One-way
// messages may overtake each other, so an older sequence number never replaces a newer
// count.
func (e *onlineCounts) apply(entry string, c entryCount) bool {
	old, known := e.count[entry]
	if known && c.seq < old.seq {
		return false
	}
	e.count[entry] = c
	return known && c.started > old.started
}

// total adds up the counts that are still valid.
func (e *onlineCounts) total(now time.Time) int {
	n := 0
	for _, c := range e.count {
		if now.Sub(c.receivedAt) <= SignalExpiry {
			n += c.online
		}
	}
	return n
}

// silent reports whether the online load is unknown. A live entry host whose last count
// was above zero must repeat it, so an expired count means lost signals, not an idle
// target. After a takeover, the counts of the hosts that have not sent a signal yet are
// unknown for one SignalExpiry.
func (e *onlineCounts) silent(now time.Time) bool {
	for id, c := range e.count {
		if c.online > 0 && now.Sub(c.receivedAt) > SignalExpiry && (e.live == nil || e.live[id]) {
			return true
		}
	}
	if now.Sub(e.takenOverAt) > SignalExpiry {
		return false
	}
	for id := range e.live {
		if _, known := e.count[id]; !known {
			return true
		}
	}
	return false
}

// report is the last load report; at is its arrival time, window how far before that it
// may look back.
type report struct {
	at      time.Time
	window  time.Duration
	running int
	waiting int
}

// peakResolution is the time over which counts are merged into one sample. Together with
// the bounded window it bounds the memory, whatever the rate of signals.
const peakResolution = 50 * time.Millisecond

// peaks holds the recent numbers of running streams, to interpret a lagging report.
type peaks struct {
	samples []peakSample
}

// peakSample covers the time from at for peakResolution: its largest counts, and the last
// ones, which hold until the next sample.
type peakSample struct {
	at         time.Time
	maxBatch   int
	maxOnline  int
	lastBatch  int
	lastOnline int
}

func (p *peaks) add(now time.Time, batch, online int) {
	cut := now.Add(-ReportLagMax - ReportTTL)
	for len(p.samples) > 1 && p.samples[1].at.Before(cut) {
		p.samples = p.samples[1:]
	}
	if n := len(p.samples); n > 0 && now.Sub(p.samples[n-1].at) < peakResolution {
		s := &p.samples[n-1]
		s.maxBatch, s.maxOnline = max(s.maxBatch, batch), max(s.maxOnline, online)
		s.lastBatch, s.lastOnline = batch, online
		return
	}
	p.samples = append(p.samples, peakSample{
		at: now, maxBatch: batch, maxOnline: online, lastBatch: batch, lastOnline: online,
	})
}

// within returns the largest counts between from and to. Without any sample it returns
// the given current counts.
func (p *peaks) within(from, to time.Time, batch, online int) (int, int) {
	if len(p.samples) == 0 {
		return batch, online
	}
	maxBatch, maxOnline := 0, 0
	for i, s := range p.samples {
		switch {
		case s.at.After(to) || (i+1 < len(p.samples) && !p.samples[i+1].at.After(from)):
		case from.Sub(s.at) >= peakResolution:
			// The sample began before the window; the counts at its end apply.
			maxBatch, maxOnline = max(maxBatch, s.lastBatch), max(maxOnline, s.lastOnline)
		default:
			maxBatch, maxOnline = max(maxBatch, s.maxBatch), max(maxOnline, s.maxOnline)
		}
	}
	return maxBatch, maxOnline
}
