package settings

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"tarragonhollow.example/tarragonhollow/inifile"
)

var (
	errorNamespace = errorx.NewNamespace("settings")
	// ErrUnreadable is the type of errors about a file that cannot be read.
	ErrUnreadable = errorNamespace.NewType("unreadable")
	// ErrOverride is the type of errors about an override that is not
	// SECTION.KEY=VALUE.
	ErrOverride = errorNamespace.NewType("override")
	// ErrInvalid is the type of errors about invalid settings; see Problems.
	ErrInvalid = errorNamespace.NewType("invalid")

	problemsProperty = errorx.RegisterProperty("problems")
)

// Problems returns the problems of an ErrInvalid error, nil for other errors.
func Problems(err error) inifile.Problems {
	value, _ := errorx.ExtractProperty(err, problemsProperty)
	problems, _ := value.(inifile.Problems)
	return problems
}

// Load reads the file and applies the overrides SECTION.KEY=VALUE; the last one for a
// key wins. Its errors are ErrUnreadable, ErrOverride and ErrInvalid.
func Load(path string, overrides []string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrUnreadable.Wrap(err, "cannot read the settings")
	}
	return Parse(path, string(text), overrides)
}

// Parse is Load for a text; name replaces the file's path in messages.
func Parse(name, text string, overrides []string) (*Settings, error) {
	file := inifile.Parse(name, text)
	for _, override := range overrides {
		if err := apply(file, override); err != nil {
			return nil, err
		}
	}
	s := Default()
	r := &reader{decoder: inifile.NewDecoder(file)}
	s.walk(r)
	s.crossCheck(r.decoder)
	if problems := r.decoder.Problems(); len(problems) > 0 {
		return nil, ErrInvalid.Wrap(problems, "the settings are refused").WithProperty(problemsProperty, problems)
	}
	return &s, nil
}

// apply applies one override.
func apply(file *inifile.File, override string) error {
	name, value, found := strings.Cut(override, "=")
	section, key, dotted := strings.Cut(name, ".")
	if !found || !dotted || section == "" || key == "" {
		return ErrOverride.New("--set %q; allowed: section.key=value", name)
	}
	file.Set("--set", section, key, value)
	return nil
}

// crossCheck refuses values that are valid on their own but not in combination.
func (s *Settings) crossCheck(d *inifile.Decoder) {
	host := d.Section("host")
	checkReachable(host, "http_address", s.Host.HTTPAddress)
	checkReachable(host, "peer_address", s.Host.PeerAddress)
	checkReachable(host, "peer_advertise", s.Host.PeerAdvertise)
	if s.Host.HTTPAddress == s.Host.PeerAddress && !strings.HasSuffix(s.Host.PeerAddress, ":0") && s.Host.PeerAddress != "" {
		host.Fail("peer_address", "the same as http_address", "another port")
	}
	if s.Peers.SuspectAfter < s.Peers.ProbeEvery {
		d.Section("peers").Fail("suspect_after", "shorter than probe_every",
			"at least "+inifile.FormatDuration(s.Peers.ProbeEvery))
	}
	ledger := d.Section("ledger")
	if s.Ledger.Lease < 2*s.Ledger.AppendPace {
		ledger.Fail("lease", "shorter than two append paces",
			"at least "+inifile.FormatDuration(2*s.Ledger.AppendPace))
	}
	if need := s.Ledger.AppendsPerSecond(); need > s.Ledger.AppendBudget {
		ledger.Failf("append_budget", "%d shards at one append each %s need %d a second",
			s.Ledger.Shards, inifile.FormatDuration(s.Ledger.AppendPace), need)
	}
}

// AppendsPerSecond returns the maximum number of paced appends per second of the whole
// fleet, which has one owner for each shard. Urgent appends are not included; they use
// the rest of the budget.
func (l Ledger) AppendsPerSecond() int {
	perSecond := int64(l.Shards) * int64(time.Second)
	pace := int64(l.AppendPace)
	return int((perSecond + pace - 1) / pace)
}

// checkReachable refuses the unspecified address: the daemon announces its addresses to
// its peers, and none of them could connect to 0.0.0.0.
func checkReachable(s *inifile.Section, key, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err == nil && parsed.Addr().IsUnspecified() {
		s.Fail(key, "the unspecified address cannot be told to peers", "the host's own IP:PORT")
	}
}
