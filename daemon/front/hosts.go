package front

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

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
	log           partlog.Log
	partition     partlog.Partition
	host, address string
	logger        *zap.Logger

	mu       sync.Mutex
	position int64
	known    map[string]string
	list     []string
}

func newHosts(log partlog.Log, topic, host, address string, logger *zap.Logger) *hosts {
	return &hosts{log: log, partition: partlog.Partition{Topic: topic}, host: host, address: address, logger: logger,
		position: -1, known: map[string]string{}}
}

// announce writes the own entry.
func (h *hosts) announce(ctx context.Context) {
	entry := []partlog.Record{{Key: h.host, Value: []byte(h.address)}}
	for ctx.Err() == nil {
		_, err := h.log.Append(ctx, h.partition, entry, partlog.Anywhere)
		if err == nil {
			h.logger.Info("announced", zap.String("address", h.address))
			return
		}
		h.logger.Info("not_announced", zap.Error(err))
		wait(ctx, announcePause)
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

// peers returns the other daemons' addresses.
func (h *hosts) peers() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.list
}

// count returns the number of daemons, this one included.
func (h *hosts) count() int { return len(h.peers()) + 1 }

// addressOf returns a daemon's peer address.
func (h *hosts) addressOf(host string) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	address, known := h.known[host]
	return address, known
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
	h.known = map[string]string{}
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
		if len(k.Value) == 0 {
			delete(h.known, k.Key)
			continue
		}
		h.known[k.Key] = string(k.Value)
	}
	// A new slice: the last one may be in use.
	h.list = make([]string, 0, len(h.known))
	for host, address := range h.known {
		if host != h.host && address != h.address {
			h.list = append(h.list, address)
		}
	}
}
