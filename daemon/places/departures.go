package places

import (
	"time"

	"tarragonhollow.example/tarragonhollow/core/roster"
)

const (
	// DefaultDrain is how long targets serve on after they have announced their leave, and
	// DefaultHeartbeat the interval at which they write their entries, where no other is set.
	DefaultDrain     = 2 * time.Second
	DefaultHeartbeat = 1200 * time.Millisecond
)

// Departure is what is known of the leave of a target.
type Departure struct {
	// Announced reports that the target announced its leave itself, Ago the longest time since.
	Announced bool
	Ago       time.Duration
	// Over reports that the time for which it serves on may be over: its process may have ended in
	// order. One that ends before has crashed.
	Over bool
}

// Departure returns what is known of the leave of a target.
func (p *Places) Departure(t roster.Target) Departure {
	p.mu.Lock()
	defer p.mu.Unlock()
	d, known := p.roster.Departure(t.ID, t.Start)
	if !known || !d.Announced(p.heartbeat) {
		return Departure{}
	}
	ago := time.Since(d.Since)
	return Departure{Announced: true, Ago: ago, Over: ago >= p.drain}
}

// departures returns what is known of the leave of the targets with the given IDs. p.mu is held.
func (p *Places) departures(now time.Time, ids []string) map[string]SampledDeparture {
	var all map[string]SampledDeparture
	for _, id := range ids {
		d, known := p.roster.DepartureOf(id)
		if !known || !d.Announced(p.heartbeat) {
			continue
		}
		if all == nil {
			all = map[string]SampledDeparture{}
		}
		all[id] = SampledDeparture{d.Start, now.Sub(d.Since).Milliseconds()}
	}
	return all
}

// SampledDeparture is the announced leave of a target, as passed on between daemons.
type SampledDeparture struct {
	Start roster.Start
	// AgoMs is the longest time since the announcement, in milliseconds.
	AgoMs int64
}

// AdoptDepartures sets what another daemon knew at the time at of the leave of the targets at which
// this daemon's work runs.
func (p *Places) AdoptDepartures(at time.Time, all map[string]SampledDeparture) {
	known := make(map[string]roster.Departure, len(all))
	for id, d := range all {
		known[id] = roster.Departure{Start: d.Start, Since: at.Add(-time.Duration(d.AgoMs) * time.Millisecond)}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.AdoptDepartures(known)
}
