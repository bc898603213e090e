package settings

import (
	"os"
	"time"

	"tarragonhollow.example/tarragonhollow/inifile"
)

// Front is what a daemon is told that serves routes on a platform which brings
// the configuration, the list of targets and the log.
type Front struct {
	// Host is the daemon's name, Zone its availability zone.
	Host, Zone string
	// Zones are all availability zones of the fleet.
	Zones []string
	// CallersAddress is the IP:PORT that serves callers, ReadyAddress the one
	// where the platform asks for readiness.
	CallersAddress, ReadyAddress string
	// PeerAddress is the IP:PORT that serves other daemons, MetricsAddress the
	// one that serves counters.
	PeerAddress, MetricsAddress string
	// LogAddress is the IP:PORT of the platform's log, LogParts the number of
	// partitions of a topic there.
	LogAddress string
	LogParts   int
	// MemoryMB bounds the process.
	MemoryMB int
	// BodiesMB bounds what is held of requests and answers together, which are copied once
	// more while they are sent; 0 stands for a part of MemoryMB.
	BodiesMB int
	// Cores is the processor time that the process may use, in cores.
	Cores float64
	// StopGrace is how long after the signal to stop the process may live.
	StopGrace time.Duration
	// JobsReadable is how long after its acceptance a closed job can be read.
	JobsReadable time.Duration
	// BatchHeadroom is how many places of each target batch leaves free.
	BatchHeadroom int
	// QuotaWindow is the span in which an account's requests are bounded by its quota;
	// QuotaOvershoot is a part of that bound, and QuotaSlack a number of requests, by
	// which it may be passed in one.
	QuotaWindow    time.Duration
	QuotaOvershoot float64
	QuotaSlack     float64
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

// Bounds of the values of Front.
const (
	mostParts    = 4096
	leastMemory  = 32
	mostMemory   = 1 << 20
	leastCores   = 0.01
	mostCores    = 1024
	mostHeadroom = 1024
	leastWindow  = 100 * time.Millisecond
	mostWindow   = time.Hour
	mostSlack    = 1e6
)

// DefaultFront returns the values in force where a file says nothing.
func DefaultFront() Front {
	return Front{
		MemoryMB: 256, Cores: 1, StopGrace: 8 * time.Second, JobsReadable: 2 * time.Minute, LogLevel: "info",
		QuotaWindow: 5 * time.Second, QuotaOvershoot: 0.1,
	}
}

// bodiesPart is the part of the memory, 1/bodiesPart, that bodies take by default.
const bodiesPart = 5

// BodyBytes bounds what is held of requests and answers together, in bytes.
func (f *Front) BodyBytes() int64 {
	if f.BodiesMB > 0 {
		return int64(f.BodiesMB) * mib
	}
	return int64(f.MemoryMB) * mib / bodiesPart
}

func (f *Front) walk(v visitor) {
	v.section("host")
	v.name("name", &f.Host)
	v.name("zone", &f.Zone)
	v.names("zones", &f.Zones)
	v.address("callers_address", &f.CallersAddress)
	v.address("ready_address", &f.ReadyAddress)
	v.address("peer_address", &f.PeerAddress)
	v.address("metrics_address", &f.MetricsAddress)
	v.section("log_service")
	v.address("address", &f.LogAddress)
	v.number("partitions", &f.LogParts, 1, mostParts)
	v.section("limits")
	v.number("memory_mb", &f.MemoryMB, leastMemory, mostMemory)
	v.number("bodies_mb", &f.BodiesMB, 0, mostMemory)
	v.fraction("cores", &f.Cores, leastCores, mostCores)
	v.duration("stop_grace", &f.StopGrace, time.Second, time.Hour)
	v.section("jobs")
	v.duration("readable", &f.JobsReadable, time.Second, 30*24*time.Hour)
	v.number("headroom", &f.BatchHeadroom, 0, mostHeadroom)
	v.section("quotas")
	v.duration("window", &f.QuotaWindow, leastWindow, mostWindow)
	v.fraction("overshoot", &f.QuotaOvershoot, 0, 1)
	v.fraction("slack", &f.QuotaSlack, 0, mostSlack)
	v.section("log")
	v.word("level", &f.LogLevel, "debug", "info", "warn", "error")
}

// LoadFront reads the settings of a front daemon. Its errors are ErrUnreadable
// and ErrInvalid.
func LoadFront(path string) (*Front, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrUnreadable.Wrap(err, "cannot read the settings")
	}
	return ParseFront(path, string(text))
}

// ParseFront is LoadFront for a text; name stands for the file in messages.
func ParseFront(name, text string) (*Front, error) {
	f := DefaultFront()
	r := &reader{decoder: inifile.NewDecoder(inifile.Parse(name, text))}
	// Without a default: daemons that count differently would lose jobs.
	r.decoder.Section("log_service").Require("partitions", "the number that the platform tells")
	f.walk(r)
	if problems := r.decoder.Problems(); len(problems) > 0 {
		return nil, ErrInvalid.Wrap(problems, "the settings are refused").WithProperty(problemsProperty, problems)
	}
	return &f, nil
}
