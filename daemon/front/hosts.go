package front

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
)

const (
	// minRetryPause and maxRetryPause bound the pause before a failed announcement or
	// first load is retried.
	minRetryPause = 300 * time.Millisecond
	maxRetryPause = 1200 * time.Millisecond
	// smallZone is the maximum number of daemons of a zone at which each of them follows
	// the whole fleet and reads everything from the log.
	smallZone = 24
	// zoneAnnounceWait is how long a daemon that was not in the list before waits for the
	// other daemons of its zone to announce themselves: all of them may start for the
	// first time.
	zoneAnnounceWait = 500 * time.Millisecond
	// chooseListsEvery is the interval at which a daemon checks which lists it needs to
	// follow.
	chooseListsEvery = 100 * time.Millisecond
	// ampleCoresShare is the share of the cores of the zone's largest host from which on
	// a host has ample cores.
	ampleCoresShare = 0.5
)

// hostsPace is the pace of a small zone: a new daemon's counts may be missing for as long
// as a read takes.
var (
	hostsPace = partlog.ReadOptions{Wait: 8 * time.Second, Linger: 100 * time.Millisecond}
	// largeZonePace is the pace of a large zone: every daemon there reads each change of
	// its list, and a daemon that is missing from it for some seconds has no
	// disadvantage. MaxBackoff keeps the daemons of such a zone from calling a log that is
	// down all the time.
	largeZonePace = partlog.ReadOptions{Wait: 8 * time.Second, Linger: 2 * time.Second, MaxBackoff: 8 * time.Second}
)

// hostsOptions configure hosts.
type hostsOptions struct {
	Log   partlog.Log
	Topic string
	// Parts is the number of partitions of the topic.
	Parts int
	Host  string
	Local places.Peer
	// Zones are all availability zones.
	Zones  []string
	Logger *zap.Logger
}

// hosts is the list of the fleet's daemons, kept in a keyed topic: each daemon writes its
// name and peer address once, at its start, to the partition of its zone. The entry of a
// daemon that died stays; calls to it fail.
//
// In a large zone a daemon reads only the list of its own zone, unless it needs the
// others, so that the volume read at a start of the fleet does not grow with the square
// of the fleet's size.
type hosts struct {
	hostsOptions
	// incarnation differs at every start.
	incarnation uint64
	// readsLog reports whether this daemon reads the log for its zone, and so follows the
	// whole fleet; leaderFleetSize returns the fleet's size as reported by the zone's
	// leader, 0 for unknown.
	readsLog        func() bool
	leaderFleetSize func() int

	mu       sync.Mutex
	lists    map[int]*hostList
	allPeers []places.Peer
	// zonePeers counts the other daemons of the local zone.
	zonePeers int
	// loaded is when the local zone's list was first loaded; announcedBefore reports that
	// it contained this daemon, from an earlier run.
	loaded          time.Time
	announcedBefore bool
}

func newHosts(o hostsOptions) *hosts {
	h := &hosts{hostsOptions: o, incarnation: uint64(time.Now().UnixNano()), lists: map[int]*hostList{},
		readsLog: func() bool { return false }, leaderFleetSize: func() int { return 0 }}
	h.list(h.part(o.Local.Zone))
	return h
}

// part returns the partition of a zone's list. Zones may share one.
func (h *hosts) part(zone string) int { return int(xxhash.Sum64String(zone) % uint64(h.Parts)) }

// list returns the list of a partition.
func (h *hosts) list(part int) *hostList {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lists[part] == nil {
		h.lists[part] = &hostList{hosts: h, partition: partlog.Partition{Topic: h.Topic, Part: part}, position: -1, known: map[string]places.Peer{}}
	}
	return h.lists[part]
}

func (h *hosts) localList() *hostList { return h.list(h.part(h.Local.Zone)) }

// encodeEntry returns the value of a daemon's record: its peer address, its zone and the
// cores that it may use.
func encodeEntry(p places.Peer) []byte {
	return []byte(p.Address + " " + p.Zone + " " + strconv.FormatFloat(p.Cores, 'g', -1, 64))
}

