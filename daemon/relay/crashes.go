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
	// crashWindow is within how long the broken connections of one target are one
	// crash, and requests that ended there may have been part of it.
	crashWindow = 500 * time.Millisecond
	// aliveTime bounds the look whether a target takes connections.
	aliveTime = 100 * time.Millisecond
	// settlePause is the pause before a verdict that others' tellings may change
	// is asked for again; settleLimit bounds the asking.
	settlePause = 25 * time.Millisecond
	settleLimit = 12
)

// Suspects knows which requests crash targets; see suspects.Tracker.
type Suspects interface {
	Verdict(fingerprint string) retry.Verdict
	Crashed(c retry.Crash)
	Completed(fingerprint string)
}

// Crashes notes which requests run at which target, and tells the suspects when
// a target crashes.
//
// Failure guarded against: a request that crashes each target that runs it,
// sent again by its caller to one daemon after the other, takes the fleet's
// targets down one by one, with everything that runs there. A broken connection
// alone proves nothing, since answers get lost: only a target that takes no
// connection any more has crashed.
type Crashes struct {
	suspects Suspects
	pool     *h1.Pool

	mu      sync.Mutex
	targets map[string]*crashState
}

// crashState is what is known of one target.
type crashState struct {
	running map[string]int
	ended   map[string]time.Time
	told    time.Time
}

// NewCrashes returns a watch that tells suspects.
func NewCrashes(suspects Suspects, pool *h1.Pool) *Crashes {
	return &Crashes{suspects: suspects, pool: pool, targets: map[string]*crashState{}}
}

// Fingerprint names a request by its content: a caller that sends it again gives
// it another ID.
func Fingerprint(r *h1.Request) string {
	h := xxhash.New()
	_, _ = h.WriteString(r.Method + " " + r.Host + " " + r.URI + "\n")
	_, _ = h.Write(r.Body)
	return strconv.FormatUint(h.Sum64(), 16)
}

// Watch sends a request by run, which returns whether the target broke the
// connection, and tells of the target's crash, if it was one. It returns once the
// other daemons know of that.
func (c *Crashes) Watch(ctx context.Context, t roster.Target, fingerprint string, run func() (broken bool)) {
	c.begin(string(t.Start), fingerprint)
	defer c.end(string(t.Start), fingerprint)
	if run() && ctx.Err() == nil {
		c.broke(ctx, t)
	}
}

// begin notes a request that is about to be sent.
func (c *Crashes) begin(target, fingerprint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.targets[target]
	if s == nil {
		s = &crashState{running: map[string]int{}, ended: map[string]time.Time{}}
		c.targets[target] = s
	}
	s.running[fingerprint]++
}

// end takes back what begin noted.
func (c *Crashes) end(target, fingerprint string) {
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
	for f, at := range s.ended {
		if now.Sub(at) > crashWindow {
			delete(s.ended, f)
		}
	}
	s.ended[fingerprint] = now
	if len(s.running) == 0 && len(s.ended) == 1 && now.Sub(s.told) > crashWindow {
		delete(c.targets, target)
	}
}

// broke is told of a connection that a target broke.
func (c *Crashes) broke(ctx context.Context, t roster.Target) {
	running := c.suspected(string(t.Start))
	if len(running) == 0 || c.pool.Reachable(ctx, t.Address, aliveTime) {
		return
	}
	c.suspects.Crashed(retry.Crash{Target: string(t.Start), Running: running, Total: len(running)})
}

// suspected lists the requests that may have crashed the target, once for all
// connections that break together.
func (c *Crashes) suspected(target string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.targets[target]
	now := time.Now()
	if s == nil || now.Sub(s.told) < crashWindow {
		return nil
	}
	s.told = now
	var list []string
	for f := range s.running {
		list = append(list, f)
	}
	for f, at := range s.ended {
		if s.running[f] == 0 && now.Sub(at) < crashWindow {
			list = append(list, f)
		}
	}
	return list
}

// Verdict asks the suspects, and again while tellings are still coming in.
func (c *Crashes) Verdict(ctx context.Context, fingerprint string) retry.Verdict {
	verdict := c.suspects.Verdict(fingerprint)
	for range settleLimit {
		if verdict != retry.Pending || !duty.Pause(ctx, settlePause) {
			break
		}
		verdict = c.suspects.Verdict(fingerprint)
	}
	return verdict
}

// Completed clears a request that was answered.
func (c *Crashes) Completed(fingerprint string) { c.suspects.Completed(fingerprint) }
