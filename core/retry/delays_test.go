package retry

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Bounds of the model: an entry host notices its broken connection within noticeMs, and a
// crash report reaches the other daemons within reportMs. Together they stay below
// ReportWindow, as the rule requires.
const (
	noticeMs = 40
	reportMs = 100
)

// hosts are the entry hosts of a model fleet, with the crash reports in transit.
type hosts struct {
	t         *rapid.T
	nowMs     int64
	trackers  []*Suspects
	inTransit []crashReport
}

// crashReport is a report on its way to one host.
type crashReport struct {
	atMs  int64
	host  int
	crash Crash
}

// broadcast sends a crash from one host to all and returns when the last one receives it.
func (h *hosts) broadcast(from int, noticed int64, c Crash) int64 {
	last := noticed
	for to := range h.trackers {
		at := noticed
		if to != from {
			at += rapid.Int64Range(0, reportMs).Draw(h.t, "delay")
		}
		h.inTransit = append(h.inTransit, crashReport{atMs: at, host: to, crash: c})
		last = max(last, at)
	}
	return last
}

// advance delivers the reports that arrive until untilMs. No host may refuse a harmless
// request at any moment.
func (h *hosts) advance(untilMs int64) {
	slices.SortStableFunc(h.inTransit, func(a, b crashReport) int { return int(a.atMs - b.atMs) })
	for len(h.inTransit) > 0 && h.inTransit[0].atMs <= untilMs {
		next := h.inTransit[0]
		h.inTransit = h.inTransit[1:]
		h.nowMs = max(h.nowMs, next.atMs)
		h.trackers[next.host].Apply(h.nowMs, next.crash)
		h.checkHarmless()
	}
	h.nowMs = max(h.nowMs, untilMs)
	h.checkHarmless()
}

func (h *hosts) checkHarmless() {
	for at, s := range h.trackers {
		for i := range 6 {
			if s.VerdictAt(h.nowMs, harmless(i)) == Quarantined {
				h.t.Fatalf("host %d quarantines %s", at, harmless(i))
			}
		}
	}
}

// crash simulates a crash of the target while it runs the requests in seen, by host. Each
// host reports its own requests, with an estimated total between their number and the
// true one. It returns when every host has the report of the crasher's host.
func (h *hosts) crash(target string, crasherAt int, seen map[int][]string) int64 {
	total := 0
	for _, requests := range seen {
		total += len(requests)
	}
	reportedMs := h.nowMs
	for host := range h.trackers {
		requests := seen[host]
		if len(requests) == 0 {
			continue
		}
		noticed := h.nowMs + rapid.Int64Range(0, noticeMs).Draw(h.t, "notice")
		c := Crash{Target: target, AtMs: noticed, Running: requests, Total: rapid.IntRange(len(requests), total).Draw(h.t, "total")}
		if last := h.broadcast(host, noticed, c); host == crasherAt {
			reportedMs = last
		}
	}
	return reportedMs
}

// A caller sends the request that crashes every target again as soon as it fails, to any
// entry host, while other callers' requests share its targets; reports between hosts are
// delayed. Guards against two failures: a harmless request is refused because it was
// alone on two targets as far as its own host knew, and the crasher runs once more on
// every host that has not received the reports yet.
func TestDelayedTellingsCondemnTheCrasherOnly(t *testing.T) {
	const crasher, most = "crasher", 3
	rapid.Check(t, func(t *rapid.T) {
		h := &hosts{t: t, trackers: []*Suspects{NewSuspects(2), NewSuspects(2), NewSuspects(2)}}
		for crashed := 0; ; crashed++ {
			at := rapid.IntRange(0, 2).Draw(t, "host")
			for h.trackers[at].VerdictAt(h.nowMs, crasher) == Pending {
				h.advance(h.nowMs + 1)
			}
			verdict := h.trackers[at].VerdictAt(h.nowMs, crasher)
			if verdict == Quarantined {
				return
			}
			if crashed == most {
				t.Fatalf("the crasher crashed %d targets, verdict %v", crashed, verdict)
			}
			seen := map[int][]string{at: {crasher}}
			if verdict != RunAlone {
				h.share(seen)
			}
			h.advance(h.crash(fmt.Sprintf("t%d", crashed), at, seen))
		}
	})
}

// share places harmless requests that need not run alone on the crasher's target.
func (h *hosts) share(seen map[int][]string) {
	for i := range 6 {
		host := rapid.IntRange(0, 2).Draw(h.t, "by")
		v := h.trackers[host].VerdictAt(h.nowMs, harmless(i))
		if rapid.Bool().Draw(h.t, "beside") && (v == Clear || v == PreferAlone) {
			seen[host] = append(seen[host], harmless(i))
		}
	}
}
