package slots

// SetZoneRule replaces the rule by which zones are compared, to measure others against it.
func (l *Ledger) SetZoneRule(rule func(home, other ZoneLoad) (gain float64, sends bool)) {
	l.zoneRule = rule
}
