package config

import (
	"fmt"
	"strings"
	"time"

	"tarragonhollow.example/tarragonhollow/inifile"
)

// Defaults and bounds of a target group.
const (
	// DefaultEngineSlots is how many requests an engine runs at once.
	DefaultEngineSlots = 8
	// DefaultServiceSlots is how many requests a service target runs at once.
	DefaultServiceSlots = 64

	// DefaultBatchHeadroom leaves one slot free for the first request of a burst.
	DefaultBatchHeadroom = 1
	// DefaultBatchCoolDown is short, since idle capacity lasts only seconds.
	DefaultBatchCoolDown = 200 * time.Millisecond
	// DefaultBatchReserved is half of an engine's default slots.
	DefaultBatchReserved = 4

	maxSlots    = 4096
	maxCoolDown = time.Minute
)

const addressesAllowed = "IP:PORT@ZONE, IP:PORT@ZONE, ..."

// parseGroups reads the [target-group NAME] sections.
func parseGroups(c *Config, sections []*inifile.Section) {
	servedBy := map[string]string{}
	usedBy := map[string]string{}
	for _, s := range sections {
		g := parseGroup(s)
		c.Groups[s.Label] = g
		checkModelUnique(s, g, servedBy)
		checkAddressesUnique(s, g, usedBy)
	}
}

// parseGroup reads one [target-group NAME] section.
func parseGroup(s *inifile.Section) *TargetGroup {
	s.Require("kind", "engine, service")
	g := &TargetGroup{Name: s.Label}
	g.Kind = Kind(s.Enum("kind", string(KindEngine), string(KindEngine), string(KindService)))
	g.Model = s.Ident("model", "")
	// By default, targets are assumed not to check orders: a new issuer then sends orders
	// only after the previous issuer's tenure has certainly expired.
	g.ChecksOrders = s.Bool("checks_orders", false)
	g.Slots = s.Int("slots", defaultSlots(g.Kind), 1, maxSlots)
	g.Batch = parseBatchAdmission(s, defaultFill(g))
	if s.Require("addresses", addressesAllowed) {
		g.Targets = parseTargets(s)
	}
	if !s.Has("kind") {
		return g
	}
	if g.Kind == KindEngine {
		s.Require("model", "the name of the model that the engines serve")
	} else {
		rejectIfSet(s, "model", "means nothing for a service")
		rejectIfSet(s, "checks_orders", "means nothing for a service")
	}
	return g
}

// parseBatchAdmission reads the batch_* keys.
func parseBatchAdmission(s *inifile.Section, fill int) BatchAdmission {
	policy := s.Enum("batch_policy", string(PolicyPreempt),
		string(PolicyPreempt), string(PolicyNaive), string(PolicyReserve))
	return BatchAdmission{
		Policy:   BatchPolicy(policy),
		Fill:     s.Int("batch_fill", fill, 0, maxSlots),
		Headroom: s.Int("batch_headroom", DefaultBatchHeadroom, 0, maxSlots),
		CoolDown: s.Duration("batch_cool_down", DefaultBatchCoolDown, 0, maxCoolDown),
		Reserved: s.Int("batch_reserved", DefaultBatchReserved, 0, maxSlots),
	}
}

// defaultFill returns the default of batch_fill. For an engine it is three quarters of the
// slots: a burst of online requests alone slows an engine down as much, so batch work up to
// that level hardly affects the online tail latency (docs/design/0009-batch-policy.md). It
// is 0 for a plain service, whose slowdown under load is not known, so that batch work does
// not run beside online work there.
func defaultFill(g *TargetGroup) int {
	if g.Kind == KindService {
		return 0
	}
	return g.Slots * 3 / 4
}

func defaultSlots(k Kind) int {
	if k == KindService {
		return DefaultServiceSlots
	}
	return DefaultEngineSlots
}

// parseTargets reads the addresses key.
func parseTargets(s *inifile.Section) []Target {
	var targets []Target
	for _, part := range inifile.SplitList(s.Text("addresses", "")) {
		address, zone, found := strings.Cut(part, "@")
		if !found || !inifile.ValidAddress(address) || !inifile.ValidName(zone) {
			s.Fail("addresses", fmt.Sprintf("%q is not a target", part), addressesAllowed)
			continue
		}
		targets = append(targets, Target{Address: address, Zone: zone})
	}
	return targets
}

// checkModelUnique rejects a second group for a model: GroupForModel could not decide
// between them.
func checkModelUnique(s *inifile.Section, g *TargetGroup, servedBy map[string]string) {
	if g.Model == "" {
		return
	}
	if other, ok := servedBy[g.Model]; ok {
		s.Failf("model", "[%s] serves this model already", other)
		return
	}
	servedBy[g.Model] = s.Name
}

// checkAddressesUnique rejects an address that is given twice: its slots would be counted
// twice and it would get two batch dispatchers.
func checkAddressesUnique(s *inifile.Section, g *TargetGroup, usedBy map[string]string) {
	for _, t := range g.Targets {
		if other, ok := usedBy[t.Address]; ok {
			s.Failf("addresses", "%s is given twice, first in [%s]", t.Address, other)
			continue
		}
		usedBy[t.Address] = s.Name
	}
}

// parseModels reads the [model NAME] sections.
func parseModels(c *Config, sections []*inifile.Section) {
	for _, s := range sections {
		s.Require("version", "the weight version to load")
		c.Models[s.Label] = &Model{Name: s.Label, Version: s.Ident("version", "")}
		if c.GroupForModel(s.Label) == nil {
			s.Failf("", "unknown model: no target group has model = %s", s.Label)
		}
	}
}
