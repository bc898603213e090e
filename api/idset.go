package api

import (
	"hash/maphash"

	"tarragonhollow.example/tarragonhollow/bodymemory"
)

const (
	// idBytes is the most that one hash costs in the map.
	idBytes = 40
	// idStep is how many hashes are reserved at a time.
	idStep = 1024
)

// idSet tells whether a custom_id was seen. It keeps 64-bit hashes with a seed
// of its own, and reserves their memory as they come. A collision refuses an
// honest job with a true "not run"; for a job of n items its odds are about
// n²/2^65: 1 in 440 million for 290,000 items, and another seed on a resend. A
// true duplicate is always found.
type idSet struct {
	seed  maphash.Seed
	seen  map[uint64]struct{}
	claim *bodymemory.Claim
}

// newIDSet returns an empty set that reserves its memory by the claim.
func newIDSet(claim *bodymemory.Claim) *idSet {
	return &idSet{seed: maphash.MakeSeed(), seen: make(map[uint64]struct{}), claim: claim}
}

// add tells whether id is new, or refuses where there is no memory left.
func (s *idSet) add(id string) (isNew bool, err error) {
	h := maphash.String(s.seed, id)
	if _, ok := s.seen[h]; ok {
		return false, nil
	}
	if len(s.seen)%idStep == 0 {
		if refusal := s.claim.Grow(idStep * idBytes); refusal != nil {
			return false, refusal
		}
	}
	s.seen[h] = struct{}{}
	return true, nil
}

// release gives the memory back.
func (s *idSet) release() { s.claim.Release() }
