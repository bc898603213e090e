package settings

import (
	"os"
	"time"

	"tarragonhollow.example/tarragonhollow/inifile"
)

// Front are the settings of a daemon that serves routes on a platform which provides the
// configuration, the list of targets and the log.
type Front struct {
	// Host is the daemon's name, Zone its availability zone.
	Host, Zone string
	// Zones are all availability zones of the fleet.
	Zones []string
	// CallersAddress is the IP:PORT that serves callers, ReadyAddress the one that
	// serves the platform's readiness checks.
	CallersAddress, ReadyAddress string
	// PeerAddress is the IP:PORT that serves other daemons, MetricsAddress the one that
	// serves metrics.
	PeerAddress, MetricsAddress string
	// LogAddress is the IP:PORT of the platform's log, LogPartitions the number of
	// partitions of a topic there.
	LogAddress    string
	LogPartitions int
	// FirstStart reports that the whole system starts for the first time: no daemon has run before.
	FirstStart bool
	// MemoryMB bounds the memory of the process, in MiB.
	MemoryMB int
	// BodiesMB bounds the memory for the bodies of requests and responses together, in
	// MiB. They are copied once more while they are sent. 0 means a fraction of MemoryMB.
	BodiesMB int
	// HeadsMB bounds the memory for the heads of requests together, in MiB, where they are
	// larger than ordinary ones. 0 means a fraction of MemoryMB.
	HeadsMB int
	// Cores is the CPU time that the process may use, in cores.
	Cores float64
	// StopGrace is how long the process may keep running after the signal to stop.
	StopGrace time.Duration
	// TargetDrain is how long targets serve on after they have announced their leave,
	// TargetHeartbeat the interval at which they write their entries.
	TargetDrain, TargetHeartbeat time.Duration
	// JobsReadable is how long after its acceptance a closed job can still be read.
	JobsReadable time.Duration
	// BatchHeadroom is the number of slots of each target that batch leaves free.
	BatchHeadroom int
	// Scheduling states which optional parts of the scheduler are in force; see
	// slots.Policy.
	Scheduling Scheduling
	// QuotaWindow is the window in which an account's requests are bounded by its quota.
	// The bound may be exceeded in one window by QuotaOvershoot, a fraction of the bound,
	// and by QuotaSlack, a number of requests.
	QuotaWindow    time.Duration
	QuotaOvershoot float64
	QuotaSlack     float64
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

// Scheduling switches the optional parts of the scheduler on and off.
type Scheduling struct {
	Queue, ZoneBalance, BatchReserve, FairShares, PacedReturn, TargetRates bool
}

func (s *Scheduling) walk(v visitor) {
	v.section("scheduling")
	v.toggle("queue", &s.Queue)
	v.toggle("zone_balance", &s.ZoneBalance)
	v.toggle("batch_reserve", &s.BatchReserve)
	v.toggle("fair_shares", &s.FairShares)
	v.toggle("paced_return", &s.PacedReturn)
	v.toggle("target_rates", &s.TargetRates)
}

// Bounds of the values of Front.
const (
	maxPartitions = 4096
	minMemoryMB   = 32
	maxMemoryMB   = 1 << 20
	minCores      = 0.01
	maxCores      = 1024
	maxHeadroom   = 1024
	minWindow     = 100 * time.Millisecond
	minHeartbeat  = 10 * time.Millisecond
	maxWindow     = time.Hour
	maxSlack      = 1e6
)

// DefaultFront returns the default settings.
func DefaultFront() Front {
	return Front{
		MemoryMB: 256, Cores: 1, StopGrace: 8 * time.Second, JobsReadable: 2 * time.Minute, LogLevel: "info",
		TargetDrain: 2 * time.Second, TargetHeartbeat: 1200 * time.Millisecond,
		QuotaWindow: 5 * time.Second, QuotaOvershoot: 0.1,
	}
}

// bodyMemoryDivisor is the divisor for the default fraction of the memory that bodies may
// use, 1/bodyMemoryDivisor.
const bodyMemoryDivisor = 5

// headMemoryDivisor is bodyMemoryDivisor for the heads of requests, and of answers.
const headMemoryDivisor = 10

// BodyBytes returns the limit of the memory for the bodies of requests and responses
// together, in bytes.
func (f *Front) BodyBytes() int64 {
	if f.BodiesMB > 0 {
		return int64(f.BodiesMB) * mib
	}
	return int64(f.MemoryMB) * mib / bodyMemoryDivisor
}

// HeadBytes returns the limit of the memory for the heads of requests together, in bytes, and that
// for the heads of answers.
func (f *Front) HeadBytes() int64 {
	if f.HeadsMB > 0 {
		return int64(f.HeadsMB) * mib
	}
	return int64(f.MemoryMB) * mib / headMemoryDivisor
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
	v.toggle("first_start", &f.FirstStart)
	v.section("log_service")
	v.address("address", &f.LogAddress)
	v.number("partitions", &f.LogPartitions, 1, maxPartitions)
	v.section("limits")
	v.number("memory_mb", &f.MemoryMB, minMemoryMB, maxMemoryMB)
	v.number("bodies_mb", &f.BodiesMB, 0, maxMemoryMB)
	v.number("heads_mb", &f.HeadsMB, 0, maxMemoryMB)
	v.fraction("cores", &f.Cores, minCores, maxCores)
	v.duration("stop_grace", &f.StopGrace, time.Second, time.Hour)
	v.section("targets")
	v.duration("drain", &f.TargetDrain, time.Millisecond, time.Hour)
	v.duration("heartbeat", &f.TargetHeartbeat, minHeartbeat, time.Hour)
	v.section("jobs")
	v.duration("readable", &f.JobsReadable, time.Second, 30*24*time.Hour)
	v.number("headroom", &f.BatchHeadroom, 0, maxHeadroom)
	f.Scheduling.walk(v)
	v.section("quotas")
	v.duration("window", &f.QuotaWindow, minWindow, maxWindow)
	v.fraction("overshoot", &f.QuotaOvershoot, 0, 1)
	v.fraction("slack", &f.QuotaSlack, 0, maxSlack)
	v.section("log")
	v.enum("level", &f.LogLevel, "debug", "info", "warn", "error")
}

// LoadFront reads the settings of a front daemon from a file. Its errors are
// ErrUnreadable and ErrInvalid.
func LoadFront(path string) (*Front, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrUnreadable.Wrap(err, "cannot read the settings")
	}
	return ParseFront(path, string(text))
}

// ParseFront is LoadFront for a text; name replaces the file's path in messages.
func ParseFront(name, text string) (*Front, error) {
	f := DefaultFront()
	r := &reader{decoder: inifile.NewDecoder(inifile.Parse(name, text))}
	// No default: daemons with different numbers of partitions would lose jobs.
	r.decoder.Section("log_service").Require("partitions", "the number of partitions on the platform")
	f.walk(r)
	if f.Scheduling.FairShares && !f.Scheduling.Queue {
		r.decoder.Section("scheduling").Fail("fair_shares", "on without queue", "off, or queue = on")
	}
	if problems := r.decoder.Problems(); len(problems) > 0 {
		return nil, ErrInvalid.Wrap(problems, "the settings are refused").WithProperty(problemsProperty, problems)
	}
	return &f, nil
}
