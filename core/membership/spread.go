package membership

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	// piggyback bounds the changed entries on one message.
	piggyback = 6
	// retransmit times the logarithm of the fleet's size is how often a change is
	// sent on by each daemon that learnt it.
	retransmit = 3
)

// spreader is the queue of changes to be sent on. It holds names only: what is
// sent is the entry as it is then, so an outdated change never leaves.
type spreader struct {
	items map[spreadKey]*spreadItem
	seq   uint64
	// lastMember and lastTarget are where the refreshing in turn stands.
	lastMember, lastTarget string
}

// spreadKey names a member's host or a target's address.
type spreadKey struct {
	target bool
	name   string
}

type spreadItem struct {
	key  spreadKey
	sent int
	seq  uint64
}

func newSpreader() spreader { return spreader{items: make(map[spreadKey]*spreadItem)} }

func (s *spreader) addMember(host string)    { s.add(spreadKey{name: host}) }
func (s *spreader) addTarget(address string) { s.add(spreadKey{target: true, name: address}) }
func (s *spreader) dropMember(host string)   { delete(s.items, spreadKey{name: host}) }

func (s *spreader) add(key spreadKey) {
	s.seq++
	s.items[key] = &spreadItem{key: key, seq: s.seq}
}

// take returns the least often sent changes, newest first, and forgets those
// sent often enough for a fleet of n.
func (s *spreader) take(n int) []spreadKey {
	queue := make([]*spreadItem, 0, len(s.items))
	for _, item := range s.items {
		queue = append(queue, item)
	}
	slices.SortFunc(queue, func(a, b *spreadItem) int {
		if c := cmp.Compare(a.sent, b.sent); c != 0 {
			return c
		}
		return cmp.Compare(b.seq, a.seq)
	})
	limit := retransmit * bits.Len(uint(n+1))
	keys := make([]spreadKey, 0, piggyback)
	for _, item := range queue[:min(len(queue), piggyback)] {
		keys = append(keys, item.key)
		if item.sent++; item.sent >= limit {
			delete(s.items, item.key)
		}
	}
	return keys
}

// gossip collects what rides on the next message.
func (m *Machine) gossip() Gossip {
	g := Gossip{ListVersion: m.list.version}
	for _, key := range m.spread.take(len(m.members)) {
		m.appendEntry(&g, key)
	}
	if len(g.Members)+len(g.Targets) < piggyback {
		m.appendRefresh(&g)
	}
	return g
}

func (m *Machine) appendEntry(g *Gossip, key spreadKey) {
	if key.target {
		if t := m.targets[key.name]; t != nil {
			g.Targets = append(g.Targets, t.notice)
		}
		return
	}
	if e := m.members[key.name]; e != nil {
		g.Members = append(g.Members, e.member)
	}
}

func (m *Machine) appendRefresh(g *Gossip) {
	hosts := m.hosts(func(*entry) bool { return true })
	if host, ok := after(hosts, m.spread.lastMember); ok {
		m.spread.lastMember = host
		g.Members = append(g.Members, m.members[host].member)
	}
	if address, ok := after(m.leavingAddresses(), m.spread.lastTarget); ok {
		m.spread.lastTarget = address
		g.Targets = append(g.Targets, m.targets[address].notice)
	}
}

// after returns the first name above last, or the first of all.
func after(sorted []string, last string) (string, bool) {
	if len(sorted) == 0 {
		return "", false
	}
	i, found := slices.BinarySearch(sorted, last)
	if found {
		i++
	}
	return sorted[i%len(sorted)], true
}
