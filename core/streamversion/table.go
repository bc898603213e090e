package streamversion

import "time"

// maxRecords bounds the records of one generation of a Table; some 200 bytes each.
const maxRecords = 20_000

// Record is the version of the target that sent a stream's first event.
type Record struct {
	// Stream is the ID of the request whose response brought the event.
	Stream string
	Group  string
	// Version is "" if it is uncertain.
	Version string
}

// Entry is a record in a Table.
type Entry struct {
	Record
	// At is when the record was added here.
	At time.Time
	// Own reports that the stream began here, Sent that the record was sent to other daemons.
	Own, Sent bool
}

// Table holds the records of Memory at least, and of twice that at most, unless there are more
// than maxRecords. The zero value is empty and ready to use.
type Table struct {
	current, previous map[string]*Entry
	rotated           time.Time
	// unsent holds the daemon's own records that were not sent, by group, the oldest first.
	unsent map[string][]*Entry
}

// Add adds a record. A stream with two records of different versions has an uncertain one.
func (t *Table) Add(now time.Time, r Record, own bool) *Entry {
	t.rotate(now)
	if known := t.find(r.Stream); known != nil {
		if known.Version != r.Version || known.Group != r.Group {
			known.Version = ""
			if own && known.Sent {
				known.Sent = false
				t.unsent[r.Group] = append(t.unsent[r.Group], known)
			}
		}
		known.Own = known.Own || own
		return known
	}
	e := &Entry{Record: r, At: now, Own: own}
	t.current[r.Stream] = e
	if own {
		t.unsent[r.Group] = append(t.unsent[r.Group], e)
	}
	return e
}

// Find returns a stream's record.
func (t *Table) Find(stream string) (Entry, bool) {
	if e := t.find(stream); e != nil {
		return *e, true
	}
	return Entry{}, false
}

// Unsent returns the records of streams that began here within Memory in groups for which
// needed returns true, and that have not been sent, and marks them as sent.
func (t *Table) Unsent(now time.Time, needed func(group string) bool) []Record {
	var list []Record
	for group, entries := range t.unsent {
		for len(entries) > 0 && (entries[0].Sent || now.Sub(entries[0].At) >= Memory) {
			entries = entries[1:]
		}
		if t.unsent[group] = entries; len(entries) > 0 && needed(group) {
			for _, e := range entries {
				if !e.Sent {
					e.Sent = true
					list = append(list, e.Record)
				}
			}
			entries = nil
		}
		if len(entries) == 0 {
			delete(t.unsent, group)
		}
	}
	return list
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.current) + len(t.previous) }

func (t *Table) find(stream string) *Entry {
	if e := t.current[stream]; e != nil {
		return e
	}
	return t.previous[stream]
}

func (t *Table) rotate(now time.Time) {
	if t.current != nil && now.Sub(t.rotated) < Memory && len(t.current) < maxRecords {
		return
	}
	t.previous, t.current, t.rotated = t.current, map[string]*Entry{}, now
	if t.unsent == nil {
		t.unsent = map[string][]*Entry{}
	}
}
