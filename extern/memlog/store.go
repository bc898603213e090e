// Package memlog is the memory behind the stand-in log service and the fake
// log of tests: streams of records with offsets, long-poll notices and
// trimming. It injects no faults; its users do.
package memlog

import (
	"slices"
	"sort"
	"sync"

	"tarragonhollow.example/tarragonhollow/extern"
)

// Store is a set of append-only streams. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	streams map[string]*stream
}

// stream keeps the records from offset first on.
type stream struct {
	first   int64
	records []extern.Record
	changed chan struct{}
}

// New returns an empty store.
func New() *Store { return &Store{streams: map[string]*stream{}} }

// Append copies data to the stream's end and returns its offset.
func (s *Store) Append(name string, atMs int64, data []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	offset := st.next()
	st.records = append(st.records, extern.Record{Offset: offset, AtMs: atMs, Data: slices.Clone(data)})
	close(st.changed)
	st.changed = make(chan struct{})
	return offset
}

// Read returns the kept records from the offset on: at most maxBytes of data,
// but at least one record if there is any. The records' data is shared and
// must not be changed. The channel is closed at the stream's next append, so
// a reader that got nothing can wait without missing one.
func (s *Store) Read(name string, from int64, maxBytes int) (extern.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	page := extern.Page{First: st.first, Next: st.next()}
	start := min(max(from, st.first), page.Next)
	size := 0
	for _, record := range st.records[start-st.first:] {
		size += len(record.Data)
		if len(page.Records) > 0 && size > maxBytes {
			break
		}
		page.Records = append(page.Records, record)
	}
	return page, st.changed
}

// Bounds returns the stream's first kept and next offset; a stream that was
// never appended to has 0 and 0.
func (s *Store) Bounds(name string) (first, next int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.streams[name]
	if !ok {
		return 0, 0
	}
	return st.first, st.next()
}

// Names returns the streams that have been appended to, sorted.
func (s *Store) Names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{}
	for name, st := range s.streams {
		if st.next() > 0 {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Trim drops the stream's records below the offset first.
func (s *Store) Trim(name string, first int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	st.drop(int(min(first, st.next()) - st.first))
}

// TrimBefore drops the records that were appended before the time, in all
// streams. Next offsets stay as they are.
func (s *Store) TrimBefore(atMs int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.streams {
		count := sort.Search(len(st.records), func(i int) bool { return st.records[i].AtMs >= atMs })
		st.drop(count)
	}
}

// stream returns the named stream, making it on first use. The lock is held.
func (s *Store) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{changed: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// next is derived from first and never stored: dropping records moves first
// by the same count, so an offset cannot be given out twice.
func (st *stream) next() int64 { return st.first + int64(len(st.records)) }

// drop forgets the first count records. Their data is let go at once, their
// slots when append next moves the slice, so dropping costs no copy.
func (st *stream) drop(count int) {
	if count <= 0 {
		return
	}
	st.first += int64(count)
	clear(st.records[:count])
	st.records = st.records[count:]
}
