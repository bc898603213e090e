// Package partlog defines the interface to an external partitioned log: topics with
// numbered partitions, appends that may be conditional on a partition's end, keyed
// (compacted) topics that keep the newest record of each key, and groups that assign
// partitions to their members.
package partlog

import (
	"context"
	"time"
)

// Partition names one partition of a topic.
type Partition struct {
	Topic string
	Part  int
}

// Record is one record of a keyed topic. A record without a value deletes its key.
type Record struct {
	Key   string
	Value []byte
}

// MaxKeyBytes is the maximum length of a record's key.
const MaxKeyBytes = 255

// CheckKeys returns an Invalid error if a record's key is empty or too long.
func CheckKeys(records []Record) error {
	for _, r := range records {
		if len(r.Key) == 0 || len(r.Key) > MaxKeyBytes {
			return Invalid.New("a key of %d bytes", len(r.Key))
		}
	}
	return nil
}

// StoredRecord is a record with its offset.
type StoredRecord struct {
	Record
	Offset int64
	// Unreadable reports that no key and value could be decoded from the stored bytes,
	// which another writer wrote.
	Unreadable bool
}

// AnyOffset is the offset of an unconditional append, which does not depend on the
// partition's end.
const AnyOffset int64 = -1

// Page is the result of a read: consecutive records from the requested offset on.
type Page struct {
	// Next is the offset after the last record returned, or the requested offset if
	// there is none.
	Next int64
	// End is the offset that the next append will get.
	End int64
	// Records are in log order.
	Records []StoredRecord
	// At is when the response began to arrive: the log may have grown since.
	At time.Time
}

// NewestPage is one page of the newest records of each key. Pages are read one after
// the other and do not form a consistent snapshot.
type NewestPage struct {
	Records []StoredRecord
	// More reports whether another page follows the last key of this one.
	More bool
	// End is the partition's end when the page was read.
	End int64
	// At is when the response began to arrive.
	At time.Time
}

// Log is the partitioned log. Every call has its own time limit, below the context's
// deadline. Errors have this package's types.
type Log interface {
	// Append atomically adds keyed records and returns the first record's offset. If at
	// is not AnyOffset, they are added only if the partition ends at that offset;
	// otherwise the error is Conflict. It is Invalid if CheckKeys fails.
	Append(ctx context.Context, p Partition, records []Record, at int64) (int64, error)
	// Read returns records from the offset on, waiting up to wait for the first. Its
	// error is Expired if the records were deleted: start again from Newest.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest record of each key greater than after, in key order;
	// "" starts from the beginning.
	Newest(ctx context.Context, p Partition, after string) (NewestPage, error)
}

// Assignment is the set of partitions assigned to a member of a group.
type Assignment struct {
	// Generation increases with each change in the group.
	Generation int64
	// Parts are the member's partitions.
	Parts []Partition
}

// Groups assigns the partitions of topics to the members of a group.
type Groups interface {
	// Join joins the group or renews the membership for ttl.
	Join(ctx context.Context, group, member string, topics []string, ttl time.Duration, generation int64) (Assignment, error)
	// Owners returns the member that each partition is assigned to. The caller need
	// not be a member.
	Owners(ctx context.Context, group string) (map[Partition]string, error)
	// Leave releases the member's partitions at once.
	Leave(ctx context.Context, group, member string) error
}
