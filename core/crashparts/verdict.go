package crashparts

import (
	"slices"
	"time"
)

const (
	// repeatedCrashes is the number of crashes from which on a part may be an explanation of
	// others' crashes, and its requests run one at a time.
	repeatedCrashes = 2
	// refusedCrashes is the number of crashes, with no answer in between, from which on requests
	// with the part are refused. Most crashes have another cause, and the second may be that of
	// the same request.
	refusedCrashes = 3
	// maxExplanation is the number of other parts that together may explain a part's crashes. Two
	// parts may crash targets at the same time.
	maxExplanation = 2
	// ReportWindow is how long after a crash was received its parts may still be cleared by
	// reports that are under way.
	ReportWindow = 150 * time.Millisecond
)

// Verdict is how a request may run.
type Verdict int

const (
	// Clear: the request may run anywhere.
	Clear Verdict = iota
	// Suspect: a part of the request is not cleared of one crash.
	Suspect
	// Limited: a part is not cleared of several crashes. At most one request with it runs at a
	// daemon until its answer begins, where as little else as possible runs.
	Limited
	// Pending: the request would be refused, but the last crash is known for less than
	// ReportWindow.
	Pending
	// Refused: the request would crash a further target.
	Refused
)

// Decision is the verdict on a request and what it rests on.
type Decision struct {
	Verdict Verdict
	// Part is the part that the verdict is on, "" for Clear.
	Part string
	// Crashes is the number of crashes that the part is not cleared of, Age the time since the
	// last of them was received here.
	Crashes int
	Age     time.Duration
	// Answered reports that this daemon has seen answers with the part, before the crashes.
	Answered bool
}

// evaluate determines the suspects.
func (e *Evidence) evaluate() {
	clear(e.suspects)
	for i, r := range e.crashes {
		for _, part := range r.Parts {
			s := e.suspects[part]
			if s == nil {
				s = &suspect{}
				e.suspects[part] = s
			}
			s.crashes.add(i)
			s.count++
			s.lastReceivedMs = max(s.lastReceivedMs, r.receivedMs)
		}
	}
	e.repeated = e.repeated[:0]
	for part, s := range e.suspects {
		if s.count >= repeatedCrashes {
			e.repeated = append(e.repeated, part)
		}
	}
}

// Decide returns the verdict on a request with these parts, its last one aside.
func (e *Evidence) Decide(nowMs int64, parts []string) Decision {
	worst := Decision{}
	for _, part := range parts {
		if e.suspects[part] == nil {
			continue
		}
		if d := e.decideOn(nowMs, part, parts); d.Verdict > worst.Verdict {
			worst = d
		}
	}
	return worst
}

// decideOn returns the decision on a request because of one of its parts.
func (e *Evidence) decideOn(nowMs int64, part string, parts []string) Decision {
	s := e.suspects[part]
	age := time.Duration(max(0, nowMs-s.lastReceivedMs)) * time.Millisecond
	d := Decision{Verdict: Limited, Part: part, Crashes: s.count, Age: age, Answered: e.wasAnswered(part)}
	switch {
	case s.count < repeatedCrashes:
		d.Verdict = Suspect
	case s.count < refusedCrashes || e.explained(s.crashes, parts):
	case age < ReportWindow:
		d.Verdict = Pending
	default:
		d.Verdict = Refused
	}
	return d
}

// explained reports whether at most maxExplanation suspects that the request doesn't hold can have
// caused all of these crashes.
//
// A part that all prompts share is a suspect in each crash that another part causes. A request
// with the shared part, but without the other one, is not refused: its answer clears the shared
// part.
func (e *Evidence) explained(crashes crashSet, parts []string) bool {
	others := make([]crashSet, 0, len(e.repeated))
	for _, other := range e.repeated {
		if !slices.Contains(parts, other) {
			others = append(others, e.suspects[other].crashes)
		}
	}
	return crashes.coverable(others, maxExplanation)
}

// Basis is what the verdict on a part rests on, for logs.
type Basis struct {
	Part string
	// Targets are the starts of the targets that crashed, Requests the requests whose answers had
	// not begun there, and Cleared the other parts that were cleared of these crashes.
	Targets, Requests, Cleared []string
}

// BasisOf returns what the verdict on a part rests on.
func (e *Evidence) BasisOf(part string) Basis {
	b := Basis{Part: part}
	s := e.suspects[part]
	for i, r := range e.crashes {
		if s == nil || !s.crashes.has(i) {
			continue
		}
		b.Targets = append(b.Targets, r.Target)
		b.Requests = append(b.Requests, r.Requests...)
		for _, cleared := range r.Cleared {
			if !slices.Contains(b.Cleared, cleared) {
				b.Cleared = append(b.Cleared, cleared)
			}
		}
	}
	return b
}

// RefusedParts returns the parts with which requests that hold no other suspect are refused.
func (e *Evidence) RefusedParts() []string {
	var list []string
	for part, s := range e.suspects {
		if s.count >= refusedCrashes && !e.explained(s.crashes, []string{part}) {
			list = append(list, part)
		}
	}
	slices.Sort(list)
	return list
}
