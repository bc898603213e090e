package config

import (
	"time"

	"tarragonhollow.example/tarragonhollow/inifile"
)

const (
	kib = int64(1) << 10
	mib = int64(1) << 20
	gib = int64(1) << 30
)

// DefaultLimits returns the values of the limits that are not set in [limits].
func DefaultLimits() Limits {
	return Limits{
		BodyBytes:         1 * mib,
		JobBytes:          1 * gib,
		LineBytes:         int(256 * kib),
		ItemsPerJob:       300_000, // the largest known job has 290,000 items
		InFlightPerCaller: 256,
		InFlight:          4096,
		RetryShare:        0.1,
		KeptAnswers:       24 * time.Hour,
		KeptResults:       72 * time.Hour,
		CrashLimit:        2,
	}
}

// Bounds of the limits.
const (
	minKept        = time.Minute
	maxKept        = 30 * 24 * time.Hour
	maxItemsPerJob = 10_000_000
	maxLineBytes   = 16 * 1 << 20
	maxCrashLimit  = 10
)

// parseLimits reads the [limits] section.
func parseLimits(s *inifile.Section) Limits {
	def := DefaultLimits()
	l := Limits{
		BodyBytes:         s.Size("body_bytes", def.BodyBytes, kib, 64*mib),
		JobBytes:          s.Size("job_bytes", def.JobBytes, kib, 16*gib),
		LineBytes:         int(s.Size("line_bytes", int64(def.LineBytes), kib, maxLineBytes)),
		ItemsPerJob:       s.Int("items_per_job", def.ItemsPerJob, 1, maxItemsPerJob),
		InFlightPerCaller: s.Int("in_flight_per_caller", def.InFlightPerCaller, 1, maxInFlight),
		InFlight:          s.Int("in_flight", def.InFlight, 1, maxInFlight),
		RetryShare:        s.Float("retry_share", def.RetryShare, 0, 1),
		KeptAnswers:       s.Duration("kept_answers", def.KeptAnswers, minKept, maxKept),
		KeptResults:       s.Duration("kept_results", def.KeptResults, minKept, maxKept),
		CrashLimit:        s.Int("crash_limit", def.CrashLimit, 1, maxCrashLimit),
	}
	if int64(l.LineBytes) > l.JobBytes {
		s.Fail("line_bytes", "larger than job_bytes", "at most "+inifile.FormatSize(l.JobBytes))
	}
	if l.InFlightPerCaller > l.InFlight {
		s.Failf("in_flight_per_caller", "%d is larger than in_flight, %d", l.InFlightPerCaller, l.InFlight)
	}
	return l
}
