package settings

import "time"

// Bounds of the values.
const (
	minTokenBytes = 8
	kib           = int64(1) << 10
	mib           = int64(1) << 20
	gib           = int64(1) << 30
)

// visitor visits every key with its field. The reader, the writer and the check of the
// documentation all use the same walk below, so that they cannot disagree.
type visitor interface {
	section(name string)
	name(key string, field *string)
	names(key string, field *[]string)
	address(key string, field *string)
	optionalAddress(key string, field *string)
	addresses(key string, field *[]string)
	url(key string, field *string, required bool)
	secret(key string, field *string, minBytes int)
	enum(key string, field *string, allowed ...string)
	number(key string, field *int, low, high int)
	duration(key string, field *time.Duration, low, high time.Duration)
	size(key string, field *int64, low, high int64)
	fraction(key string, field *float64, low, high float64)
	// toggle is a key with the values on and off.
	toggle(key string, field *bool)
}

// walk calls v for every section and key of s.
func (s *Settings) walk(v visitor) {
	s.Host.walk(v)
	s.Platform.walk(v)
	s.Peers.walk(v)
	s.Ledger.walk(v)
	v.section("admin")
	v.secret("token", &s.Admin.Token, minTokenBytes)
	v.section("log")
	v.enum("level", &s.Log.Level, "debug", "info", "warn", "error")
	v.section("drain")
	v.duration("grace", &s.Drain.Grace, 0, 5*time.Minute)
	v.duration("timeout", &s.Drain.Timeout, time.Second, 24*time.Hour)
	s.HTTP.walk(v)
}

func (h *Host) walk(v visitor) {
	v.section("host")
	v.name("name", &h.Name)
	v.name("zone", &h.Zone)
	v.address("http_address", &h.HTTPAddress)
	v.address("peer_address", &h.PeerAddress)
	v.optionalAddress("peer_advertise", &h.PeerAdvertise)
}

func (p *Platform) walk(v visitor) {
	v.section("platform")
	v.url("log_url", &p.LogURL, true)
	v.url("hosts_url", &p.HostsURL, true)
	v.url("weights_url", &p.WeightsURL, false)
	v.duration("retention", &p.Retention, time.Second, 90*24*time.Hour)
}

func (p *Peers) walk(v visitor) {
	v.section("peers")
	v.addresses("seeds", &p.Seeds)
	v.duration("probe_every", &p.ProbeEvery, 10*time.Millisecond, time.Minute)
	v.duration("suspect_after", &p.SuspectAfter, 50*time.Millisecond, 10*time.Minute)
}

func (l *Ledger) walk(v visitor) {
	v.section("ledger")
	v.number("shards", &l.Shards, 1, 1024)
	v.duration("append_pace", &l.AppendPace, time.Millisecond, 10*time.Second)
	v.number("append_budget", &l.AppendBudget, 1, 100_000)
	v.duration("lease", &l.Lease, 500*time.Millisecond, 10*time.Minute)
}

func (h *HTTP) walk(v visitor) {
	v.section("http")
	v.size("max_header_bytes", &h.MaxHeaderBytes, 4*kib, mib)
	v.duration("read_header_timeout", &h.ReadHeaderTimeout, 100*time.Millisecond, time.Minute)
	v.duration("idle_timeout", &h.IdleTimeout, time.Second, time.Hour)
	v.duration("write_stall", &h.WriteStall, 100*time.Millisecond, 10*time.Minute)
	v.duration("body_stall", &h.BodyStall, 100*time.Millisecond, 10*time.Minute)
	v.number("max_connections", &h.MaxConnections, 16, 1_000_000)
	v.number("max_in_flight", &h.MaxInFlight, 1, 1_000_000)
	v.number("max_uploads", &h.MaxUploads, 1, 1024)
	v.size("max_head_memory", &h.MaxHeadMemory, mib, 64*gib)
	v.size("max_body_memory", &h.MaxBodyMemory, mib, 64*gib)
}
