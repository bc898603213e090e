package logging

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// ordinaryRing and urgentRing are the maximum numbers of lines queued for the
	// output. Urgent lines are warnings and errors, which include the end of every
	// failed request.
	ordinaryRing = 2048
	urgentRing   = 4096
	// ordinaryPerSecond and urgentPerSecond bound the number of lines of one daemon per
	// second. At the planned size a daemon completes some 15 requests per second.
	ordinaryPerSecond = 500
	urgentPerSecond   = 1000
	// reservedPerSecond and reservedRing are the parts of ordinaryPerSecond and ordinaryRing
	// that only the ends of requests may use: without its last line a request can't be
	// followed. A request has one ordinary line or more besides, so that less than half
	// of the bound would reserve nothing.
	reservedPerSecond = 300
	reservedRing      = 512
	// reportInterval is the shortest time between two reports of dropped lines.
	reportInterval = time.Second
	// writeBytes is the size of the buffer, in bytes, from which it is written.
	writeBytes = 32 << 10
)

// EventLinesDropped is the event of the line that reports dropped lines.
const EventLinesDropped = "log_lines_dropped"

// AsyncWriter writes log lines asynchronously: a pipe that nobody reads fills up quickly,
// and a request must not wait for it. Lines that do not fit are dropped and counted.
// Warnings and errors have a separate queue, and the ends of requests a reserved share of the
// other one, so that other lines are dropped first.
type AsyncWriter struct {
	out                    io.Writer
	urgent, ends, ordinary *class
	// unwritten counts the lines whose write failed.
	unwritten     atomic.Uint64
	wake          chan struct{}
	stop          chan struct{}
	stopOnce      sync.Once
	done          chan struct{}
	reportedDrops uint64
	reportedAt    time.Time
}

// ring is a bounded, rate-limited queue of lines.
type ring struct {
	lines chan []byte
	limit limiter
	wake  chan struct{}
}

// class is a kind of lines with a share of a ring.
type class struct {
	ring *ring
	// limit bounds the lines of the class per second, maxQueued how many lines of any class
	// may be queued ahead of one.
	limit     limiter
	maxQueued int
	dropped   atomic.Uint64
}

// limiter bounds the number of lines per second.
type limiter struct {
	perSecond int64
	second    atomic.Int64
	count     atomic.Int64
}

// endKey is the key of the field that EndOfRequest returns.
const endKey = "end_of_request"

// EndOfRequest marks a line as the last one of a request. The field itself is not written.
func EndOfRequest() zap.Field { return zap.Field{Key: endKey, Type: zapcore.SkipType} }

// classCore writes the ends of requests to one core and other lines to another one.
type classCore struct {
	zapcore.Core
	ends zapcore.Core
}

// With implements zapcore.Core.
func (c *classCore) With(fields []zapcore.Field) zapcore.Core {
	return &classCore{c.Core.With(fields), c.ends.With(fields)}
}

// Write implements zapcore.Core.
func (c *classCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	isEnd := func(f zapcore.Field) bool { return f.Type == zapcore.SkipType && f.Key == endKey }
	if slices.ContainsFunc(fields, isEnd) {
		return c.ends.Write(entry, fields)
	}
	return c.Core.Write(entry, fields)
}

// NewAsync returns a logger like New whose lines are written by a separate goroutine.
// Close writes the lines that are still queued.
func NewAsync(out io.Writer, level string) (*zap.Logger, zap.AtomicLevel, *AsyncWriter) {
	w := &AsyncWriter{out: out, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	urgent, ordinary := newRing(urgentRing, urgentPerSecond, w.wake), newRing(ordinaryRing, ordinaryPerSecond, w.wake)
	w.urgent = newClass(urgent, 0, 0)
	w.ends = newClass(ordinary, 0, 0)
	w.ordinary = newClass(ordinary, reservedPerSecond, reservedRing)
	atomicLevel := zap.NewAtomicLevelAt(zapcore.InfoLevel)
	encoder := zaplogfmt.NewEncoder(encoderConfig())
	below := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l < zapcore.WarnLevel && atomicLevel.Enabled(l) })
	from := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= zapcore.WarnLevel && atomicLevel.Enabled(l) })
	core := zapcore.NewTee(
		&plainCore{&classCore{zapcore.NewCore(encoder, w.ordinary, below), zapcore.NewCore(encoder, w.ends, below)}},
		&plainCore{zapcore.NewCore(encoder, w.urgent, from)},
	)
	logger := zap.New(core, zap.AddCaller())
	if err := SetLevel(atomicLevel, level); err != nil {
		logger.Warn("log_level_unknown", zap.String("value", level))
	}
	go w.run()
	return logger, atomicLevel, w
}