// entryFields is the number of fields of an entry.
const entryFields = 3

func decodeEntry(value []byte) (places.Peer, bool) {
	fields := strings.Split(string(value), " ")
	if len(fields) != entryFields || fields[1] == "" {
		return places.Peer{}, false
	}
	if _, _, err := net.SplitHostPort(fields[0]); err != nil {
		return places.Peer{}, false
	}
	cores, err := strconv.ParseFloat(fields[2], 64)
	if err != nil || !(cores >= 0) {
		return places.Peer{}, false
	}
	return places.Peer{Address: fields[0], Zone: fields[1], Cores: cores}, true
}

// run loads the local zone's list, announces this daemon and follows the lists that it
// needs, until ctx is done.
func (h *hosts) run(ctx context.Context) {
	local := h.localList()
	h.retry(ctx, "hosts_not_loaded", func() error { return partlog.Load(ctx, h.Log, local.partition, local) })
	if ctx.Err() != nil {
		return
	}
	group := duty.NewGroup(ctx)
	group.Go(h.announce)
	group.Go(h.follow)
	group.Wait()
}

// retry repeats a call of the log until it succeeds or ctx is done; event is the name of
// the log event of each failure.
func (h *hosts) retry(ctx context.Context, event string, call func() error) {
	for pause := minRetryPause; ctx.Err() == nil; pause = min(2*pause, maxRetryPause) {
		err := call()
		if err == nil {
			return
		}
		h.Logger.Info(event, zap.Error(err))
		duty.Pause(ctx, pause/2+rand.N(pause/2))
	}
}

// announce writes this daemon's entry.
func (h *hosts) announce(ctx context.Context) {
	entry := []partlog.Record{{Key: h.Host, Value: encodeEntry(h.Local)}}
	h.retry(ctx, "not_announced", func() error {
		_, err := h.Log.Append(ctx, h.localList().partition, entry, partlog.AnyOffset)
		return err
	})
	if ctx.Err() == nil {
		h.Logger.Info("announced", zap.String("address", h.Local.Address))
	}
}

// deregister removes this daemon's entry.
func (h *hosts) deregister(ctx context.Context) {
	if _, err := h.Log.Append(ctx, h.localList().partition, []partlog.Record{{Key: h.Host}}, partlog.AnyOffset); err != nil {
		h.Logger.Info("entry_not_removed", zap.Error(err))
	}
}

// follow follows the local zone's list, and those of the other zones while they are
// needed.
func (h *hosts) follow(ctx context.Context) {
	followers := map[int]*duty.Switch{}
	local, large := h.part(h.Local.Zone), h.isLarge()
	for {
		if now := h.isLarge(); now != large {
			large = now
			stopAll(followers) // restarted below at the new pace
		}
		h.follower(followers, local, large).Set(ctx, true)
		all := h.needsAll()
		for _, part := range h.remoteParts() {
			h.follower(followers, part, large).Set(ctx, all)
			if !all {
				h.drop(part)
			}
		}
		if !duty.Pause(ctx, chooseListsEvery) {
			break
		}
	}
	stopAll(followers)
}

// follower returns the switch that follows a partition's list.
func (h *hosts) follower(followers map[int]*duty.Switch, part int, large bool) *duty.Switch {
	if followers[part] == nil {
		pace := hostsPace
		if large {
			pace = largeZonePace
		}
		followers[part] = &duty.Switch{Loop: func(ctx context.Context) {
			l := h.list(part)
			partlog.Follow(ctx, h.Log, l.partition, pace, l)
		}}
	}
	return followers[part]
}

func stopAll(followers map[int]*duty.Switch) {
	for part, follower := range followers {
		follower.Stop()
		delete(followers, part)
	}
}

// needsAll reports whether this daemon follows the whole fleet.
func (h *hosts) needsAll() bool {
	large, known := h.large()
	return known && (!large || h.readsLog())
}

