package relay

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonhollow.example/tarragonhollow/core/crashparts"
	"tarragonhollow.example/tarragonhollow/core/retry"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/target/h1"
)

const (
	// crashWindow is the time within which broken connections of one target count as one
	// crash, and within which a request that ended there may have caused it.
	crashWindow = 500 * time.Millisecond
	// livedOnAfter is how long after an answer began its target has lived on: a part of a prompt
	// crashes targets as they begin the answer.
	livedOnAfter = 250 * time.Millisecond
	// reachableTimeout bounds the check whether a target accepts connections.
	reachableTimeout = 100 * time.Millisecond
	// pendingPause is the interval at which a pending verdict, which reports from other
	// daemons may change, is queried again; maxPendingPolls bounds the queries.
	pendingPause    = 25 * time.Millisecond
	maxPendingPolls = 12
)

// Suspects tracks which requests, and which parts of their prompts, crash targets; see
// suspects.Tracker.
type Suspects interface {
	Verdict(fingerprint string) retry.Verdict
	Crashed(c retry.Crash)
	Completed(fingerprint string)
	DecideParts(parts []string) crashparts.Decision
	PartsCrashed(c crashparts.Crash)
	PartsBegan(parts []string, at time.Time)
	OnRefused(parts []string, refused func()) (stop func())
	Limit(part string) (release func(), ok bool)
	Probe(part string) bool
	CancelProbe(part string)
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
// there.
type targetState struct {
	running map[*Running]bool
	endedAt map[*Running]time.Time
	// check is the last check whether the target has crashed, nil if there was none.
	check *crashCheck
}

// crashCheck is a check whether a target has crashed, because of a broken connection.
type crashCheck struct {
	at time.Time
	// done is closed when crashed is known and reported.
	done    chan struct{}
	crashed bool
}

// validFor returns how long after its beginning a check stands for further broken connections.
func (k *crashCheck) validFor() time.Duration {
	select {
	case <-k.done:
		if !k.crashed {
			return reachableTimeout
		}
	default:
	}
	return crashWindow
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

// Running is one run of a request at a target.
type Running struct {
	// ID is the request's ID, Fingerprint identifies its content.
	ID, Fingerprint string
	// Batch marks an item of a batch job. Items never crash the targets that run them: a crash is no
	// evidence against an item or what it shares with requests, and its answer clears nothing.
	Batch bool
	// Parts are the IDs of the parts of its prompt that other requests may share.
	Parts []string

	mu      sync.Mutex
	beganAt time.Time
	// cleared reports that the beginning was recorded.
	cleared bool
}

// begin records that the answer has begun, and returns true the first time.
func (r *Running) begin(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.beganAt.IsZero() {
		return false
	}
	r.beganAt = now
	return true
}

// Began reports whether the answer has begun.
func (r *Running) Began() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.beganAt.IsZero()
}

// livedOn reports whether the answer began so long ago that it is not what crashed the target.
func (r *Running) livedOn(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.beganAt.IsZero() && now.Sub(r.beganAt) >= livedOnAfter
}

// takeBegin returns when the answer began, once: if the target has lived on since, or has ended the
// answer.
func (r *Running) takeBegin(now time.Time, complete bool) (at time.Time, ok bool) {
	lived := r.livedOn(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cleared || r.beganAt.IsZero() || !lived && !complete {
		return time.Time{}, false
	}
	r.cleared = true
	return r.beganAt, true
}

// Answering records that events of the run's answer arrive, and that all of it did if complete is
// set. first is true the first time.
func (c *CrashDetector) Answering(r *Running, complete bool) (first bool) {
	now := time.Now()
	first = r.begin(now)
	if at, ok := r.takeBegin(now, complete); ok && len(r.Parts) > 0 {
		c.suspects.PartsBegan(r.Parts, at)
	}
	return first
}

// Watch calls run, which sends a request to the target and reports whether the target broke
// the connection. If the target has crashed, Watch reports that to Suspects, and returns true
// after the other daemons have been informed.
func (c *CrashDetector) Watch(ctx context.Context, t roster.Target, r *Running, run func() (broken bool)) (crashed bool) {
	c.begin(string(t.Start), r)
	defer c.end(string(t.Start), r)
	return run() && ctx.Err() == nil && c.hasCrashed(ctx, t)
}

// begin records a request that is about to be sent.
func (c *CrashDetector) begin(target string, r *Running) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.targets[target]
	if s == nil {
		s = &targetState{running: map[*Running]bool{}, endedAt: map[*Running]time.Time{}}
		c.targets[target] = s
	}
	s.running[r] = true
}

// end records that a request has ended, and drops expired entries.
func (c *CrashDetector) end(target string, r *Running) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.targets[target]
	if s == nil {
		return
	}
	now := time.Now()
	delete(s.running, r)
	maps.DeleteFunc(s.endedAt, func(_ *Running, at time.Time) bool { return now.Sub(at) > crashWindow })
	s.endedAt[r] = now
	if len(s.running) == 0 && len(s.endedAt) == 1 && (s.check == nil || now.Sub(s.check.at) > crashWindow) {
		delete(c.targets, target)
	}
}

