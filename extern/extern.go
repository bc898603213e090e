// Package extern holds the narrow interfaces to the services outside this
// system that the own interface needs (the append-only log, the host list, the
// weight store) and their HTTP clients.
package extern

import (
	"context"
	"time"
)

// Record is one record of a stream.
type Record struct {
	// Offset is the record's place; offsets rise by one and are never reused.
	Offset int64
	// AtMs is the log's wall clock at the append, in Unix milliseconds.
	AtMs int64
	// Data is what was appended.
	Data []byte
}

// Page is the answer to a read.
type Page struct {
	// First is the earliest offset still kept: records below it have expired.
	First int64
	// Next is the offset that the next append will get.
	Next int64
	// Records are consecutive; the first one's offset is at least max(from, First).
	Records []Record
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds one record to the stream and returns its offset. Its errors
	// tell what is known: errorx types LogUnavailable, LogLimited and
	// RecordTooLarge mean the record was not appended; OutcomeUnknown means it
	// may have been and must be looked for by reading back.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns records from the offset on, at most maxBytes of data but at
	// least one record if there is any, waiting up to wait for the first one.
	// Reading from an expired offset starts at the earliest kept one.
	Read(ctx context.Context, stream string, from int64, maxBytes int, wait time.Duration) (Page, error)
	// Bounds returns the stream's first and next offset.
	Bounds(ctx context.Context, stream string) (first, next int64, err error)
}

// HostState is the host list's word about a host.
type HostState string

const (
	// HostLive hosts serve.
	HostLive HostState = "live"
	// HostLeaving hosts must get no new work.
	HostLeaving HostState = "leaving"
)

// HostRole tells what runs on a host.
type HostRole string

const (
	// RoleDaemon hosts run this system.
	RoleDaemon HostRole = "daemon"
	// RoleTarget hosts run targets.
	RoleTarget HostRole = "target"
)

// Host is one line of the host list.
type Host struct {
	// Name is unique in the list.
	Name string `json:"name"`
	// Role tells what runs there.
	Role HostRole `json:"role"`
	// Address is IP:PORT: the peer listener of a daemon, the HTTP one of a target.
	Address string `json:"address"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// State is live or leaving; a lost host is missing from the list.
	State HostState `json:"state"`
}

// HostView is the host list at one version.
type HostView struct {
	// Version rises with each change.
	Version int64 `json:"version"`
	// Hosts are sorted by name.
	Hosts []Host `json:"hosts"`
}

// HostList is the platform's lagging list of hosts.
type HostList interface {
	// Hosts returns the list as the platform has it now. A failure to get an
	// answer is LogUnavailable, an answer against the protocol Invalid.
	Hosts(ctx context.Context) (HostView, error)
}

// Weights describes one version of a model in the weight store.
type Weights struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// Bytes is the size of the weights.
	Bytes int64 `json:"bytes"`
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Weights describes a version. One that the store does not hold is NotFound,
	// a rate limit LogLimited, no answer LogUnavailable.
	Weights(ctx context.Context, model, version string) (Weights, error)
}
