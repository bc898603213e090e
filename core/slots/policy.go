package slots

// Policy states which optional parts of the scheduler are in force; see
// docs/design/0015-scheduling-under-overload.md. The zero value has none.
type Policy struct {
	// Queue lets requests wait at the leader instead of at a target.
	Queue bool
	// ZoneBalance sends requests to the zone that starts them first.
	ZoneBalance bool
	// BatchReserve holds slots back from batch items that have time.
	BatchReserve bool
	// FairShares orders waiting requests by what their accounts have received.
	FairShares bool
	// PacedReturn gives refused callers the time at which a slot is expected for them.
	PacedReturn bool
	// TargetRates prefers the targets that finish a request first.
	TargetRates bool
}
