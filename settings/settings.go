// Package settings holds a daemon's own settings: where it listens, where the
// platform is, and the paces and bounds of its duties. They come from an INI
// file that is read once at the start; what operators change while the fleet
// runs is the configuration (core/config).
//
// Durations are written like 250ms or 1h30m, sizes like 512, 64KiB or 1GiB.
package settings

import "time"

// Settings is everything a daemon is told at its start.
type Settings struct {
	// Host is the daemon's place and its listeners.
	Host Host
	// Platform tells where the platform's services are.
	Platform Platform
	// Peers paces the daemons' view of each other.
	Peers Peers
	// Ledger paces the shards on the platform's log.
	Ledger Ledger
	// Admin guards the operators' paths.
	Admin Admin
	// Log sets up the log lines.
	Log Log
	// Drain bounds a graceful shutdown.
	Drain Drain
	// HTTP bounds what callers' connections may cost.
	HTTP HTTP
}

// Host is the [host] section.
type Host struct {
	// Name is unique among the daemons and the same as in the host list.
	Name string
	// Zone is the host's availability zone.
	Zone string
	// HTTPAddress is the IP:PORT that serves callers and operators; port 0
	// takes a free one.
	HTTPAddress string
	// PeerAddress is the IP:PORT that serves other daemons; port 0 takes a
	// free one. Calls to other daemons are made from its IP.
	PeerAddress string
	// PeerAdvertise is the IP:PORT told to other daemons in place of
	// PeerAddress, for a host behind address translation or a proxy; "" is
	// PeerAddress itself.
	PeerAdvertise string
}

// Platform is the [platform] section.
type Platform struct {
	// LogURL is the base URL of the append-only log.
	LogURL string
	// HostsURL is the base URL of the host list.
	HostsURL string
	// WeightsURL is the base URL of the weight store; "" is none: then no
	// model is ever ordered.
	WeightsURL string
	// Retention is how long the log keeps a record; live state is written
	// forward well before.
	Retention time.Duration
}

// Peers is the [peers] section.
type Peers struct {
	// Seeds are peer addresses to ask first; the host list adds others.
	Seeds []string
	// ProbeEvery is the pace of probes; each one goes to one peer.
	ProbeEvery time.Duration
	// SuspectAfter is how long a suspected peer has to refute before it counts
	// as dead.
	SuspectAfter time.Duration
}

// Ledger is the [ledger] section. Shards must be the same on every daemon and
// stay the same for the life of the log: keys and jobs hash to them.
type Ledger struct {
	// Shards is the number of shards that keys and jobs hash to.
	Shards int
	// AppendPace is the time between two appends of batch changes to one
	// shard's stream; urgent ones do not wait for it.
	AppendPace time.Duration
	// AppendBudget is the number of appends a second of the whole fleet; each
	// daemon takes an equal part.
	AppendBudget int
	// Lease is how long a steward holds a batch item without renewing it; after
	// it the item may be started elsewhere.
	Lease time.Duration
}

// Admin is the [admin] section.
type Admin struct {
	// Token is the bearer token of /admin; "" disables /admin.
	Token string
}

// Log is the [log] section.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
}

// Drain is the [drain] section.
type Drain struct {
	// Grace is how long a stopping daemon still accepts requests after it went
	// unready, so that balancers notice first.
	Grace time.Duration
	// Timeout bounds the wait for running requests and handovers; what then
	// still runs is cut.
	Timeout time.Duration
}

// HTTP is the [http] section.
type HTTP struct {
	// MaxHeaderBytes bounds the request line and headers.
	MaxHeaderBytes int64
	// ReadHeaderTimeout bounds the time to send them.
	ReadHeaderTimeout time.Duration
	// IdleTimeout closes a connection without a request.
	IdleTimeout time.Duration
	// WriteStall cuts a caller that stops reading.
	WriteStall time.Duration
	// BodyStall cuts a body that makes no progress.
	BodyStall time.Duration
	// MaxConnections bounds open connections.
	MaxConnections int
	// MaxInFlight bounds requests that run at once.
	MaxInFlight int
	// MaxUploads bounds job uploads at once.
	MaxUploads int
	// MaxBodyMemory bounds the online bodies held in memory together.
	MaxBodyMemory int64
}

// Default returns the settings in force where a file says nothing. The names,
// addresses and URLs have no default.
func Default() Settings {
	return Settings{
		Platform: Platform{Retention: 7 * 24 * time.Hour},
		Peers:    Peers{ProbeEvery: 500 * time.Millisecond, SuspectAfter: 2 * time.Second},
		Ledger: Ledger{
			Shards:       32,
			AppendPace:   100 * time.Millisecond,
			AppendBudget: 400,
			Lease:        4 * time.Second,
		},
		Log:   Log{Level: "info"},
		Drain: Drain{Grace: 3 * time.Second, Timeout: 10 * time.Minute},
		HTTP: HTTP{
			MaxHeaderBytes:    32 << 10,
			ReadHeaderTimeout: 5 * time.Second,
			IdleTimeout:       75 * time.Second, // above the 60 s of common balancers
			WriteStall:        10 * time.Second,
			BodyStall:         10 * time.Second,
			MaxConnections:    8192,
			MaxInFlight:       4096,
			MaxUploads:        16,
			MaxBodyMemory:     256 << 20,
		},
	}
}
