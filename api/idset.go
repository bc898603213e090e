package api

import (
	"hash/maphash"

	"tarragonhollow.example/tarragonhollow/bodymemory"
)

const (
	// idBytes is the maximum memory that one hash takes in the map.
	idBytes = 40
	// idStep is the number of hashes for which memory is reserved at a time.
	idStep = 1024
)

// idSet is a set of custom_ids, for finding duplicates. It stores 64-bit hashes with a
// random seed and reserves memory as they are added. A duplicate is always found. A
// hash collision refuses a valid job, correctly as "not run". For a job of n items its
// probability is about n²/2^65, which is 1 in 440 million for 290,000 items; a resend
// uses another seed.
type idSet struct {
	seed  maphash.Seed
	seen  map[uint64]struct{}
	claim *bodymemory.Claim
}

// newIDSet returns an empty set that reserves its memory through the claim.
func newIDSet(claim *bodymemory.Claim) *idSet {
	return &idSet{seed: maphash.MakeSeed(), seen: make(map[uint64]struct{}), claim: claim}
}

// add adds id and reports whether it is new. The error is a refusal if no memory is
// left.
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

// release releases the reserved memory.
func (s *idSet) release() { s.claim.Release() }