// remoteParts lists the partitions of the other zones.
func (h *hosts) remoteParts() []int {
	var parts []int
	for _, zone := range h.Zones {
		if part := h.part(zone); part != h.part(h.Local.Zone) && !slices.Contains(parts, part) {
			parts = append(parts, part)
		}
	}
	return parts
}

// drop deletes the list of a partition that is no longer followed.
func (h *hosts) drop(part int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lists[part] == nil {
		return
	}
	delete(h.lists, part)
	h.rebuildPeers()
}

// large reports whether the local zone has so many daemons that most of them leave the
// reading of the log to a few. known is false before the zone's list was read.
func (h *hosts) large() (large, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.loaded.IsZero() {
		return false, false
	}
	large = h.zonePeers+1 > smallZone
	return large, large || h.announcedBefore || time.Since(h.loaded) > zoneAnnounceWait
}

// isLarge is large, with a zone of unknown size counted as small.
func (h *hosts) isLarge() bool {
	large, _ := h.large()
	return large
}

// peers returns the other daemons as far as they are followed here.
func (h *hosts) peers() []places.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.allPeers
}

// streamPeers lists the daemons that hold records of streams, this one aside. In a large zone
// only some daemons know the whole fleet, so they are those of the zone.
func (h *hosts) streamPeers() []places.Peer {
	list := h.peers()
	if !h.isLarge() {
		return list
	}
	var zone []places.Peer
	for _, p := range list {
		if p.Zone == h.Local.Zone {
			zone = append(zone, p)
		}
	}
	return zone
}

// fleetSize returns the number of daemons as far as known, this one included.
func (h *hosts) fleetSize() int { return max(len(h.peers())+1, h.leaderFleetSize()) }

// knownFleetSize returns the number of daemons, this one included, and 0 while that is
// not known.
func (h *hosts) knownFleetSize() int {
	large, known := h.large()
	switch {
	case !known:
		return 0
	case h.allListsRead():
		return len(h.peers()) + 1
	case large:
		return h.leaderFleetSize()
	default:
		return 0
	}
}

// allListsRead reports whether the lists of all zones were read.
func (h *hosts) allListsRead() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, zone := range append([]string{h.Local.Zone}, h.Zones...) {
		l := h.lists[h.part(zone)]
		if l == nil || l.position < 0 {
			return false
		}
	}
	return true
}

// hasAmpleCores reports whether this host has at least ampleCoresShare of the cores of
// the largest host of its zone.
func (h *hosts) hasAmpleCores() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	most := 0.0
	for _, p := range h.allPeers {
		if p.Zone == h.Local.Zone {
			most = max(most, p.Cores)
		}
	}
	return h.Local.Cores >= ampleCoresShare*most
}

// addressOf returns a daemon's peer address.
func (h *hosts) addressOf(host string) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.lists {
		if p, known := l.known[host]; known {
			return p.Address, true
		}
	}
	return "", false
}

// Self implements suspects.Fleet.
func (h *hosts) Self() membership.Member {
	return membership.Member{Host: h.Host, Zone: h.Local.Zone, PeerAddress: h.Local.Address, Incarnation: h.incarnation}
}

// Members implements suspects.Fleet.
func (h *hosts) Members() []membership.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []membership.Member
	for _, l := range h.lists {
		for host, p := range l.known {
			list = append(list, membership.Member{Host: host, Zone: p.Zone, PeerAddress: p.Address})
		}
	}
	return list
}

// rebuildPeers lists the other daemons. It makes a new slice, since the last one may be
// in use. h.mu is held.
func (h *hosts) rebuildPeers() {
	h.allPeers, h.zonePeers = nil, 0
	for _, l := range h.lists {
		for host, p := range l.known {
			if host != h.Host && p.Address != h.Local.Address {
				h.allPeers = append(h.allPeers, p)
				if p.Zone == h.Local.Zone {
					h.zonePeers++
				}
			}
		}
	}
}
