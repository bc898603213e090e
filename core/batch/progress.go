package batch

// Progress is what is had of an unfinished item. It is kept on the log so that the
// item goes on from there when its holder's host is lost.
//
// Load pattern answered: all hosts lose power while items that take seconds run, and
// their time is nearly over. Begun anew, each of them takes the places that those
// behind it need, and most end late.
type Progress struct {
	// Item is the item's index in the job, ID its ID.
	Item int
	ID   string
	// LastEvent is the number of the last event had.
	LastEvent int64
	// Output is the data of all events up to it, joined by line feeds.
	Output string
}

const (
	// growth is by what part an item must have grown since it was last kept. What is
	// written of an item is then at most 1 + 1/growth times its output, and what a
	// lost host costs at most that part of its runs.
	growth = 0.25
	// leastEvents is the least growth, in events, that is worth a record.
	leastEvents = 8
	// maxProgressBytes bounds an output that is kept: the log's records hold 256 KiB.
	maxProgressBytes = 200 << 10
)

// WorthKeeping tells whether an item of which events were had is to be kept again,
// when it was last kept with some of them.
func WorthKeeping(events, kept int64, bytes int) bool {
	grown := events - kept
	return grown >= leastEvents && float64(grown) >= growth*float64(kept) && bytes <= maxProgressBytes
}

// DecodeProgress reads the record under a key. An empty value tells that the item has
// ended; ok is false then.
func DecodeProgress(key string, value []byte) (job string, p Progress, ok bool, err error) {
	job, item, err := parseResultKey(key)
	if err != nil || len(value) == 0 {
		return job, Progress{Item: item}, false, err
	}
	p, err = decode[Progress](key, value)
	if err != nil {
		return "", Progress{}, false, err
	}
	if p.Item != item || p.LastEvent < 0 {
		return "", Progress{}, false, ErrRecord.New("the record %q is no progress of its item", key)
	}
	return job, p, true, nil
}
