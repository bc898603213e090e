package logging

import (
	"bytes"
	"io"
	"strconv"
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
	// writeBytes is the size of the buffer, in bytes, from which it is written.
	writeBytes = 32 << 10
)

// EventLinesDropped is the event of the line that reports dropped lines.
const EventLinesDropped = "log_lines_dropped"

// AsyncWriter writes log lines asynchronously: a pipe that nobody reads fills up quickly,
// and a request must not wait for it. Lines that do not fit are dropped and counted.
// Warnings and errors have a separate queue, so that ordinary lines are dropped first.
type AsyncWriter struct {
	out           io.Writer
	ordinary      *ring
	urgent        *ring
	wake          chan struct{}
	stop          chan struct{}
	stopOnce      sync.Once
	done          chan struct{}
	reportedDrops uint64
}

// ring is a bounded, rate-limited queue of lines.
type ring struct {
	lines     chan []byte
	perSecond int64
	second    atomic.Int64
	count     atomic.Int64
	dropped   atomic.Uint64
	wake      chan struct{}
}

// NewAsync returns a logger like New whose lines are written by a separate goroutine.
// Close writes the lines that are still queued.
func NewAsync(out io.Writer, level string) (*zap.Logger, zap.AtomicLevel, *AsyncWriter) {
	w := &AsyncWriter{out: out, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	w.ordinary = newRing(ordinaryRing, ordinaryPerSecond, w.wake)
	w.urgent = newRing(urgentRing, urgentPerSecond, w.wake)
	atomicLevel := zap.NewAtomicLevelAt(zapcore.InfoLevel)
	encoder := zaplogfmt.NewEncoder(encoderConfig())
	below := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l < zapcore.WarnLevel && atomicLevel.Enabled(l) })
	from := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= zapcore.WarnLevel && atomicLevel.Enabled(l) })
	core := zapcore.NewTee(
		&plainCore{zapcore.NewCore(encoder, w.ordinary, below)},
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
	return &ring{lines: make(chan []byte, size), perSecond: perSecond, wake: wake}
}

// Write implements zapcore.WriteSyncer. It never blocks.
func (r *ring) Write(line []byte) (int, error) {
	if !r.allowed(time.Now().Unix()) {
		r.dropped.Add(1)
		return len(line), nil
	}
	select {
	case r.lines <- bytes.Clone(line):
	default:
		r.dropped.Add(1)
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// allowed counts a line and reports whether it is within the limit of its second.
func (r *ring) allowed(second int64) bool {
	if r.second.Swap(second) != second {
		r.count.Store(0)
	}
	return r.count.Add(1) <= r.perSecond
}

// Sync implements zapcore.WriteSyncer.
func (r *ring) Sync() error { return nil }

// Dropped returns the number of dropped lines.
func (w *AsyncWriter) Dropped() uint64 { return w.ordinary.dropped.Load() + w.urgent.dropped.Load() }

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
	case line := <-w.urgent.lines:
		return line
	default:
	}
	select {
	case line := <-w.ordinary.lines:
		return line
	default:
		return nil
	}
}

// reportDropped appends a line to the buffer if more lines were dropped since the last
// report.
func (w *AsyncWriter) reportDropped(buffer *bytes.Buffer) {
	dropped := w.Dropped()
	if dropped == w.reportedDrops {
		return
	}
	buffer.WriteString("ts=" + time.Now().UTC().Format(timeLayout) + " level=warn event=" + EventLinesDropped + " total=" +
		strconv.FormatUint(dropped, 10) + " urgent=" + strconv.FormatUint(w.urgent.dropped.Load(), 10) + "\n")
	w.reportedDrops = dropped
}

// flush writes the buffer. If the write fails, the lines are counted as dropped, and
// nothing else happens.
func (w *AsyncWriter) flush(buffer *bytes.Buffer) {
	if buffer.Len() == 0 {
		return
	}
	if _, err := w.out.Write(buffer.Bytes()); err != nil {
		w.ordinary.dropped.Add(uint64(bytes.Count(buffer.Bytes(), []byte("\n"))))
	}
	buffer.Reset()
}
