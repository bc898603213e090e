package standinset

import (
	"fmt"
	"os"
	"strings"
	"time"

	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/inifile"
	"tarragonhollow.example/tarragonhollow/standin/engine"
	"tarragonhollow.example/tarragonhollow/standin/faultproxy"
	"tarragonhollow.example/tarragonhollow/standin/hostlist"
	"tarragonhollow.example/tarragonhollow/standin/logsvc"
	"tarragonhollow.example/tarragonhollow/standin/service"
	"tarragonhollow.example/tarragonhollow/standin/weights"
)

// Kind is the name of a stand-in, of its sub-command and of its settings section.
type Kind string

// Kinds of stand-ins.
const (
	KindLog        Kind = "log"
	KindHosts      Kind = "hosts"
	KindWeights    Kind = "weights"
	KindEngine     Kind = "engine"
	KindService    Kind = "service"
	KindFaultProxy Kind = "fault-proxy"
)

// Kinds lists all stand-ins in the order in which the command's help shows them.
var Kinds = []Kind{KindLog, KindHosts, KindWeights, KindEngine, KindService, KindFaultProxy}

// Bounds, defaults and allowed-value texts of the settings.
const (
	maxRate          = 1_000_000
	maxBurst         = 1_000_000
	maxRecordBytes   = int64(1) << 30
	minRetention     = 100 * time.Millisecond
	maxRetention     = 365 * 24 * time.Hour
	maxLag           = time.Hour
	maxSeed          = 1 << 31
	versionsAllowed  = "VERSION:SIZE, VERSION:SIZE, ... like 2026-11:13GiB"
	addressAllowed   = "IP:PORT, like 127.0.0.1:8080; port 0 takes a free one"
	defaultListen    = "127.0.0.1:0"
	defaultRetention = 24 * time.Hour
)

// Settings is the content of a settings file.
type Settings struct {
	// File is the file's name, used in error messages.
	File string
	// Listen is the IP:PORT that each stand-in listens on; port 0 selects a free port.
	Listen map[Kind]string
	// Control is the IP:PORT of the fault proxy's control endpoints.
	Control string

	Log        logsvc.Options
	Hosts      hostlist.Options
	Weights    weights.Options
	Engine     engine.Options
	Service    service.Options
	FaultProxy faultproxy.Options
}

// Load reads the settings file to run the given stand-in, whose listen address is
// required. The error lists every problem with file, line, section, key, value and
// what is allowed.
func Load(path string, kind Kind) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, InvalidSettings.New("%v", err)
	}
	return Parse(path, string(text), kind)
}

// Parse is like Load, but reads the settings from text. The name is used in errors.
func Parse(name, text string, kind Kind) (*Settings, error) {
	d := inifile.NewDecoder(inifile.Parse(name, text))
	s := &Settings{
		File:    name,
		Listen:  map[Kind]string{},
		Engine:  engine.DefaultOptions(),
		Service: service.DefaultOptions(),
	}
	for _, k := range Kinds {
		section := d.Section(string(k))
		if k == kind {
			section.Require("listen", addressAllowed)
		}
		s.Listen[k] = section.Address("listen", defaultListen, true)
	}
	s.readLog(d.Section(string(KindLog)))
	s.readHosts(d)
	s.readWeights(d)
	readTagged(d.Section(string(KindEngine)), &s.Engine)
	readTagged(d.Section(string(KindService)), &s.Service)
	s.readFaultProxy(d.Section(string(KindFaultProxy)), kind)
	if problems := d.Problems(); len(problems) > 0 {
		return nil, InvalidSettings.New("%s", problems.Error())
	}
	return s, nil
}

func (s *Settings) readLog(section *inifile.Section) {
	s.Log = logsvc.Options{
		AppendsPerSecond: section.Float("appends_per_second", logsvc.DefaultAppendsPerSecond, 1, maxRate),
		Burst:            section.Int("burst", logsvc.DefaultBurst, 1, maxBurst),
		MaxRecordBytes:   int(section.Size("max_record_bytes", logsvc.DefaultMaxRecordBytes, 1, maxRecordBytes)),
		Retention:        section.Duration("retention", defaultRetention, minRetention, maxRetention),
		Seed:             uint64(section.Int("seed", 1, 0, maxSeed)),
	}
}

func (s *Settings) readHosts(d *inifile.Decoder) {
	s.Hosts.Lag = d.Section(string(KindHosts)).Duration("lag", 0, 0, maxLag)
	for _, section := range d.Named("host") {
		section.Require("address", "IP:PORT, like 127.0.0.1:8080")
		section.Require("zone", "a name of letters, digits, '_', '.' and '-'")
		section.Require("role", "daemon, target")
		s.Hosts.Hosts = append(s.Hosts.Hosts, extern.Host{
			Name:    section.Label,
			Address: section.Address("address", "", false),
			Zone:    section.Ident("zone", ""),
			Role: extern.HostRole(section.Enum("role", string(extern.RoleDaemon),
				string(extern.RoleDaemon), string(extern.RoleTarget))),
			State: extern.HostState(section.Enum("state", string(extern.HostLive),
				string(extern.HostLive), string(extern.HostLeaving))),
		})
	}
}

func (s *Settings) readWeights(d *inifile.Decoder) {
	section := d.Section(string(KindWeights))
	s.Weights.RequestsPerSecond = section.Float("requests_per_second", weights.DefaultRequestsPerSecond, 0.01, maxRate)
	s.Weights.Burst = section.Int("burst", weights.DefaultBurst, 1, maxBurst)
	for _, model := range d.Named("model") {
		if !model.Require("versions", versionsAllowed) {
			continue
		}
		for _, text := range inifile.SplitList(model.Text("versions", "")) {
			version, err := parseVersion(model.Label, text)
			if err != nil {
				model.Fail("versions", err.Error(), versionsAllowed)
				continue
			}
			s.Weights.Weights = append(s.Weights.Weights, version)
		}
	}
}

func parseVersion(model, text string) (extern.Weights, error) {
	version, size, ok := strings.Cut(text, ":")
	if !ok || !inifile.ValidName(version) {
		return extern.Weights{}, fmt.Errorf("%q is not VERSION:SIZE", text)
	}
	bytes, err := inifile.ParseSize(size)
	if err != nil {
		return extern.Weights{}, err
	}
	if bytes <= 0 {
		return extern.Weights{}, fmt.Errorf("%q has no size", text)
	}
	return extern.Weights{Model: model, Version: version, Bytes: bytes}, nil
}

func (s *Settings) readFaultProxy(section *inifile.Section, kind Kind) {
	if kind == KindFaultProxy {
		section.Require("target", "IP:PORT, like 127.0.0.1:8080")
	}
	s.Control = section.Address("control", defaultListen, true)
	s.FaultProxy = faultproxy.Options{Target: section.Address("target", "", false)}
}
