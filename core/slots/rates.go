package slots

import "time"

// observeRate records the service time of an online request that a target answered.
func (l *Ledger) observeRate(time.Time, *lease, time.Duration) {}
