package places

import (
	"slices"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/slots"
)

// ServesVersion reports whether this daemon knows a usable target of the group with the
// version, "" for any. A daemon of a large zone that holds a sample of the targets may know
// none although some serve.
func (p *Places) ServesVersion(group, version string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[group]
	return g != nil && g.serves(version)
}

// serves reports whether any of the group's targets is of the version, "" for any.
func (g *group) serves(version string) bool {
	return slices.ContainsFunc(g.targets, func(t roster.Target) bool { return version == "" || t.Version == version })
}

// ofVersion returns the group's targets of the version, "" for all.
func (g *group) ofVersion(version string) []roster.Target {
	if version == "" {
		return g.targets
	}
	var list []roster.Target
	for _, t := range g.targets {
		if t.Version == version {
			list = append(list, t)
		}
	}
	return list
}

// remoteVersions returns which versions the targets of other zones are of, nil if not all of
// these targets are known.
func (p *Places) remoteVersions(usable []roster.Target) map[slots.ZoneGroup]bool {
	if p.roster.Adopted() || !p.roster.Complete() {
		return nil
	}
	served := map[slots.ZoneGroup]bool{}
	for _, t := range usable {
		if t.Zone != p.zone {
			served[slots.ZoneGroup{Zone: t.Zone, Group: t.Group, Version: t.Version}] = true
		}
	}
	return served
}

// logRejectedGrant logs that a slot was returned because its target, of which known is what
// this daemon knows, is not of the required version.
func (p *Places) logRejectedGrant(id string, request slots.Request, grant slots.Grant, by string, known roster.Target) {
	if request.Version == "" {
		return
	}
	p.logger.Info("grant_rejected", zap.String("id", id), zap.String("group", request.Group), zap.String("target", grant.Target), zap.String("leader", by),
		zap.String("version", request.Version), zap.String("known_version", known.Version), zap.String("granted_version", grant.At.Version))
}
