package batch

// Progress is the partial output of an unfinished item, and how often it failed. It is saved on the log so that the
// item resumes from it after its holder's host is lost.
//
// Failure guarded against: all hosts lose power while items that run for seconds are
// nearly due. If each item started over, it would occupy a slot that the items after it
// need, and most would finish late.
type Progress struct {
	// Item is the item's index in the job, ID its ID.
	Item int
	ID   string
	// LastEvent is the number of the last event received, -1 if none was.
	LastEvent int64
	// Output is the data of all events up to LastEvent, joined by line feeds.
	Output string
	// Failures counts the answers in which a target reported that the item failed.
	Failures int
	// Version is the software version of the targets that sent the events, "" if it is not
	// known. The previous build doesn't write it and drops it from records that it rewrites.
	Version string
	// Group is the target group of these targets, "" if it is not known.
	Group string
}

const (
	// minGrowth is the fraction by which an item must have grown since it was last saved.
	// The data written for an item is then at most 1 + 1/minGrowth times its output, and a
	// lost host costs at most that fraction of its runs.
	minGrowth = 0.25
	// minNewEvents is the minimum number of new events for another record.
	minNewEvents = 8
	// maxProgressBytes bounds a saved output: a record on the log holds at most 256 KiB.
	maxProgressBytes = 200 << 10
)

// ShouldSave reports whether the progress of an item should be saved again: events is the
// number of events received, saved the number at the last save, and bytes the size of the
// output.
func ShouldSave(events, saved int64, bytes int) bool {
	grown := events - saved
	return grown >= minNewEvents && float64(grown) >= minGrowth*float64(saved) && FitsRecord(bytes)
}

// FitsRecord reports whether progress with an output of this size fits into a record.
func FitsRecord(bytes int) bool { return bytes <= maxProgressBytes }

// valid reports whether the progress is valid and belongs to the item in its key.
func (p *Progress) valid(item int) bool {
	return p.Item == item && p.LastEvent >= -1 && p.Failures >= 0 && !p.Empty()
}

// Empty reports whether there is nothing to save.
func (p *Progress) Empty() bool { return p.LastEvent < 0 && p.Failures <= 0 }

// DecodeProgress decodes a progress record. An empty value means that the item has ended;
// ok is false then. It returns an ErrRecord if the record is invalid.
func DecodeProgress(key string, value []byte) (job string, p Progress, ok bool, err error) {
	job, item, err := parseResultKey(key)
	if err != nil || len(value) == 0 {
		return job, Progress{Item: item}, false, err
	}
	p, err = decode[Progress](key, value)
	if err != nil {
		return "", Progress{}, false, err
	}
	if !p.valid(item) {
		return "", Progress{}, false, ErrRecord.New("record %q is not valid progress of the item in its key", key)
	}
	return job, p, true, nil
}
