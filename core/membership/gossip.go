package membership

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	// maxPiggyback is the maximum number of changed entries in one message.
	maxPiggyback = 6
	// retransmitMult times the binary logarithm of the fleet's size is how often each
	// daemon that learned a change sends it on.
	retransmitMult = 3
)

// gossipQueue is the queue of changes to send on. It holds only names: the entry is read
// when it is sent, so an outdated change is never sent.
type gossipQueue struct {
	items map[gossipKey]*gossipItem
	seq   uint64
	// lastMember and lastTarget are the entries that were last refreshed round-robin.
	lastMember, lastTarget string
}

// gossipKey is a member's host or a target's address.
type gossipKey struct {
	target bool
	name   string
}

type gossipItem struct {
	key  gossipKey
	sent int
	seq  uint64
}

func newGossipQueue() gossipQueue { return gossipQueue{items: make(map[gossipKey]*gossipItem)} }

func (q *gossipQueue) addMember(host string)    { q.add(gossipKey{name: host}) }
func (q *gossipQueue) addTarget(address string) { q.add(gossipKey{target: true, name: address}) }
func (q *gossipQueue) dropMember(host string)   { delete(q.items, gossipKey{name: host}) }

func (q *gossipQueue) add(key gossipKey) {
	q.seq++
	q.items[key] = &gossipItem{key: key, seq: q.seq}
}

// take returns up to maxPiggyback changes, those sent least often and then the newest
// first, and removes changes that were sent often enough for a fleet of n other daemons.
func (q *gossipQueue) take(n int) []gossipKey {
	queue := make([]*gossipItem, 0, len(q.items))
	for _, item := range q.items {
		queue = append(queue, item)
	}
	slices.SortFunc(queue, func(a, b *gossipItem) int {
		if c := cmp.Compare(a.sent, b.sent); c != 0 {
			return c
		}
		return cmp.Compare(b.seq, a.seq)
	})
	limit := retransmitMult * bits.Len(uint(n+1))
	keys := make([]gossipKey, 0, maxPiggyback)
	for _, item := range queue[:min(len(queue), maxPiggyback)] {
		keys = append(keys, item.key)
		if item.sent++; item.sent >= limit {
			delete(q.items, item.key)
		}
	}
	return keys
}

// gossip returns the gossip for the next message.
func (m *Machine) gossip() Gossip {
	g := Gossip{ListVersion: m.list.version}
	for _, key := range m.queue.take(len(m.members)) {
		m.appendEntry(&g, key)
	}
	if len(g.Members)+len(g.Targets) < maxPiggyback {
		m.appendRefresh(&g)
	}
	return g
}

func (m *Machine) appendEntry(g *Gossip, key gossipKey) {
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
	if host, ok := after(hosts, m.queue.lastMember); ok {
		m.queue.lastMember = host
		g.Members = append(g.Members, m.members[host].member)
	}
	if address, ok := after(m.leavingAddresses(), m.queue.lastTarget); ok {
		m.queue.lastTarget = address
		g.Targets = append(g.Targets, m.targets[address].notice)
	}
}

// after returns the first name greater than last, or the first name if there is none. The
// second result is false if sorted is empty.
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
