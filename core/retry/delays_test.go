package retry

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Bounds of the model: an entry host notices that its connection broke, and a
// telling reaches the other daemons, within these times. Together they stay
// below SettleTime, which is what the rule rests on.
const (
	noticeMs  = 40
	tellingMs = 100
)

// hosts are the entry hosts of a model fleet with tellings under way.
type hosts struct {
	t     *rapid.T
	nowMs int64
	known []*Suspects
	tells []telling
}

// telling reaches one host at a time.
type telling struct {
	atMs  int64
	host  int
	crash Crash
}

// tell sends a crash from one host to all and returns when the last one has it.
func (h *hosts) tell(from int, noticed int64, c Crash) int64 {
	last := noticed
	for to := range h.known {
		at := noticed
		if to != from {
			at += rapid.Int64Range(0, tellingMs).Draw(h.t, "delay")
		}
		h.tells = append(h.tells, telling{atMs: at, host: to, crash: c})
		last = max(last, at)
	}
	return last
}

// advance delivers what arrives until then. No innocent may be refused at any
// moment on any host.
func (h *hosts) advance(untilMs int64) {
	slices.SortStableFunc(h.tells, func(a, b telling) int { return int(a.atMs - b.atMs) })
	for len(h.tells) > 0 && h.tells[0].atMs <= untilMs {
		next := h.tells[0]
		h.tells = h.tells[1:]
		h.nowMs = max(h.nowMs, next.atMs)
		h.known[next.host].Hear(h.nowMs, next.crash)
		h.checkInnocents()
	}
	h.nowMs = max(h.nowMs, untilMs)
	h.checkInnocents()
}

func (h *hosts) checkInnocents() {
	for at, s := range h.known {
		for i := range 6 {
			if s.VerdictAt(h.nowMs, innocent(i)) == Condemned {
				h.t.Fatalf("host %d condemns %s", at, innocent(i))
			}
		}
	}
}

// crash lets the target die under what each host runs there: each tells its own
// part, with an estimate of the whole between what it runs and the truth. It
// returns when the crasher's host has told everybody.
func (h *hosts) crash(target string, crasherAt int, seen map[int][]string) int64 {
	total := 0
	for _, own := range seen {
		total += len(own)
	}
	told := h.nowMs
	for host := range h.known {
		own := seen[host]
		if len(own) == 0 {
			continue
		}
		noticed := h.nowMs + rapid.Int64Range(0, noticeMs).Draw(h.t, "notice")
		c := Crash{Target: target, AtMs: noticed, Running: own, Total: rapid.IntRange(len(own), total).Draw(h.t, "total")}
		if last := h.tell(host, noticed, c); host == crasherAt {
			told = last
		}
	}
	return told
}

// A caller sends the request that crashes every target again the moment it is
// refused, to any entry host, while others' requests share its targets; what the
// hosts know of each other's requests takes its time. Once an innocent that was
// alone on two targets, as far as its own host knew, was refused, and the
// crasher ran once more on every host that did not know yet.
func TestDelayedTellingsCondemnTheCrasherOnly(t *testing.T) {
	const crasher, most = "crasher", 3
	rapid.Check(t, func(t *rapid.T) {
		h := &hosts{t: t, known: []*Suspects{NewSuspects(2), NewSuspects(2), NewSuspects(2)}}
		for crashed := 0; ; crashed++ {
			at := rapid.IntRange(0, 2).Draw(t, "host")
			for h.known[at].VerdictAt(h.nowMs, crasher) == Pending {
				h.advance(h.nowMs + 1)
			}
			verdict := h.known[at].VerdictAt(h.nowMs, crasher)
			if verdict == Condemned {
				return
			}
			if crashed == most {
				t.Fatalf("the crasher took %d targets, verdict %v", crashed, verdict)
			}
			seen := map[int][]string{at: {crasher}}
			if verdict != Quarantined {
				h.share(seen)
			}
			h.advance(h.crash(fmt.Sprintf("t%d", crashed), at, seen))
		}
	})
}

// share deals innocents that need not run alone to the crasher's target.
func (h *hosts) share(seen map[int][]string) {
	for i := range 6 {
		host := rapid.IntRange(0, 2).Draw(h.t, "by")
		v := h.known[host].VerdictAt(h.nowMs, innocent(i))
		if rapid.Bool().Draw(h.t, "beside") && (v == Clear || v == Isolated) {
			seen[host] = append(seen[host], innocent(i))
		}
	}
}
