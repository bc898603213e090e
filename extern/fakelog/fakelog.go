// Package fakelog is an in-process extern.Log for tests: an in-memory log whose faults
// are set by method calls and take effect at once. Each daemon of a test can have its
// own Client, so that a single daemon can be disconnected.
package fakelog

import (
	"context"
	"sync"
	"time"

	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/extern/memlog"
)

// DefaultMaxRecordBytes is the default of Options.MaxRecordBytes.
const DefaultMaxRecordBytes = 1 << 20

// Options configures a Log; its zero value is usable.
type Options struct {
	// NowMs returns the timestamp of appended records, in Unix milliseconds. The
	// default is the wall clock.
	NowMs func() int64
	// MaxRecordBytes is the maximum size of a record; 0 means DefaultMaxRecordBytes.
	MaxRecordBytes int
}

// Log is the in-memory log. It implements extern.Log itself, through a Client of its
// own. It is safe for concurrent use.
type Log struct {
	*Client
	store *memlog.Store
	opts  Options

	mu             sync.Mutex
	outage         bool
	answersToLose  int
	appendsToLose  int
	appendsToLimit int
	retryAfter     time.Duration
	hold           chan struct{}
	held           int
	waiting        int
	appends        int
}

// Client is one daemon's view of a Log.
type Client struct {
	log *Log
	cut bool // under log.mu
}

var (
	_ extern.Log = (*Log)(nil)
	_ extern.Log = (*Client)(nil)
)

// New returns an empty log without faults.
func New(opts Options) *Log {
	if opts.NowMs == nil {
		opts.NowMs = func() int64 { return time.Now().UnixMilli() }
	}
	if opts.MaxRecordBytes == 0 {
		opts.MaxRecordBytes = DefaultMaxRecordBytes
	}
	l := &Log{store: memlog.New(), opts: opts}
	l.Client = l.NewClient()
	return l
}

// NewClient returns another client of the same log, which can be disconnected
// independently of the others.
func (l *Log) NewClient() *Client { return &Client{log: l} }

// SetCut disconnects this client, so that its calls fail as LogUnavailable, or
// reconnects it.
func (c *Client) SetCut(cut bool) {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	c.cut = cut
}

// SetOutage starts or ends an outage, in which every call of every client fails as
// LogUnavailable.
func (l *Log) SetOutage(outage bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = outage
}

// LoseAnswers makes the next n appends take effect but fail as OutcomeUnknown.
func (l *Log) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answersToLose = n
}

// LoseAppends makes the next n appends fail as OutcomeUnknown without effect.
func (l *Log) LoseAppends(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendsToLose = n
}

// Limit refuses the next n appends as LogLimited with the given retry time.
func (l *Log) Limit(n int, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendsToLimit, l.retryAfter = n, retryAfter
}

// HoldAppends blocks appends from now on, before they take effect, until release is
// called. A caller whose context ends meanwhile gets OutcomeUnknown, and its append
// still takes effect at release, as on a slow log.
func (l *Log) HoldAppends() (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hold := make(chan struct{})
	l.hold = hold
	var once sync.Once
	return func() {
		once.Do(func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			if l.hold == hold {
				l.hold = nil
			}
			close(hold)
		})
	}
}

// Held returns how many appends wait for release, including those whose callers no
// longer wait.
func (l *Log) Held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// Waiting returns how many reads wait for an append.
func (l *Log) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting
}

func (l *Log) countWaiting(change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting += change
}

// Trim removes the stream's records below the offset first, as retention would.
func (l *Log) Trim(stream string, first int64) { l.store.Trim(stream, first) }

// Appends returns how many appends took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Records returns all stored records of the stream, regardless of faults.
func (l *Log) Records(stream string) []extern.Record {
	const all = int(^uint(0) >> 1)
	page, _ := l.store.Read(stream, 0, all)
	return page.Records
}

// Streams returns the names of the streams that were appended to, sorted.
func (l *Log) Streams() []string { return l.store.Names() }

// Append implements extern.Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	l := c.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := c.reachable(ctx); err != nil {
		return 0, err
	}
	if len(data) > l.opts.MaxRecordBytes {
		return 0, extern.RecordTooLarge.New("record of %d bytes exceeds %d", len(data), l.opts.MaxRecordBytes)
	}
	if l.appendsToLimit > 0 {
		l.appendsToLimit--
		return 0, extern.NewLimited(l.retryAfter, "append rate exceeded")
	}
	if l.appendsToLose > 0 {
		l.appendsToLose--
		return 0, extern.OutcomeUnknown.New("connection lost")
	}
	lost := l.answersToLose > 0
	if lost {
		l.answersToLose--
	}
	if l.hold != nil {
		return l.appendHeld(ctx, stream, append([]byte(nil), data...), lost)
	}
	return l.append(stream, data, lost)
}

// appendHeld waits until held appends are released or ctx ends. It unlocks mu while it
// waits and returns with mu locked.
func (l *Log) appendHeld(ctx context.Context, stream string, data []byte, lost bool) (int64, error) {
	hold := l.hold
	l.held++
	l.mu.Unlock()
	select {
	case <-hold:
		l.mu.Lock()
		l.held--
		return l.append(stream, data, lost)
	case <-ctx.Done():
	}
	go func() {
		<-hold
		l.mu.Lock()
		defer l.mu.Unlock()
		l.held--
		_, _ = l.append(stream, data, true)
	}()
	l.mu.Lock()
	return 0, extern.OutcomeUnknown.New("append abandoned: %v", ctx.Err())
}

// append appends the record. The caller holds mu.
func (l *Log) append(stream string, data []byte, lost bool) (int64, error) {
	offset := l.store.Append(stream, l.opts.NowMs(), data)
	l.appends++
	if lost {
		return 0, extern.OutcomeUnknown.New("answer lost")
	}
	return offset, nil
}

// Read implements extern.Log.
func (c *Client) Read(ctx context.Context, stream string, from int64, maxBytes int, wait time.Duration) (extern.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if err := c.check(ctx); err != nil {
			return extern.Page{}, err
		}
		page, changed := c.log.store.Read(stream, from, maxBytes)
		if len(page.Records) > 0 || wait <= 0 {
			return page, nil
		}
		if !c.log.await(ctx, timer.C, changed) {
			return page, nil
		}
	}
}

// await blocks a waiting read. It returns true if the read has to check again, because
// its stream changed or its context ended, and false when deadline fires.
func (l *Log) await(ctx context.Context, deadline <-chan time.Time, changed <-chan struct{}) bool {
	l.countWaiting(1)
	defer l.countWaiting(-1)
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return true
	case <-deadline:
		return false
	}
}

// Bounds implements extern.Log.
func (c *Client) Bounds(ctx context.Context, stream string) (first, next int64, err error) {
	if err := c.check(ctx); err != nil {
		return 0, 0, err
	}
	first, next = c.log.store.Bounds(stream)
	return first, next, nil
}

func (c *Client) check(ctx context.Context) error {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	return c.reachable(ctx)
}

// reachable returns an error during an outage, while the client is disconnected or if
// the context has ended. The caller holds mu.
func (c *Client) reachable(ctx context.Context) error {
	switch {
	case ctx.Err() != nil:
		return extern.LogUnavailable.New("not sent: %v", ctx.Err())
	case c.log.outage:
		return extern.LogUnavailable.New("the log is unavailable")
	case c.cut:
		return extern.LogUnavailable.New("this client is disconnected from the log")
	}
	return nil
}
