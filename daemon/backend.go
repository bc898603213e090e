package daemon

import (
	"context"
	"io"

	"tarragonhollow.example/tarragonhollow/api"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/logging"
	"tarragonhollow.example/tarragonhollow/target"
)

// notReadyRetryMs is the retry-after time for callers of a daemon that has no
// configuration yet.
const notReadyRetryMs = 500

// backend implements api.Backend with the daemon's components.
type backend struct {
	*Daemon
}

var _ api.Backend = (*backend)(nil)

// Config implements api.Backend.
func (b *backend) Config() *config.Config { return b.config.Current() }

// Ready implements api.Backend. A daemon that starts while the log is unreachable and no
// peer responds stays unready. Its configuration may be older than the one that was
// reported to operators as applied.
func (b *backend) Ready() error {
	if !b.config.Ready() {
		return outcome.Refuse(outcome.NotReady, "no configuration as new as the other daemons' yet").After(notReadyRetryMs)
	}
	return nil
}

// Chat implements api.Backend.
func (b *backend) Chat(ctx context.Context, call api.ChatCall, sink func(target.Token) error) (api.ChatResult, error) {
	if err := b.Ready(); err != nil {
		return api.ChatResult{}, err
	}
	return b.burn.Chat(ctx, call, sink, b.online.Chat)
}

// Service implements api.Backend.
func (b *backend) Service(ctx context.Context, call api.ServiceCall) (target.ServiceResponse, error) {
	if err := b.Ready(); err != nil {
		return target.ServiceResponse{}, err
	}
	return b.burn.Service(ctx, call, b.online.Service)
}

// Request implements api.Backend.
func (b *backend) Request(ctx context.Context, key string) (ledger.KeptRequest, error) {
	return b.shards.Request(ctx, key)
}

// Job implements api.Backend.
func (b *backend) Job(ctx context.Context, job string) (ledger.JobStatus, error) {
	return b.shards.Job(ctx, job)
}

// Item implements api.Backend.
func (b *backend) Item(ctx context.Context, job, customID string) (ledger.ItemResult, error) {
	return b.shards.Item(ctx, job, customID)
}

// CancelJob implements api.Backend.
func (b *backend) CancelJob(ctx context.Context, job string) (ledger.JobStatus, error) {
	return b.shards.CancelJob(ctx, job)
}

// Results implements api.Backend.
func (b *backend) Results(ctx context.Context, req ledger.ResultsRequest) (ledger.ResultsReply, error) {
	return b.shards.Results(ctx, req)
}

// ConfigInfo implements api.Backend.
func (b *backend) ConfigInfo(context.Context) (api.ConfigInfo, error) {
	current := b.config.Current()
	return api.ConfigInfo{Version: current.Version, Text: current.Text, Applied: b.config.Applied()}, nil
}

// PublishConfig implements api.Backend.
func (b *backend) PublishConfig(ctx context.Context, text string, base uint64, author string) (api.ConfigInfo, error) {
	version, err := b.config.Publish(ctx, text, base, author)
	if err != nil {
		return api.ConfigInfo{}, err
	}
	// The change is accepted whatever the result of the wait. Hosts that have not
	// reported the version yet are missing from the list in the response.
	_ = b.config.WaitApplied(ctx, version)
	return api.ConfigInfo{Version: version, Text: text, Applied: b.config.Applied()}, nil
}

// ConfigHistory implements api.Backend.
func (b *backend) ConfigHistory(context.Context) ([]api.ConfigChange, error) {
	return b.config.History(), nil
}

// Burn implements api.Backend.
func (b *backend) Burn(ctx context.Context) (any, error) { return b.burn.Report(ctx) }

// Drain implements api.Backend.
func (b *backend) Drain(context.Context) error {
	b.logger.Info("drain_requested")
	b.requestDrain()
	return nil
}

// WriteMetrics implements api.Backend.
func (b *backend) WriteMetrics(w io.Writer) { b.metrics.WritePrometheus(w) }

// SetLogLevel implements api.Backend.
func (b *backend) SetLogLevel(level string) error { return logging.SetLevel(b.level, level) }