// hasCrashed handles a connection that the target broke: it reports a crash if the target no
// longer accepts connections. Of the connections that break within crashWindow, the first has the
// target checked, and the others wait for the result.
func (c *CrashDetector) hasCrashed(ctx context.Context, t roster.Target) bool {
	check, list := c.beginCheck(string(t.Start))
	if check == nil {
		return false
	}
	if list == nil {
		select {
		case <-check.done:
			return check.crashed
		case <-ctx.Done():
			return false
		}
	}
	defer close(check.done)
	if c.pool.Reachable(ctx, t.Address, reachableTimeout) {
		return false
	}
	check.crashed = true
	c.report(string(t.Start), list)
	return true
}

// beginCheck returns the check of a target, and the requests that may have crashed it if the
// caller has to make it.
func (c *CrashDetector) beginCheck(target string) (*crashCheck, []*Running) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, now := c.targets[target], time.Now()
	if s == nil {
		return nil, nil
	}
	if s.check != nil && now.Sub(s.check.at) < s.check.validFor() {
		return s.check, nil
	}
	s.check = &crashCheck{at: now, done: make(chan struct{})}
	list := slices.Collect(maps.Keys(s.running))
	for r, at := range s.endedAt {
		if now.Sub(at) < crashWindow {
			list = append(list, r)
		}
	}
	return s.check, list
}

// report reports a crash of the target.
func (c *CrashDetector) report(target string, list []*Running) {
	now := time.Now()
	fingerprints, parts := map[string]bool{}, crashparts.Crash{Target: target}
	for _, r := range list {
		if r.Batch {
			continue
		}
		fingerprints[r.Fingerprint] = true
		if len(r.Parts) > 0 && !r.livedOn(now) {
			parts.Parts = append(parts.Parts, r.Parts...)
			parts.Requests = append(parts.Requests, r.ID)
		}
	}
	if len(fingerprints) == 0 {
		return
	}
	var reports sync.WaitGroup
	if len(parts.Parts) > 0 {
		reports.Go(func() { c.suspects.PartsCrashed(parts) })
	}
	running := slices.Sorted(maps.Keys(fingerprints))
	c.suspects.Crashed(retry.Crash{Target: target, Running: running, Total: len(running)})
	reports.Wait()
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

// DecideParts returns the verdict on a request because of the parts of its prompt, and waits for a
// pending one like Verdict.
func (c *CrashDetector) DecideParts(ctx context.Context, parts []string) crashparts.Decision {
	d := c.suspects.DecideParts(parts)
	for range maxPendingPolls {
		if d.Verdict != crashparts.Pending || !duty.Pause(ctx, pendingPause) {
			break
		}
		d = c.suspects.DecideParts(parts)
	}
	return d
}

// DecideNow is DecideParts without a wait.
func (c *CrashDetector) DecideNow(parts []string) crashparts.Decision {
	return c.suspects.DecideParts(parts)
}

// OnRefused calls the function when a request with these parts is refused from now on.
func (c *CrashDetector) OnRefused(parts []string, refused func()) (stop func()) {
	return c.suspects.OnRefused(parts, refused)
}

// Limit reports whether a request may run that must be the only one with the part here.
func (c *CrashDetector) Limit(part string) (release func(), ok bool) { return c.suspects.Limit(part) }

// Probe reports whether a request may run although the part is refused.
func (c *CrashDetector) Probe(part string) bool { return c.suspects.Probe(part) }

// CancelProbe records that the request of a probe reached no target.
func (c *CrashDetector) CancelProbe(part string) { c.suspects.CancelProbe(part) }

// Completed clears a request that a target answered.
func (c *CrashDetector) Completed(fingerprint string) { c.suspects.Completed(fingerprint) }
