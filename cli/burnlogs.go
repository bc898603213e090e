package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/spf13/cobra"

	"tarragonhollow.example/tarragonhollow/core/burn"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/outcome"
)

const (
	// defaultAvailability, defaultLatency and defaultDue are the default objectives:
	// the shares of requests that must be served and must start in time, and of items
	// that must be done when due. The platform's configuration has none of them; flags
	// override them.
	defaultAvailability = 0.999
	defaultLatency      = 0.99
	defaultDue          = 0.99
	// unrouted is the route name of requests that were rejected before a route was
	// found.
	unrouted = "(none)"
)

// burnLogs computes the burn report from the log lines of front daemons, which store
// nothing on their hosts and don't exchange their counts.
type burnLogs struct {
	use bool
	slo config.SLO

	recorder *burn.Recorder
	profiles map[string]*config.Profile
	// latestMs is the time of the latest line, Unix milliseconds.
	latestMs int64
}

func (b *burnLogs) flags(c *cobra.Command) {
	c.Flags().BoolVar(&b.use, "logs", false, "read logs of front daemons instead of querying a daemon")
	c.Flags().Float64Var(&b.slo.Availability, "availability", defaultAvailability, "with --logs: share of requests that must be served")
	c.Flags().Float64Var(&b.slo.LatencyShare, "in-time", defaultLatency, "with --logs: share of answers that must begin within the route's objective")
	c.Flags().Float64Var(&b.slo.DueShare, "due", defaultDue, "with --logs: share of items that must be done when due")
}

// reportBurnFromLogs reads the logs and prints the report computed from them.
func (a *app) reportBurnFromLogs(b *burnLogs, files []string, path string) error {
	b.recorder = burn.NewRecorder("logs")
	b.profiles = map[string]*config.Profile{}
	if err := readInputs(files, a.In, b.read); err != nil {
		return exitWith(ExitUsage, err)
	}
	if b.latestMs == 0 {
		return exitWith(ExitFailed, fmt.Errorf("no line tells how a request or an item ended"))
	}
	set := burn.NewSet()
	set.Merge(b.recorder.All())
	report := fleetBurn{Report: set.Report(b.latestMs, b.profiles), NotAnswering: []string{}, LogComplete: true}
	text, err := json.Marshal(report)
	if err != nil {
		return failed(err)
	}
	return a.showBurn(report, append(text, '\n'), path)
}

func (b *burnLogs) read(name string, from io.Reader) error {
	lines := logfmt.NewDecoder(from)
	for lines.ScanRecord() {
		fields := map[string]string{}
		for lines.ScanKeyval() {
			fields[string(lines.Key())] = string(lines.Value())
		}
		b.countLine(fields)
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("report burn: %s: %w", name, err)
	}
	return nil
}

// countLine records a line that logs the end of a request or an item. Other lines are
// ignored.
func (b *burnLogs) countLine(fields map[string]string) {
	at, err := time.Parse(time.RFC3339Nano, fields["ts"])
	if err != nil {
		return
	}
	event := burn.Event{AtMs: at.UnixMilli(), Profile: fields["route"], Group: fields["group"]}
	urgency := config.Online
	switch fields["event"] {
	case "request":
		event.Outcome, event.Reason = requestOutcome(fields)
		event.FirstTokenMs = max(1, parseNumber(fields["first_ms"]))
	case "request_turned_away":
		event.Profile = unrouted
		event.Outcome, event.Reason = burn.Classify(&outcome.Refusal{Code: outcome.Code(fields["outcome"])})
	case "item_ended":
		urgency = config.Batch
		event.Outcome, event.Reason = itemOutcome(fields)
		event.DueMissed = fields["due_missed"] == "true"
	default:
		return
	}
	b.latestMs = max(b.latestMs, event.AtMs)
	b.recorder.Record(event, b.profile(event.Profile, urgency, fields))
}

// profile returns the route's profile with its objectives, creating it on first use.
func (b *burnLogs) profile(route string, urgency config.Urgency, fields map[string]string) *config.Profile {
	p := b.profiles[route]
	if p == nil {
		p = &config.Profile{Name: route, Urgency: urgency, SLO: config.SLO{Availability: b.slo.Availability}}
		if urgency == config.Batch {
			p.SLO.DueShare = b.slo.DueShare
		}
		b.profiles[route] = p
	}
	if ms := parseNumber(fields["objective_ms"]); ms > 0 {
		p.SLO.FirstToken = time.Duration(ms) * time.Millisecond
		p.SLO.LatencyShare = b.slo.LatencyShare
	}
	return p
}

func requestOutcome(fields map[string]string) (burn.Outcome, string) {
	switch code := fields["outcome"]; code {
	case "served":
		return burn.ClassifyStatus(int(parseNumber(fields["status"])))
	case "caller_left":
		return burn.NotCounted, ""
	case "broken_off":
		return burn.Failed, code
	default:
		return burn.Classify(&outcome.Refusal{Code: outcome.Code(code)})
	}
}

// itemOutcome returns the outcome of an item and the reason of a failure. An item that
// the target can't do is its caller's fault and isn't counted.
func itemOutcome(fields map[string]string) (burn.Outcome, string) {
	switch {
	case fields["succeeded"] == "true":
		return burn.OK, ""
	case fields["cause"] == "the target can't do it":
		return burn.NotCounted, ""
	default:
		return burn.Failed, fields["cause"]
	}
}

// parseNumber parses a field. It returns 0 if the field is missing or not a number.
func parseNumber(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
