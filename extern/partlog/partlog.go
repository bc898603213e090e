// Package partlog holds the narrow interface to a partitioned log outside this
// system: topics with numbered partitions, appends that may depend on where a
// partition ends, keyed topics that keep the newest record of each key, and
// groups that deal partitions out to their members.
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

// Record is one record of a keyed topic. A record without a value removes its
// key.
type Record struct {
	Key   string
	Value []byte
}

// Kept is a record with its place.
type Kept struct {
	Record
	Offset int64
	// Unreadable tells that another writer's bytes stand there, from which no key
	// and value could be read.
	Unreadable bool
}

// Anywhere is the place of an append that does not depend on the partition's
// end.
const Anywhere int64 = -1

// Page is the answer to a read: consecutive records from the offset asked for.
type Page struct {
	// Next is the offset after the last record returned, or the one asked for.
	Next int64
	// End is the offset that the next append will get.
	End int64
	// Records are in log order.
	Records []Kept
	// At is when the answer began to arrive: the log may have grown since.
	At time.Time
}

// NewestPage is one page of the newest records of each key. Pages are read one
// after the other and are not one snapshot.
type NewestPage struct {
	Records []Kept
	// More tells that another page follows the last key of this one.
	More bool
	// End is the partition's end when the page was read.
	End int64
	// At is when the answer began to arrive.
	At time.Time
}

// Log is the partitioned log. Every call has a time limit of its own, below
// the context's. Errors are of this package's types.
type Log interface {
	// Append adds keyed records all or none. With at other than Anywhere they
	// are added only if the partition ends there; otherwise the error is
	// Conflict. It returns the first record's offset.
	Append(ctx context.Context, p Partition, records []Record, at int64) (int64, error)
	// Read returns records from the offset on, waiting up to wait for the
	// first. Records that are gone are Expired: start from Newest again.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest record of each key after the given key, in key
	// order; "" starts from the beginning.
	Newest(ctx context.Context, p Partition, after string) (NewestPage, error)
}

// Claim is what a member holds of a group.
type Claim struct {
	// Generation rises with each change in the group.
	Generation int64
	// Parts are the partitions that belong to the member.
	Parts []Partition
}

// Groups deals the partitions of topics out to the members of a group.
type Groups interface {
	// Join enters the group or renews the membership for ttl.
	Join(ctx context.Context, group, member string, topics []string, ttl time.Duration, generation int64) (Claim, error)
	// Owners tells which member holds each partition, to anybody.
	Owners(ctx context.Context, group string) (map[Partition]string, error)
	// Leave gives the member's partitions back at once.
	Leave(ctx context.Context, group, member string) error
}
