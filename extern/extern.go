// Package extern defines the interfaces to the platform's services that a daemon
// depends on (the append-only log, the host list and the weight store) and their
// HTTP clients.
package extern

import (
	"context"
	"time"
)

// Record is one record of a stream.
type Record struct {
	// Offset is the record's position in its stream. Offsets increase by one and are
	// never reused.
	Offset int64
	// AtMs is the log's wall clock time of the append, in Unix milliseconds.
	AtMs int64
	// Data is the payload as it was appended.
	Data []byte
}

// Page is the result of a read.
type Page struct {
	// First is the earliest offset still stored: records below it have expired.
	First int64
	// Next is the offset that the next append will get.
	Next int64
	// Records are consecutive; the first one's offset is at least max(from, First).
	Records []Record
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds one record to the stream and returns its offset. The errorx types
	// LogUnavailable, LogLimited and RecordTooLarge mean that the record was not
	// appended. OutcomeUnknown means that it may have been: the caller has to read
	// the stream back to find out.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns records starting at offset from: at most maxBytes of data, but at
	// least one record if there is any. It waits up to wait for the first one.
	// A read from an expired offset starts at the earliest stored one.
	Read(ctx context.Context, stream string, from int64, maxBytes int, wait time.Duration) (Page, error)
	// Bounds returns the stream's first and next offset.
	Bounds(ctx context.Context, stream string) (first, next int64, err error)
}

// HostState is the state of a host according to the host list.
type HostState string

const (
	// HostLive marks a host that is in service.
	HostLive HostState = "live"
	// HostLeaving marks a host that must not be given new work.
	HostLeaving HostState = "leaving"
)

// HostRole is the kind of process that runs on a host.
type HostRole string

const (
	// RoleDaemon marks hosts that run a daemon of this system.
	RoleDaemon HostRole = "daemon"
	// RoleTarget marks hosts that run targets.
	RoleTarget HostRole = "target"
)

// Host is one entry of the host list.
type Host struct {
	// Name is unique in the list.
	Name string `json:"name"`
	// Role is the kind of process on the host.
	Role HostRole `json:"role"`
	// Address is IP:PORT: the peer listener of a daemon, the HTTP listener of a target.
	Address string `json:"address"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// State is live or leaving; a host that was lost is not in the list.
	State HostState `json:"state"`
}

// HostView is the host list at one version.
type HostView struct {
	// Version increases with each change.
	Version int64 `json:"version"`
	// Hosts are sorted by name.
	Hosts []Host `json:"hosts"`
}

// HostList is the platform's list of hosts, which may lag behind the real state.
type HostList interface {
	// Hosts returns the platform's current list. Its errors are LogUnavailable if no
	// response was received and Invalid if the response violates the protocol.
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
	// Weights describes a version. Its errors are NotFound if the store does not have
	// the version, LogLimited on a rate limit and LogUnavailable if no response was
	// received.
	Weights(ctx context.Context, model, version string) (Weights, error)
}