func newRing(size int, perSecond int64, wake chan struct{}) *ring {
	return &ring{lines: make(chan []byte, size), limit: limiter{perSecond: perSecond}, wake: wake}
}

// newClass returns a class that may use all of the ring but the reserved lines per second and
// places in the queue.
func newClass(r *ring, reservedPerSecond int64, reservedPlaces int) *class {
	return &class{ring: r, limit: limiter{perSecond: r.limit.perSecond - reservedPerSecond}, maxQueued: cap(r.lines) - reservedPlaces}
}

// Write implements zapcore.WriteSyncer. It never blocks.
func (c *class) Write(line []byte) (int, error) {
	second := time.Now().Unix()
	if !c.limit.allow(second) || !c.ring.limit.allow(second) {
		c.dropped.Add(1)
		return len(line), nil
	}
	if !c.enqueue(line) {
		c.dropped.Add(1)
	}
	select {
	case c.ring.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (c *class) enqueue(line []byte) bool {
	if len(c.ring.lines) >= c.maxQueued {
		return false
	}
	select {
	case c.ring.lines <- bytes.Clone(line):
		return true
	default:
		return false
	}
}

// Sync implements zapcore.WriteSyncer.
func (c *class) Sync() error { return nil }

// allow counts a line and reports whether it is within the limit of its second. A line of the
// second before may come late; any other earlier second means that the clock was set back.
func (l *limiter) allow(second int64) bool {
	last := l.second.Load()
	if (second > last || second < last-1) && l.second.CompareAndSwap(last, second) {
		l.count.Store(0)
	}
	return l.count.Add(1) <= l.perSecond
}

// Dropped returns the number of dropped lines.
func (w *AsyncWriter) Dropped() uint64 {
	return w.urgent.dropped.Load() + w.EndsDropped() + w.ordinary.dropped.Load() + w.unwritten.Load()
}

// EndsDropped returns how many of the dropped lines were ends of served requests.
func (w *AsyncWriter) EndsDropped() uint64 { return w.ends.dropped.Load() }

// Close writes the queued lines and ends the goroutine. It stops waiting after the given
// time if the output blocks.
func (w *AsyncWriter) Close(within time.Duration) {
	w.stopOnce.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(within):
	}
}

// run writes the queued lines in batches, urgent ones first.
func (w *AsyncWriter) run() {
	defer close(w.done)
	for {
		select {
		case <-w.wake:
			w.drain()
		case <-w.stop:
			w.reportedAt = time.Time{}
			w.drain()
			return
		}
	}
}

func (w *AsyncWriter) drain() {
	var buffer bytes.Buffer
	for {
		line := w.next()
		if line == nil {
			w.reportDropped(&buffer)
			w.flush(&buffer)
			return
		}
		buffer.Write(line)
		if buffer.Len() >= writeBytes {
			w.flush(&buffer)
		}
	}
}

// next returns a queued line, nil if there is none.
func (w *AsyncWriter) next() []byte {
	select {
	case line := <-w.urgent.ring.lines:
		return line
	default:
	}
	select {
	case line := <-w.ordinary.ring.lines:
		return line
	default:
		return nil
	}
}

// reportDropped appends a line to the buffer if more lines were dropped since the last
// report, which was at least reportInterval ago.
func (w *AsyncWriter) reportDropped(buffer *bytes.Buffer) {
	dropped := w.Dropped()
	if dropped == w.reportedDrops || time.Since(w.reportedAt) < reportInterval {
		return
	}
	w.reportedAt = time.Now()
	fmt.Fprintf(buffer, "ts=%s level=warn event=%s total=%d urgent=%d request_ends=%d ordinary=%d unwritten=%d\n",
		w.reportedAt.UTC().Format(timeLayout), EventLinesDropped, dropped, w.urgent.dropped.Load(), w.EndsDropped(),
		w.ordinary.dropped.Load(), w.unwritten.Load())
	w.reportedDrops = dropped
}

// flush writes the buffer. If the write fails, the lines are counted as dropped, and
// nothing else happens.
func (w *AsyncWriter) flush(buffer *bytes.Buffer) {
	if buffer.Len() == 0 {
		return
	}
	if _, err := w.out.Write(buffer.Bytes()); err != nil {
		w.unwritten.Add(uint64(bytes.Count(buffer.Bytes(), []byte("\n"))))
	}
	buffer.Reset()
}
