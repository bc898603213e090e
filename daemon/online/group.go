package online

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/retry"
	"tarragonhollow.example/tarragonhollow/core/routing"
	"tarragonhollow.example/tarragonhollow/daemon/signal"
)

// group is the online path's state of one target group. Its lock is held only while a
// decision is made, never across a call.
type group struct {
	name    string
	kind    config.Kind
	metrics *metrics.Set
	logger  *zap.Logger
	clock   func() time.Time

	mu      sync.Mutex
	table   *routing.Table
	budget  *retry.Budget
	running map[string]map[*run]bool
	gauges  map[string]bool
	// lastProgress holds when each target last began or completed an answer.
	lastProgress map[string]time.Time
}

func newGroup(o *Online, groupConfig *config.TargetGroup) *group {
	return &group{
		name: groupConfig.Name, kind: groupConfig.Kind,
		metrics: o.opt.Metrics, logger: o.opt.Logger, clock: o.opt.Clock,
		table:        routing.NewTable(groupConfig.Name, nil, groupConfig.Slots),
		budget:       retry.NewBudget(0, o.opt.Clock()),
		running:      map[string]map[*run]bool{},
		gauges:       map[string]bool{},
		lastProgress: map[string]time.Time{},
	}
}

func (g *group) update(groupConfig *config.TargetGroup, retryShare float64) {
	targets := make([]routing.Target, 0, len(groupConfig.Targets))
	for _, t := range groupConfig.Targets {
		targets = append(targets, routing.Target{Address: t.Address, Zone: t.Zone})
		g.gauge(t.Address)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.SetTargets(targets, groupConfig.Slots)
	g.budget.SetShare(retryShare)
}

// gauge registers the target's in-flight gauge once. It reads the group's table, so a
// target that was removed shows 0.
func (g *group) gauge(address string) {
	if g.gauges[address] {
		return
	}
	g.gauges[address] = true
	name := `tarragonhollow_online_target_in_flight{group="` + g.name + `",target="` + address + `"}`
	g.metrics.GetOrCreateGauge(name, func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.table.LocalRequests(address))
	})
}

func (g *group) markLeaving(leaving func(address string) bool) {
	g.mu.Lock()
	loads := g.table.Loads(g.clock())
	g.mu.Unlock()
	marks := make(map[string]bool, len(loads))
	for _, l := range loads {
		marks[l.Address] = leaving(l.Address)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for address, mark := range marks {
		g.table.SetLeaving(address, mark)
	}
}

func (g *group) applyReport(now time.Time, r signal.TargetReport) {
	report := routing.LoadReport{
		OnlineTotal: r.OnlineTotal, BatchRunning: r.BatchRunning,
		Reported:  r.Report.Running + r.Report.Waiting,
		ReportAge: time.Duration(r.ReportAgeMs) * time.Millisecond,
		Slots:     r.Report.Slots,
	}
	if r.Report.AtMs == 0 {
		report.ReportAge = -1
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.ApplyReport(now, r.Address, report)
}

func (g *group) loads(now time.Time) []TargetLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []TargetLoad
	for _, l := range g.table.Loads(now) {
		out = append(out, TargetLoad{
			Address: l.Address, Zone: l.Zone, InFlight: l.LocalRequests, Estimate: l.Estimate, State: l.State,
		})
	}
	return out
}

// admit refuses a request that could not start before its deadline.
func (g *group) admit(now, deadline time.Time) *outcome.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	refusal := g.table.Admit(now, deadline, "")
	if refusal == nil {
		g.budget.CountFirst()
	}
	return refusal
}

// pickResult is the result of looking for a target.
type pickResult int

const (
	picked pickResult = iota
	// mustWait: no target is usable now.
	mustWait
	// noTarget: every target of the group is leaving, or it has none.
	noTarget
)

// begin picks a target for the run's next attempt and counts the attempt there under the
// same lock, so that two requests never choose by the same stale count. If force is set,
// begin picks an ejected target rather than return mustWait.
func (g *group) begin(now time.Time, r *run, force bool) (routing.Choice, pickResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !force && !g.table.Ready(now, r.pick) {
		return routing.Choice{}, mustWait
	}
	choice, ok := g.table.Pick(now, r.pick)
	if !ok {
		return choice, noTarget
	}
	r.isolated = r.pick.Alone || r.pick.OnlyAlone
	g.table.Start(now, choice.Address, r.isolated)
	if g.running[choice.Address] == nil {
		g.running[choice.Address] = map[*run]bool{}
	}
	g.running[choice.Address][r] = true
	return choice, picked
}

// end records the end of an attempt. If the target crashed, it returns the requests that
// were running there.
func (g *group) end(now time.Time, address string, r *run, result routing.Outcome, crashed bool) *retry.Crash {
	g.mu.Lock()
	defer g.mu.Unlock()
	var crash *retry.Crash
	if crashed {
		crash = g.crash(now, address)
	}
	delete(g.running[address], r)
	state, changed := g.table.End(now, address, r.isolated, result)
	if changed {
		g.logState(now, address, state, r)
	}
	return crash
}

// crash lists this daemon's requests on the target and estimates the fleet-wide number.
func (g *group) crash(now time.Time, address string) *retry.Crash {
	c := &retry.Crash{Target: address, AtMs: now.UnixMilli(), Total: g.table.Concurrent(now, address)}
	for r := range g.running[address] {
		c.Running = append(c.Running, r.call.Fingerprint)
	}
	return c
}

func (g *group) logState(now time.Time, address string, state routing.State, r *run) {
	fields := []zap.Field{
		zap.String("group", g.name), zap.String("target", address),
		zap.String("state", state.String()), zap.String("request_id", r.call.RequestID),
	}
	if state != routing.Ejected {
		g.logger.Info("target_returned", fields...)
		return
	}
	hold := g.table.EjectedUntil(address).Sub(now)
	g.logger.Warn("target_taken_out", append(fields,
		zap.Int64("hold_ms", hold.Milliseconds()), zap.String("cause", r.lastDetail),
		zap.Int("own_in_flight", g.table.LocalRequests(address)))...)
}

// decide decides whether a failed attempt is retried.
func (g *group) decide(s retry.Situation) retry.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return retry.Decide(s, g.budget)
}

// progress records that a target is producing output.
func (g *group) progress(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastProgress[address] = g.clock()
}

func (g *group) progressedSince(address string, since time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastProgress[address].After(since)
}

// canRetry reports whether the budget would allow a retry now.
func (g *group) canRetry() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Available(g.clock())
}

// finished records a complete answer: its duration, and the prefixes that the target now
// has cached.
func (g *group) finished(address string, total time.Duration, prefixes []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.ObserveServiceTime(total)
	g.lastProgress[address] = g.clock()
	for _, p := range prefixes {
		g.table.Hint(address, p, true)
	}
}
