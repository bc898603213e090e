package configlog

// Verdict is what became of a proposed change.
type Verdict int

const (
	// Unknown: the state does not tell; its history is too short.
	Unknown Verdict = iota
	// Accepted: the change is the version it wanted to be.
	Accepted
	// Lost: another change took the version.
	Lost
	// Void: the change has no effect and its base is still current; it can be
	// proposed anew in the current epoch.
	Void
)

// Judge tells from a state that includes the change's offset, or a withdrawal of
// its epoch, what became of the change. Only the version after the base can be
// the change's, so the history's entry of that version decides it, even for a
// reader that took the state from another daemon and never saw the record.
func Judge(s State, c Change) (Verdict, Entry) {
	for _, entry := range s.History {
		if entry.ID == c.ID {
			return Accepted, entry
		}
	}
	if s.Version == c.Base {
		return Void, Entry{}
	}
	if s.Version < c.Base {
		return Lost, newest(s)
	}
	if !c.Forced && reaches(s, c.Base+1) {
		return Lost, newest(s)
	}
	return Unknown, Entry{}
}

// newest returns the entry of the current version.
func newest(s State) Entry {
	if len(s.History) == 0 {
		return Entry{Version: s.Version}
	}
	return s.History[len(s.History)-1]
}

// reaches tells whether the history goes back to the version. A forced change
// empties it, but then nothing proposed before can be accepted after.
func reaches(s State, version uint64) bool {
	return len(s.History) > 0 && s.History[0].Version <= version
}
