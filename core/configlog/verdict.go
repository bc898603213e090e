package configlog

// Verdict is the outcome of a proposed change.
type Verdict int

const (
	// Unknown: the state does not show the outcome, because its history is too short.
	Unknown Verdict = iota
	// Accepted: the change was accepted.
	Accepted
	// Lost: another change got the version.
	Lost
	// Void: the change has no effect and its base is still current; it can be proposed
	// again in the current epoch.
	Void
)

// Judge returns the verdict on a change and the entry that decides it, from a state that
// includes the change's offset or a withdrawal of its epoch. The change can only have the
// version after its base, so the history's entry of that version decides, even for a reader
// that adopted the state from another daemon and never read the change's record.
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

// reaches reports whether the history reaches back to the version. A forced change clears
// the history, but changes proposed before it can't be accepted after it.
func reaches(s State, version uint64) bool {
	return len(s.History) > 0 && s.History[0].Version <= version
}
