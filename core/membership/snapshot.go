package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Snapshot is an immutable copy of a Machine's view. It implements View and is safe for
// concurrent use. The Shards slices in the members that it returns are shared and must not
// be modified.
type Snapshot struct {
	self    Member
	members []Member // not dead, self included, sorted by host
	hashes  []uint64 // of the hosts, in the order of members
	ids     map[string]struct{}
	holders map[int]int // shard -> index in members
	leaving map[string]struct{}
	version uint64
}

// Snapshot returns a snapshot of the current view.
func (m *Machine) Snapshot() *Snapshot {
	s := &Snapshot{
		self:    m.self,
		members: make([]Member, 0, len(m.members)+1),
		ids:     make(map[string]struct{}, len(m.members)+1),
		holders: make(map[int]int),
		leaving: make(map[string]struct{}),
		version: m.version,
	}
	s.members = append(s.members, m.self)
	for host, e := range m.members {
		if e.member.State == Dead {
			continue
		}
		member := e.member
		if member.State == Live && m.list.leavingHosts[host] {
			member.State = Leaving
		}
		s.members = append(s.members, member)
	}
	slices.SortFunc(s.members, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	s.index()
	for _, address := range m.leavingAddresses() {
		s.leaving[address] = struct{}{}
	}
	return s
}

func (s *Snapshot) index() {
	s.hashes = make([]uint64, len(s.members))
	terms := make(map[int]uint64)
	for i, member := range s.members {
		s.hashes[i] = xxhash.Sum64String(member.Host)
		s.ids[member.ID()] = struct{}{}
		for _, hold := range member.Shards {
			if _, held := s.holders[hold.Shard]; !held || hold.Term > terms[hold.Shard] {
				s.holders[hold.Shard], terms[hold.Shard] = i, hold.Term
			}
		}
	}
}

// Version returns the Machine's Version at the time of the snapshot.
func (s *Snapshot) Version() uint64 { return s.version }

// Self implements View.
func (s *Snapshot) Self() Member { return s.self }

// Members implements View.
func (s *Snapshot) Members() []Member { return slices.Clone(s.members) }

// Holder implements View. If several members claim the shard, as a paused member does until
// it reads the log again, the one with the highest term is the actual holder.
func (s *Snapshot) Holder(shard int) (Member, bool) {
	i, ok := s.holders[shard]
	if !ok {
		return Member{}, false
	}
	return s.members[i], true
}

// LiveID implements View.
func (s *Snapshot) LiveID(id string) bool {
	_, ok := s.ids[id]
	return ok
}

// TargetLeaving implements View.
func (s *Snapshot) TargetLeaving(address string) bool {
	_, ok := s.leaving[address]
	return ok
}

// Successors implements View, in the order of Rank over the usable hosts.
func (s *Snapshot) Successors(key string) []Member {
	keyHash := xxhash.Sum64String(key)
	ranked := make([]scored, 0, len(s.members))
	for i := range s.members {
		if s.members[i].State == Live && s.members[i].LogOK {
			ranked = append(ranked, scored{score: score(keyHash, s.hashes[i]), index: i})
		}
	}
	sortScored(ranked, func(i int) string { return s.members[i].Host })
	out := make([]Member, len(ranked))
	for i, r := range ranked {
		out[i] = s.members[r.index]
	}
	return out
}

// First implements View. It computes each host's score once and does not sort, because it
// is called for every target several times a second.
func (s *Snapshot) First(key string) (Member, bool) {
	keyHash := xxhash.Sum64String(key)
	best := -1
	var bestScore uint64
	for i := range s.members {
		if s.members[i].State != Live {
			continue
		}
		// Members are sorted by host, so of equal scores the first one wins, as in Rank.
		if v := score(keyHash, s.hashes[i]); best < 0 || v > bestScore {
			best, bestScore = i, v
		}
	}
	if best < 0 {
		return Member{}, false
	}
	return s.members[best], true
}

// FirstOf returns the first of the members, if there is one.
func FirstOf(members []Member) (Member, bool) {
	if len(members) == 0 {
		return Member{}, false
	}
	return members[0], true
}
