// Package memlog is the in-memory store of the stand-in log service and of the fake
// log for tests: streams of records with offsets, notification of long polls, and
// trimming. It injects no faults; the packages that use it do.
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

// stream holds the records from offset first on.
type stream struct {
	first   int64
	records []extern.Record
	changed chan struct{}
}

// New returns an empty store.
func New() *Store { return &Store{streams: map[string]*stream{}} }

// Append appends a copy of data to the stream and returns its offset.
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

// Read returns the stored records from offset from on: at most maxBytes of data, but
// at least one record if there is any. The records' data is shared and must not be
// modified. The channel is closed at the stream's next append, so a reader that got no
// records can wait on it without missing an append.
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

// Bounds returns the stream's first stored offset and its next offset: 0 and 0 for a
// stream that was never appended to.
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

// Trim removes the stream's records below the offset first.
func (s *Store) Trim(name string, first int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	st.drop(int(min(first, st.next()) - st.first))
}

// TrimBefore removes the records of all streams that were appended before atMs, in
// Unix milliseconds. It does not change the next offsets.
func (s *Store) TrimBefore(atMs int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.streams {
		count := sort.Search(len(st.records), func(i int) bool { return st.records[i].AtMs >= atMs })
		st.drop(count)
	}
}

// stream returns the named stream and creates it on first use. The caller holds mu.
func (s *Store) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{changed: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// next returns the next offset. It is derived from first and never stored: removing
// records advances first by the same count, so no offset can be used twice.
func (st *stream) next() int64 { return st.first + int64(len(st.records)) }

// drop removes the first count records. Their data can be freed at once; their slots
// are freed when append next reallocates the slice, so drop copies nothing.
func (st *stream) drop(count int) {
	if count <= 0 {
		return
	}
	st.first += int64(count)
	clear(st.records[:count])
	st.records = st.records[count:]
}
