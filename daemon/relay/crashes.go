package relay

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonhollow.example/tarragonhollow/core/retry"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/target/h1"
)

const (
	// crashWindow is the time within which broken connections of one target count as one
	// crash, and within which a request that ended there may have caused it.
	crashWindow = 500 * time.Millisecond
	// reachableTimeout bounds the check whether a target accepts connections.
	reachableTimeout = 100 * time.Millisecond
	// pendingPause is the interval at which a pending verdict, which reports from other
	// daemons may change, is queried again; maxPendingPolls bounds the queries.
	pendingPause    = 25 * time.Millisecond
	maxPendingPolls = 12
)

// Suspects tracks which requests crash targets; see suspects.Tracker.
type Suspects interface {
	Verdict(fingerprint string) retry.Verdict
	Crashed(c retry.Crash)
	Completed(fingerprint string)
}

// CrashDetector records which requests run at which target, and reports to Suspects when
// a target crashes.
//
// Failure guarded against: a caller resends a request that crashes every target that runs
// it to one daemon after another, and so takes down the fleet's targets one by one, with
// everything that runs on them. A broken connection alone proves nothing, since answers
// get lost: a target counts as crashed only if it no longer accepts connections.
type CrashDetector struct {
	suspects Suspects
	pool     *h1.Pool

	mu      sync.Mutex
	targets map[string]*targetState
}

// targetState holds the requests that run at one target, and when others recently ended
// there, by fingerprint.
type targetState struct {
	running    map[string]int
	endedAt    map[string]time.Time
	reportedAt time.Time
}

// NewCrashDetector returns a detector that reports crashes to suspects. It probes targets
// through the pool.
func NewCrashDetector(suspects Suspects, pool *h1.Pool) *CrashDetector {
	return &CrashDetector{suspects: suspects, pool: pool, targets: map[string]*targetState{}}
}

// Fingerprint identifies a request by its content: a caller that resends a request may give
// it another ID.
func Fingerprint(r *h1.Request) string { return formatFingerprint(contentHash(r)) }

func formatFingerprint(hash uint64) string { return strconv.FormatUint(hash, 16) }

// contentHash identifies a request's content across attempts.
func contentHash(r *h1.Request) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Method + " " + r.Host + " " + r.URI + "\n")
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// Watch calls run, which sends a request to the target and reports whether the target broke
// the connection. If the target has crashed, Watch reports that to Suspects, and returns
// after the other daemons have been informed.
func (c *CrashDetector) Watch(ctx context.Context, t roster.Target, fingerprint string, run func() (broken bool)) {
	c.begin(string(t.Start), fingerprint)
	defer c.end(string(t.Start), fingerprint)
	if run() && ctx.Err() == nil {
		c.connectionBroken(ctx, t)
	}
}

// begin records a request that is about to be sent.
func (c *CrashDetector) begin(target, fingerprint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.targets[target]
	if s == nil {
		s = &targetState{running: map[string]int{}, endedAt: map[string]time.Time{}}
		c.targets[target] = s
	}
	s.running[fingerprint]++
}

// end records that a request has ended, and drops expired entries.
func (c *CrashDetector) end(target, fingerprint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.targets[target]
	if s == nil {
		return
	}
	now := time.Now()
	if s.running[fingerprint]--; s.running[fingerprint] <= 0 {
		delete(s.running, fingerprint)
	}
	for f, at := range s.endedAt {
		if now.Sub(at) > crashWindow {
			delete(s.endedAt, f)
		}
	}
	s.endedAt[fingerprint] = now
	if len(s.running) == 0 && len(s.endedAt) == 1 && now.Sub(s.reportedAt) > crashWindow {
		delete(c.targets, target)
	}
}

// connectionBroken handles a connection that the target broke: it reports a crash if the
// target no longer accepts connections.
func (c *CrashDetector) connectionBroken(ctx context.Context, t roster.Target) {
	running := c.suspectedRequests(string(t.Start))
	if len(running) == 0 || c.pool.Reachable(ctx, t.Address, reachableTimeout) {
		return
	}
	c.suspects.Crashed(retry.Crash{Target: string(t.Start), Running: running, Total: len(running)})
}

// suspectedRequests returns the fingerprints of the requests that may have crashed the
// target. Of the connections that break within crashWindow, only the first gets the list.
func (c *CrashDetector) suspectedRequests(target string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.targets[target]
	now := time.Now()
	if s == nil || now.Sub(s.reportedAt) < crashWindow {
		return nil
	}
	s.reportedAt = now
	var list []string
	for f := range s.running {
		list = append(list, f)
	}
	for f, at := range s.endedAt {
		if s.running[f] == 0 && now.Sub(at) < crashWindow {
			list = append(list, f)
		}
	}
	return list
}

// Verdict returns the verdict of Suspects on a request, and waits for a pending one while
// reports from other daemons are still arriving.
func (c *CrashDetector) Verdict(ctx context.Context, fingerprint string) retry.Verdict {
	verdict := c.suspects.Verdict(fingerprint)
	for range maxPendingPolls {
		if verdict != retry.Pending || !duty.Pause(ctx, pendingPause) {
			break
		}
		verdict = c.suspects.Verdict(fingerprint)
	}
	return verdict
}

// Completed clears a request that a target answered.
func (c *CrashDetector) Completed(fingerprint string) { c.suspects.Completed(fingerprint) }
