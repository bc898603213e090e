package cli

import (
	"strings"
	"time"
)

// timeLayout is the format of printed times: local time, to the second.
const timeLayout = "2006-01-02 15:04:05 MST"

// timeWithAge formats a time in Unix milliseconds as local time and relative to now. It
// returns "-" for 0.
func (a *app) timeWithAge(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return formatTime(ms) + " (" + formatRelative(time.UnixMilli(ms).Sub(a.now())) + ")"
}

// formatTime formats a time in Unix milliseconds as local time only, for output that is
// stored and read later.
func formatTime(ms int64) string { return time.UnixMilli(ms).Local().Format(timeLayout) }

// formatRelative formats a duration as "in ...", or "... ago" if it is negative.
func formatRelative(d time.Duration) string {
	if d < 0 {
		return formatDuration(-d) + " ago"
	}
	return "in " + formatDuration(d)
}

// formatDuration formats a duration, rounded to a precision that suits its length.
func formatDuration(d time.Duration) string {
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
