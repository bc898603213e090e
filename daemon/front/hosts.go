package front

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
)

// announcePause is the pause before an announcement that failed is repeated.
const announcePause = 300 * time.Millisecond

// hostsPace: a new daemon's counts may be missing for as long as a read takes.
var hostsPace = partlog.Pace{Wait: 8 * time.Second, Gather: 100 * time.Millisecond}

// hosts tells the daemons of each other through a keyed topic: each one writes
// its name and peer address once, at its start. An entry of a daemon that died
// stays; calls to it fail by themselves.
type hosts struct {
	log       partlog.Log
	partition partlog.Partition
	host      string
	self      places.Peer
	logger    *zap.Logger
	// incarnation differs at every start.
	incarnation uint64

	mu       sync.Mutex
	position int64
	known    map[string]places.Peer
	list     []places.Peer
}

func newHosts(log partlog.Log, topic, host string, self places.Peer, logger *zap.Logger) *hosts {
	return &hosts{log: log, partition: partlog.Partition{Topic: topic}, host: host, self: self, logger: logger,
		incarnation: uint64(time.Now().UnixNano()), position: -1, known: map[string]places.Peer{}}
}

// encodeEntry is the value of a daemon's record: its peer address, its zone and the
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

// announce writes the own entry.
func (h *hosts) announce(ctx context.Context) {
	entry := []partlog.Record{{Key: h.host, Value: encodeEntry(h.self)}}
	for ctx.Err() == nil {
		_, err := h.log.Append(ctx, h.partition, entry, partlog.Anywhere)
		if err == nil {
			h.logger.Info("announced", zap.String("address", h.self.Address))
			return
		}
		h.logger.Info("not_announced", zap.Error(err))
		duty.Pause(ctx, announcePause)
	}
}

// leave removes the own entry.
func (h *hosts) leave(ctx context.Context) {
	if _, err := h.log.Append(ctx, h.partition, []partlog.Record{{Key: h.host}}, partlog.Anywhere); err != nil {
		h.logger.Info("entry_not_removed", zap.Error(err))
	}
}

func (h *hosts) follow(ctx context.Context) {
	partlog.Follow(ctx, h.log, h.partition, hostsPace, h)
}

// peers returns the other daemons.
func (h *hosts) peers() []places.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.list
}

// count returns the number of daemons, this one included.
func (h *hosts) count() int { return len(h.peers()) + 1 }

// knownCount returns the number of daemons, this one included, and 0 before the others were
// read.
func (h *hosts) knownCount() int {
	if h.Position() < 0 {
		return 0
	}
	return h.count()
}

// addressOf returns a daemon's peer address.
func (h *hosts) addressOf(host string) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, known := h.known[host]
	return p.Address, known
}

// Self implements suspects.Fleet.
func (h *hosts) Self() membership.Member {
	return membership.Member{Host: h.host, Zone: h.self.Zone, PeerAddress: h.self.Address, Incarnation: h.incarnation}
}

// Members implements suspects.Fleet.
func (h *hosts) Members() []membership.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]membership.Member, 0, len(h.known))
	for host, p := range h.known {
		list = append(list, membership.Member{Host: host, Zone: p.Zone, PeerAddress: p.Address})
	}
	return list
}

// Position implements partlog.Reader.
func (h *hosts) Position() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.position
}

// Load implements partlog.Reader.
func (h *hosts) Load(records []partlog.Kept, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known = map[string]places.Peer{}
	h.apply(records)
	h.position = end
}

// Take implements partlog.Reader.
func (h *hosts) Take(page partlog.Page) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.apply(page.Records)
	h.position = page.Next
}

// Heard implements partlog.Reader; the jobs tell of outages of the log.
func (h *hosts) Heard(error) {}

func (h *hosts) apply(records []partlog.Kept) {
	for _, k := range records {
		delete(h.known, k.Key)
		if len(k.Value) == 0 && !k.Unreadable {
			continue
		}
		p, ok := decodeEntry(k.Value)
		if k.Unreadable || !ok {
			h.logger.Warn("peer_unreadable", zap.String("peer", k.Key), zap.Int64("offset", k.Offset))
			continue
		}
		h.known[k.Key] = p
	}
	// A new slice: the last one may be in use.
	h.list = make([]places.Peer, 0, len(h.known))
	for host, p := range h.known {
		if host != h.host && p.Address != h.self.Address {
			h.list = append(h.list, p)
		}
	}
}
