package slots

import "time"

// reserved returns how many free slots of the group are held back from a batch item.
func (l *Ledger) reserved(time.Time, *group, Request) int { return 0 }
