package config

import (
	"time"

	"tarragonhollow.example/tarragonhollow/inifile"
)

// Defaults and bounds of a profile.
const (
	// DefaultOnlineDeadline is the deadline of an online request, for profiles that set none.
	DefaultOnlineDeadline = 30 * time.Second
	// DefaultBatchDeadline is the deadline of one attempt at a batch item, for profiles that
	// set none.
	DefaultBatchDeadline = 10 * time.Minute
	// DefaultRetries is the number of attempts after the first.
	DefaultRetries = 2
	// DefaultBatchWeight favours neither online tail latency nor batch throughput.
	DefaultBatchWeight = 0.5

	minDeadline = 10 * time.Millisecond
	maxDeadline = 24 * time.Hour
	minDue      = time.Second
	maxDue      = 14 * 24 * time.Hour
	maxRetries  = 10
	maxInFlight = 1_000_000
	maxRate     = 1_000_000
	maxBetween  = time.Hour
	minBound    = time.Millisecond
)

// parseProfile reads a [profile NAME] section.
func parseProfile(s *inifile.Section) *Profile {
	s.Require("urgency", "online, batch")
	p := &Profile{Name: s.Label}
	p.Urgency = Urgency(s.Enum("urgency", string(Online), string(Online), string(Batch)))
	// Requests are not repeatable by default: running a request twice because the key was
	// forgotten is worse than not retrying it.
	p.Repeatable = s.Bool("repeatable", false)
	p.Deadline = s.Duration("deadline", defaultDeadline(p.Urgency), minDeadline, maxDeadline)
	p.Due = s.Duration("due", 0, minDue, maxDue)
	p.Retries = s.Int("retries", DefaultRetries, 0, maxRetries)
	p.MaxInFlightPerCaller = s.Int("max_in_flight_per_caller", 0, 0, maxInFlight)
	p.RatePerCaller = s.Float("rate_per_caller", 0, 0, maxRate)
	p.BatchWeight = s.Float("batch_weight", defaultBatchWeight(p.Urgency), 0, 1)
	p.SLO = parseSLO(s)
	checkUrgency(s, p)
	checkSLO(s, p)
	return p
}

func defaultDeadline(u Urgency) time.Duration {
	if u == Batch {
		return DefaultBatchDeadline
	}
	return DefaultOnlineDeadline
}

func defaultBatchWeight(u Urgency) float64 {
	if u == Batch {
		return DefaultBatchWeight
	}
	return 0
}

// parseSLO reads the slo_ keys of a profile.
func parseSLO(s *inifile.Section) SLO {
	return SLO{
		Availability:  s.Share("slo_availability", 0),
		FirstToken:    s.Duration("slo_first_token", 0, minBound, maxDeadline),
		BetweenTokens: s.Duration("slo_between_tokens", 0, minBound, maxBetween),
		LatencyShare:  s.Share("slo_latency_share", 0),
		DueShare:      s.Share("slo_due_share", 0),
	}
}

// checkUrgency rejects keys that have no effect for the profile's urgency, so that no
// operator relies on a setting that is ignored.
func checkUrgency(s *inifile.Section, p *Profile) {
	if p.Urgency == Online {
		for _, key := range []string{"due", "batch_weight", "slo_due_share"} {
			rejectIfSet(s, key, "means nothing for an online profile")
		}
		return
	}
	for _, key := range []string{"slo_first_token", "slo_between_tokens", "slo_latency_share"} {
		rejectIfSet(s, key, "means nothing for a batch profile")
	}
	if s.Require("due", "duration from "+inifile.FormatDuration(minDue)+" to "+inifile.FormatDuration(maxDue)) &&
		p.Due != 0 && p.Deadline > p.Due && s.Has("deadline") {
		s.Fail("deadline", "longer than due", "at most "+inifile.FormatDuration(p.Due))
	}
	if p.Due != 0 && p.Deadline > p.Due {
		p.Deadline = p.Due
	}
}

// checkSLO rejects a latency share without a bound and a bound without a share: either one
// alone sets no objective.
func checkSLO(s *inifile.Section, p *Profile) {
	if p.Urgency == Batch {
		return
	}
	bounded := s.Has("slo_first_token") || s.Has("slo_between_tokens")
	if bounded {
		s.Require("slo_latency_share", "a share above 0 and below 1, like 0.99")
	} else {
		rejectIfSet(s, "slo_latency_share", "needs slo_first_token or slo_between_tokens")
	}
}

// rejectIfSet reports a problem if the key is set.
func rejectIfSet(s *inifile.Section, key, reason string) {
	if s.Has(key) {
		s.Fail(key, reason, "")
	}
}
