package daemon

import (
	"context"
	"time"

	"tarragonhollow.example/tarragonhollow/api"
	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/daemon/online"
	"tarragonhollow.example/tarragonhollow/daemon/shards"
	"tarragonhollow.example/tarragonhollow/daemon/steward"
	"tarragonhollow.example/tarragonhollow/daemon/trail"
)

// Status is the response to GET /admin/status: this daemon's view of the fleet.
type Status struct {
	Host          string         `json:"host"`
	Zone          string         `json:"zone"`
	SecondsUp     float64        `json:"seconds_up"`
	Ready         bool           `json:"ready"`
	ConfigVersion uint64         `json:"config_version"`
	LogOK         bool           `json:"log_reachable"`
	Hosts         []HostStatus   `json:"hosts"`
	Shards        shards.Status  `json:"shards"`
	Online        online.Status  `json:"online"`
	Batch         steward.Status `json:"batch"`
	// Refusals counts the requests that this daemon refused in the last ten minutes.
	Refusals []api.RefusalCount `json:"refusals"`
	// Events are this daemon's latest decisions, oldest first.
	Events []trail.Event `json:"events"`
}

// HostStatus is the state of one daemon in this daemon's view.
type HostStatus struct {
	Host          string `json:"host"`
	Zone          string `json:"zone"`
	State         string `json:"state"`
	Ready         bool   `json:"ready"`
	LogOK         bool   `json:"log_reachable"`
	ConfigVersion uint64 `json:"config_version"`
	Shards        []int  `json:"shards"`
	HTTPAddress   string `json:"http_address"`
	PeerAddress   string `json:"peer_address"`
}

// Status implements api.Backend.
func (b *backend) Status(context.Context) (any, error) {
	d := b.Daemon
	return Status{
		Host:          d.settings.Host.Name,
		Zone:          d.settings.Host.Zone,
		SecondsUp:     time.Since(d.started).Seconds(),
		Ready:         b.Ready() == nil,
		ConfigVersion: d.config.Current().Version,
		LogOK:         d.shards.LogOK(),
		Hosts:         hostStatuses(d.members.Members()),
		Shards:        d.shards.Status(),
		Online:        d.online.Status(),
		Batch:         d.steward.Status(),
		Refusals:      d.api.Refusals(),
		Events:        d.history.Events(),
	}, nil
}

func hostStatuses(members []membership.Member) []HostStatus {
	out := make([]HostStatus, len(members))
	for i, m := range members {
		out[i] = HostStatus{
			Host:          m.Host,
			Zone:          m.Zone,
			State:         stateName(m.State),
			Ready:         m.Ready,
			LogOK:         m.LogOK,
			ConfigVersion: m.ConfigVersion,
			Shards:        shardNumbers(m.Shards),
			HTTPAddress:   m.HTTPAddress,
			PeerAddress:   m.PeerAddress,
		}
	}
	return out
}

func shardNumbers(holds []membership.ShardHold) []int {
	out := make([]int, len(holds))
	for i, h := range holds {
		out[i] = h.Shard
	}
	return out
}

func stateName(s membership.State) string {
	switch s {
	case membership.Live:
		return "live"
	case membership.Suspect:
		return "suspect"
	case membership.Leaving:
		return "leaving"
	}
	return "dead"
}
