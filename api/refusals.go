package api

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

const (
	// refusalMinutes is the time that the operators' list of refusals covers, in minutes.
	refusalMinutes = 10
	// maxRefusalKinds is the maximum number of kinds counted in a minute. Profiles are
	// configured and codes are few, so more would be a bug.
	maxRefusalKinds = 256
)

// RefusalCount is the number of recent refusals of one kind.
type RefusalCount struct {
	Code    outcome.Code     `json:"code"`
	Run     outcome.RunState `json:"run"`
	Profile string           `json:"profile"`
	// Count covers the last ten minutes.
	Count int `json:"count"`
	// LastMessage is the message of the latest refusal.
	LastMessage string `json:"last_message"`
}

// refusalKind is the key by which refusals are counted.
type refusalKind struct {
	code    outcome.Code
	run     outcome.RunState
	profile string
}

// refusalMinute holds the counts of one minute, numbered since the Unix epoch.
type refusalMinute struct {
	minute int64
	counts map[refusalKind]int
}

// refusals counts the refusals of the last minutes. It is safe for concurrent use.
type refusals struct {
	mu      sync.Mutex
	minutes [refusalMinutes]refusalMinute
	last    map[refusalKind]string
}

// add counts one refusal.
func (r *refusals) add(now time.Time, kind refusalKind, message string) {
	minute := now.Unix() / 60
	r.mu.Lock()
	defer r.mu.Unlock()
	slot := &r.minutes[minute%refusalMinutes]
	if slot.minute != minute {
		*slot = refusalMinute{minute: minute, counts: map[refusalKind]int{}}
	}
	if len(slot.counts) >= maxRefusalKinds && slot.counts[kind] == 0 {
		return
	}
	slot.counts[kind]++
	if r.last == nil || len(r.last) >= refusalMinutes*maxRefusalKinds {
		r.last = map[refusalKind]string{}
	}
	r.last[kind] = message
}

// list returns the counts of the last minutes, most frequent first.
func (r *refusals) list(now time.Time) []RefusalCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	sums := map[refusalKind]int{}
	for _, slot := range r.minutes {
		if now.Unix()/60-slot.minute >= refusalMinutes {
			continue
		}
		for kind, n := range slot.counts {
			sums[kind] += n
		}
	}
	out := make([]RefusalCount, 0, len(sums))
	for kind, n := range sums {
		out = append(out, RefusalCount{Code: kind.code, Run: kind.run, Profile: kind.profile, Count: n, LastMessage: r.last[kind]})
	}
	slices.SortFunc(out, func(a, b RefusalCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Code, b.Code), cmp.Compare(a.Profile, b.Profile), cmp.Compare(a.Run, b.Run))
	})
	return out
}

// Refusals returns the counts of this daemon's refusals in the last ten minutes, most
// frequent first.
func (s *Server) Refusals() []RefusalCount { return s.refusals.list(time.Now()) }
