package feed

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// avoidFor is how long a reader that did not answer is chosen only after the others.
const avoidFor = time.Second

// Source is a subscriber's choice of the reader to query.
type Source struct {
	self    string
	readers []Reader
	// failed holds when each reader last left a request unanswered.
	failed map[string]time.Time
}

// NewSource returns the choice of the daemon at the peer address self, which knows no
// reader yet.
func NewSource(self string) *Source { return &Source{self: self, failed: map[string]time.Time{}} }

// SetReaders sets the zone's readers.
func (s *Source) SetReaders(readers []Reader) {
	s.readers = s.readers[:0]
	for _, r := range readers {
		if r.Address != s.self {
			s.readers = append(s.readers, r)
		}
	}
	for address := range s.failed {
		if !slices.ContainsFunc(s.readers, func(r Reader) bool { return r.Address == address }) {
			delete(s.failed, address)
		}
	}
}

// Failed records that a reader did not answer.
func (s *Source) Failed(now time.Time, address string) { s.failed[address] = now }

// Next returns the reader to query, false if none is known. Readers that have not failed
// lately go first, and among these the ones that reach the log; subscribers are spread
// over equal readers.
func (s *Source) Next(now time.Time) (string, bool) {
	best, bestRank, bestHash := "", 0, uint64(0)
	for _, r := range s.readers {
		rank := 0
		if !r.Fresh() {
			rank++
		}
		if at, failed := s.failed[r.Address]; failed && now.Sub(at) < avoidFor {
			rank += 2
		}
		hash := xxhash.Sum64String(s.self + "\x00" + r.Address)
		if best == "" || rank < bestRank || rank == bestRank && hash < bestHash {
			best, bestRank, bestHash = r.Address, rank, hash
		}
	}
	return best, best != ""
}
