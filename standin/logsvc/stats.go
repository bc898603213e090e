package logsvc

import "sync"

// Stats is the body of GET /control/stats, counted since the start.
type Stats struct {
	// Appends took effect, with or without an answer.
	Appends int64 `json:"appends"`
	// Bytes is the data of those appends.
	Bytes int64 `json:"bytes"`
	// Rejected appends had no effect: rate, size, outage or denied client.
	Rejected int64 `json:"rejected"`
	// Limited is the part of Rejected that exceeded the rate.
	Limited int64 `json:"limited"`
	// LostAnswers is the part of Appends whose answers were withheld.
	LostAnswers int64 `json:"lost_answers"`
	// Reads counts answered reads.
	Reads int64 `json:"reads"`
	// ReadBytes is the data of those reads.
	ReadBytes int64 `json:"read_bytes"`
	// WaitingReads is how many long polls wait now.
	WaitingReads int `json:"waiting_reads"`
	// AppendsLastSecond counts appends within the second before the question.
	AppendsLastSecond int `json:"appends_last_second"`
	// PeakAppendsPerSecond is the highest count of appends within any second.
	PeakAppendsPerSecond int `json:"peak_appends_per_second"`
}

const windowMs = 1000

// counters guards the stats and the append times of the last second.
type counters struct {
	mu     sync.Mutex
	stats  Stats
	window []int64
}

// appended counts an append of size bytes at the time.
func (c *counters) appended(nowMs int64, size int, answerLost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Appends++
	c.stats.Bytes += int64(size)
	if answerLost {
		c.stats.LostAnswers++
	}
	c.slide(nowMs)
	c.window = append(c.window, nowMs)
	c.stats.PeakAppendsPerSecond = max(c.stats.PeakAppendsPerSecond, len(c.window))
}

func (c *counters) rejected(limited bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Rejected++
	if limited {
		c.stats.Limited++
	}
}

func (c *counters) read(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Reads++
	c.stats.ReadBytes += int64(size)
}

// waiting counts a long poll that begins (1) or ends (-1) to wait.
func (c *counters) waiting(change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.WaitingReads += change
}

func (c *counters) snapshot(nowMs int64) Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slide(nowMs)
	stats := c.stats
	stats.AppendsLastSecond = len(c.window)
	return stats
}

// slide drops the times that are a second old.
func (c *counters) slide(nowMs int64) {
	expired := 0
	for expired < len(c.window) && c.window[expired] <= nowMs-windowMs {
		expired++
	}
	c.window = c.window[expired:]
}
