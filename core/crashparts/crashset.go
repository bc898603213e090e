package crashparts

import (
	"math/bits"
	"slices"
)

const (
	wordBits = 64
	// crashWords is the number of words of a crashSet: MaxCrashes, and the one that exceeds it.
	crashWords = MaxCrashes/wordBits + 1
)

// crashSet is a set of indices of Evidence.crashes, one bit each.
type crashSet [crashWords]uint64

// suspect is a part that is not cleared of some crash.
type suspect struct {
	crashes crashSet
	count   int
	// lastReceivedMs is when the last of the crashes was first received.
	lastReceivedMs int64
}

func (s *crashSet) add(i int) { s[i/wordBits] |= 1 << (i % wordBits) }

func (s *crashSet) has(i int) bool { return s[i/wordBits]>>(i%wordBits)&1 == 1 }

// first returns the lowest index, -1 if there is none.
func (s *crashSet) first() int {
	for i, word := range s {
		if word != 0 {
			return i*wordBits + bits.TrailingZeros64(word)
		}
	}
	return -1
}

// without returns the set without the other's elements.
func (s crashSet) without(other crashSet) crashSet {
	for i := range s {
		s[i] &^= other[i]
	}
	return s
}

// coverable reports whether at most n of the sets hold all elements between them.
func (s crashSet) coverable(sets []crashSet, n int) bool {
	first := s.first()
	if first < 0 || n == 0 {
		return first < 0
	}
	return slices.ContainsFunc(sets, func(set crashSet) bool {
		return set.has(first) && s.without(set).coverable(sets, n-1)
	})
}
