// Package settings holds a daemon's local settings: the addresses that it listens on,
// the platform's addresses, and the intervals and limits of its work. They come from an
// INI file that is read once at startup; what operators change while the fleet runs is
// the configuration (core/config).
//
// Durations are written like 250ms or 1h30m, sizes like 512, 64KiB or 1GiB.
package settings

import "time"

// Settings are all settings of a daemon.
type Settings struct {
	// Host is the daemon's name, zone and listeners.
	Host Host
	// Platform holds the URLs of the platform's services.
	Platform Platform
	// Peers sets the intervals of failure detection between daemons.
	Peers Peers
	// Ledger sets the number of shards and the rates of their appends to the platform's
	// log.
	Ledger Ledger
	// Admin protects the operators' paths.
	Admin Admin
	// Log configures logging.
	Log Log
	// Drain bounds a graceful shutdown.
	Drain Drain
	// HTTP limits the resources that callers' connections may use.
	HTTP HTTP
}

// Host is the [host] section.
type Host struct {
	// Name is unique among the daemons and equal to the name in the host list.
	Name string
	// Zone is the host's availability zone.
	Zone string
	// HTTPAddress is the IP:PORT that serves callers and operators; port 0 means any
	// free port.
	HTTPAddress string
	// PeerAddress is the IP:PORT that serves other daemons; port 0 means any free port.
	// Calls to other daemons are made from its IP.
	PeerAddress string
	// PeerAdvertise is the IP:PORT announced to other daemons instead of PeerAddress,
	// for a host behind address translation or a proxy; "" means PeerAddress.
	PeerAdvertise string
}

// Platform is the [platform] section.
type Platform struct {
	// LogURL is the base URL of the append-only log.
	LogURL string
	// HostsURL is the base URL of the host list.
	HostsURL string
	// WeightsURL is the base URL of the weight store; "" means that there is none, and
	// no model is ever ordered.
	WeightsURL string
	// Retention is how long the log stores a record. Live state is rewritten forward on
	// the log well before that.
	Retention time.Duration
}

// Peers is the [peers] section.
type Peers struct {
	// Seeds are the peer addresses to contact first; the host list adds others.
	Seeds []string
	// ProbeEvery is the interval between probes; each one goes to one peer.
	ProbeEvery time.Duration
	// SuspectAfter is how long a suspected peer has to refute the suspicion before it
	// is considered dead.
	SuspectAfter time.Duration
}

// Ledger is the [ledger] section. Shards must have the same value on every daemon and
// must not change during the lifetime of the log, since keys and jobs hash to them.
type Ledger struct {
	// Shards is the number of shards that keys and jobs hash to.
	Shards int
	// AppendPace is the interval between two appends of batch changes to one shard's
	// stream; urgent ones do not wait for it.
	AppendPace time.Duration
	// AppendBudget is the maximum number of appends per second of the whole fleet; each
	// daemon gets an equal share.
	AppendBudget int
	// Lease is how long a batch dispatcher holds an item without renewing the lease;
	// afterwards the item may be started elsewhere.
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
	// Grace is how long a stopping daemon still accepts requests after it became
	// unready, so that load balancers notice first.
	Grace time.Duration
	// Timeout bounds the wait for running requests and handoffs; those still running
	// then are aborted.
	Timeout time.Duration
}

// HTTP is the [http] section.
type HTTP struct {
	// MaxHeaderBytes bounds the request line and headers.
	MaxHeaderBytes int64
	// ReadHeaderTimeout bounds the time in which the caller must send the headers.
	ReadHeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request stays open.
	IdleTimeout time.Duration
	// WriteStall is the time after which a caller that stops reading is disconnected.
	WriteStall time.Duration
	// BodyStall is the time after which a body that makes no progress is aborted.
	BodyStall time.Duration
	// MaxConnections is the maximum number of open connections.
	MaxConnections int
	// MaxInFlight is the maximum number of concurrent requests.
	MaxInFlight int
	// MaxUploads is the maximum number of concurrent job uploads.
	MaxUploads int
	// MaxHeadMemory bounds the total memory for the heads of requests, in bytes, as far as each
	// uses more than an ordinary one.
	MaxHeadMemory int64
	// MaxBodyMemory bounds the total memory for the bodies of online requests, in bytes.
	MaxBodyMemory int64
}

// Default returns the default settings. The names, addresses and URLs have no defaults.
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
			IdleTimeout:       75 * time.Second, // above the 60 s of common load balancers
			WriteStall:        10 * time.Second,
			BodyStall:         10 * time.Second,
			MaxConnections:    8192,
			MaxInFlight:       4096,
			MaxUploads:        16,
			MaxHeadMemory:     64 << 20,
			MaxBodyMemory:     256 << 20,
		},
	}
}
