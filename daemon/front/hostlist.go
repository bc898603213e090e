package front

import (
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/extern/partlog"
)

// hostList is the list in one partition.
type hostList struct {
	hosts     *hosts
	partition partlog.Partition
	// position is the next offset, negative before the first load; guarded by hosts.mu,
	// like known.
	position int64
	known    map[string]places.Peer
}

// Position implements partlog.Reader.
func (l *hostList) Position() int64 {
	l.hosts.mu.Lock()
	defer l.hosts.mu.Unlock()
	return l.position
}

// Load implements partlog.Reader.
func (l *hostList) Load(records []partlog.StoredRecord, end int64) {
	h := l.hosts
	h.mu.Lock()
	defer h.mu.Unlock()
	l.known = map[string]places.Peer{}
	l.apply(records)
	l.position = end
	if h.loaded.IsZero() && l == h.lists[h.part(h.Local.Zone)] {
		h.loaded = time.Now()
		_, h.announcedBefore = l.known[h.Host]
	}
}

// Apply implements partlog.Reader.
func (l *hostList) Apply(page partlog.Page) {
	l.hosts.mu.Lock()
	defer l.hosts.mu.Unlock()
	l.apply(page.Records)
	l.position = page.Next
}

// CallEnded implements partlog.Reader; package jobs logs outages of the log.
func (l *hostList) CallEnded(time.Time, error) {}

// apply applies records to the list. hosts.mu is held.
func (l *hostList) apply(records []partlog.StoredRecord) {
	for _, k := range records {
		delete(l.known, k.Key)
		if len(k.Value) == 0 && !k.Unreadable {
			continue
		}
		p, ok := decodeEntry(k.Value)
		if k.Unreadable || !ok {
			l.hosts.Logger.Warn("peer_unreadable", zap.String("peer", k.Key), zap.Int64("offset", k.Offset))
			continue
		}
		l.known[k.Key] = p
	}
	l.hosts.rebuildPeers()
}
