package cli

import (
	"strings"
	"time"
)

// timeLayout is how a person reads a time: local, to the second.
const timeLayout = "2006-01-02 15:04:05 MST"

// when tells a time in Unix milliseconds, local and relative to now; "-" for 0.
func (a *app) when(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return date(ms) + " (" + relative(time.UnixMilli(ms).Sub(a.now())) + ")"
}

// date tells a time in Unix milliseconds alone, for what is kept and read later.
func date(ms int64) string { return time.UnixMilli(ms).Local().Format(timeLayout) }

// relative tells a distance in time in its two largest units.
func relative(d time.Duration) string {
	if d < 0 {
		return short(-d) + " ago"
	}
	return "in " + short(d)
}

// short writes a duration with a precision that fits its size.
func short(d time.Duration) string {
	const (
		day   = 24 * time.Hour
		tenth = 100 * time.Millisecond
	)
	switch {
	case d >= 2*day:
		return strings.TrimSuffix(d.Round(time.Hour).String(), "0m0s")
	case d >= time.Hour:
		return trimZero(d.Round(time.Minute).String())
	case d >= time.Minute:
		return trimZero(d.Round(time.Second).String())
	case d >= time.Second:
		return d.Round(tenth).String()
	default:
		return d.Round(time.Millisecond).String()
	}
}
