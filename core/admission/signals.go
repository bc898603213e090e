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

// report is the last load report; at is its arrival.
type report struct {
	at      time.Time
	running int
	waiting int
}

// peaks remembers how many streams ran lately, to judge a lagging report.
type peaks struct {
	samples []peakSample
}

type peakSample struct {
	at     time.Time
	batch  int
	online int
}

// maxPeakSamples bounds the memory; beyond it the oldest two are merged into
// their maximum, which errs towards explaining more of a report.
const maxPeakSamples = 256

func (p *peaks) add(now time.Time, batch, online int) {
	cut := now.Add(-ReportLag - ReportValid)
	for len(p.samples) > 1 && p.samples[1].at.Before(cut) {
		p.samples = p.samples[1:]
	}
	if len(p.samples) >= maxPeakSamples {
		p.samples[1].batch = max(p.samples[0].batch, p.samples[1].batch)
		p.samples[1].online = max(p.samples[0].online, p.samples[1].online)
		p.samples = p.samples[1:]
	}
	p.samples = append(p.samples, peakSample{at: now, batch: batch, online: online})
}

// within returns the largest counts between from and to; the sample in force at
// from counts. Without any sample the present counts are returned.
func (p *peaks) within(from, to time.Time, batch, online int) (int, int) {
	if len(p.samples) == 0 {
		return batch, online
	}
	maxBatch, maxOnline := 0, 0
	for i, s := range p.samples {
		inForceAtFrom := !s.at.After(from) && (i+1 == len(p.samples) || p.samples[i+1].at.After(from))
		if inForceAtFrom || (s.at.After(from) && !s.at.After(to)) {
			maxBatch = max(maxBatch, s.batch)
			maxOnline = max(maxOnline, s.online)
		}
	}
	return maxBatch, maxOnline
}
