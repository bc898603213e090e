package slots

// SetZoneRule replaces the rule by which zones are compared, to measure others against it.
func (l *Ledger) SetZoneRule(rule func(home, other ZoneLoad) (gain float64, sends bool)) {
	l.zoneRule = rule
}

// FailedZones returns how many failures of zones are recorded.
func (l *Ledger) FailedZones() int { return len(l.failed) }

// Needs returns how many holders' statements of what their items need are recorded.
func (l *Ledger) Needs() int {
	n := 0
	for _, g := range l.groups {
		n += len(g.use.needed)
	}
	return n
}
