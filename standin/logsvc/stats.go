package logsvc

import "sync"

// Stats is the body of GET /control/stats. Counts are since the start.
type Stats struct {
	// Appends counts the appends that took effect, whether answered or not.
	Appends int64 `json:"appends"`
	// Bytes is the size of their data.
	Bytes int64 `json:"bytes"`
	// Rejected counts the appends without effect, due to rate, size, an outage or a
	// denied client.
	Rejected int64 `json:"rejected"`
	// Limited counts those of Rejected that exceeded the rate.
	Limited int64 `json:"limited"`
	// LostAnswers counts those of Appends whose answers were withheld.
	LostAnswers int64 `json:"lost_answers"`
	// Reads counts answered reads.
	Reads int64 `json:"reads"`
	// ReadBytes is the size of their data.
	ReadBytes int64 `json:"read_bytes"`
	// WaitingReads is the number of long polls currently waiting.
	WaitingReads int `json:"waiting_reads"`
	// AppendsLastSecond counts appends within the second before the request.
	AppendsLastSecond int `json:"appends_last_second"`
	// PeakAppendsPerSecond is the highest count of appends within any second.
	PeakAppendsPerSecond int `json:"peak_appends_per_second"`
}

// windowMs is the length of the sliding window over which append rates are counted.
const windowMs = 1000

// counters holds the stats and the append times of the last second.
type counters struct {
	mu     sync.Mutex
	stats  Stats
	window []int64
}

// countAppend counts an append of size bytes made at nowMs.
func (c *counters) countAppend(nowMs int64, size int, answerLost bool) {
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

func (c *counters) countRejected(limited bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Rejected++
	if limited {
		c.stats.Limited++
	}
}

func (c *counters) countRead(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Reads++
	c.stats.ReadBytes += int64(size)
}

// addWaiting counts a long poll that starts (1) or stops (-1) waiting.
func (c *counters) addWaiting(change int) {
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

// slide drops append times that are a second old or older from the window.
func (c *counters) slide(nowMs int64) {
	expired := 0
	for expired < len(c.window) && c.window[expired] <= nowMs-windowMs {
		expired++
	}
	c.window = c.window[expired:]
}
