package retry

import "time"

const (
	// runWindow is how long a run counts at least, and half of how long it counts at most.
	runWindow = time.Minute
	// runMargin is what runs may take more than the longest one of late, in percent.
	runMargin = 25
)

// LongestRun learns how long requests run at targets at most. The zero value is ready to use.
type LongestRun struct {
	current, previous runs
	rotated           time.Time
}

// runs are the number of the runs of a window and the longest one.
type runs struct {
	count   int
	longest time.Duration
}

// Ended records a run that succeeded.
func (l *LongestRun) Ended(now time.Time, took time.Duration) {
	l.rotate(now)
	l.current.count++
	l.current.longest = max(l.current.longest, took)
}

// Bound returns the time in which a run ends in all likelihood; ok is false if too few runs are known.
func (l *LongestRun) Bound(now time.Time) (bound time.Duration, ok bool) {
	l.rotate(now)
	longest := max(l.current.longest, l.previous.longest)
	return longest + longest*runMargin/100, l.current.count+l.previous.count >= minAnswers
}

func (l *LongestRun) rotate(now time.Time) {
	switch age := now.Sub(l.rotated); {
	case age < runWindow:
	case age < 2*runWindow:
		l.previous, l.current, l.rotated = l.current, runs{}, now
	default:
		l.previous, l.current, l.rotated = runs{}, runs{}, now
	}
}
