package membership

import (
	"slices"
	"time"
)

// HostList is one version of the platform's host list, reduced to what membership needs.
type HostList struct {
	// Version rises with each change.
	Version int64
	// Daemons are the hosts that run a daemon.
	Daemons []ListedDaemon
	// Targets are the hosts that run targets.
	Targets []ListedTarget
}

// ListedDaemon is one daemon of the host list.
type ListedDaemon struct {
	Host string
	// Address is the IP:PORT of the peer listener.
	Address string
	Leaving bool
}

// ListedTarget is one target of the host list.
type ListedTarget struct {
	// Address is the target's IP:PORT.
	Address string
	Leaving bool
}

// hostList is the index of the last host list.
type hostList struct {
	version         int64
	known           bool
	daemons         map[string]bool
	daemonAddresses []string
	leavingHosts    map[string]bool
	targets         map[string]bool
}

// targetEntry is the newest notice about a target that is leaving or has left.
type targetEntry struct {
	notice TargetNotice
	// unlistedSince is when the target was first missing from the local host list; zero
	// while it is listed.
	unlistedSince time.Time
}

// HostListVersion returns the version of the last applied host list, 0 if none.
func (m *Machine) HostListVersion() int64 { return m.list.version }

// SetHostList applies a host list. Versions that are not newer than the last one are
// ignored: the platform may answer from replicas that lag.
func (m *Machine) SetHostList(now time.Time, l HostList) {
	if m.list.known && l.Version <= m.list.version {
		return
	}
	m.list = indexHostList(l)
	m.version++
	m.updateLeaving()
	for _, t := range l.Targets {
		m.mergeTarget(now, TargetNotice{Address: t.Address, Leaving: t.Leaving, ListVersion: l.Version}, true)
	}
	for address, t := range m.targets {
		if !m.list.targets[address] && t.unlistedSince.IsZero() {
			t.unlistedSince = now
		}
	}
}

func indexHostList(l HostList) hostList {
	d := hostList{
		version:      l.Version,
		known:        true,
		daemons:      make(map[string]bool),
		leavingHosts: make(map[string]bool),
		targets:      make(map[string]bool),
	}
	for _, host := range l.Daemons {
		d.daemons[host.Host] = true
		d.daemonAddresses = append(d.daemonAddresses, host.Address)
		if host.Leaving {
			d.leavingHosts[host.Host] = true
		}
	}
	for _, t := range l.Targets {
		d.targets[t.Address] = true
	}
	return d
}

func (m *Machine) mergeTargets(now time.Time, notices []TargetNotice) {
	for _, n := range notices {
		m.mergeTarget(now, n, false)
	}
}

// mergeTarget applies one notice. The notice with the higher list version wins, so a daemon
// whose list lags learns from its peers, and a target that is live again becomes live
// everywhere. Targets that never left have no entry.
func (m *Machine) mergeTarget(now time.Time, n TargetNotice, listed bool) {
	t := m.targets[n.Address]
	if t == nil {
		stale := !listed && n.ListVersion <= m.list.version
		if n.Leaving && !stale {
			m.targets[n.Address] = &targetEntry{notice: n}
			m.targetChanged(n.Address)
		}
		return
	}
	if listed {
		t.unlistedSince = time.Time{}
	}
	if n.ListVersion <= t.notice.ListVersion {
		return
	}
	changed := n.Leaving != t.notice.Leaving
	t.notice = n
	if changed {
		m.targetChanged(n.Address)
	}
}

func (m *Machine) targetChanged(address string) {
	m.version++
	m.queue.addTarget(address)
}

// removeExpiredTargets removes targets that have been missing from the local host list for
// ForgetAfter, if that list is at least as new as the notice about them.
func (m *Machine) removeExpiredTargets(now time.Time) {
	for address, t := range m.targets {
		removable := !t.unlistedSince.IsZero() && t.notice.ListVersion <= m.list.version
		if removable && now.Sub(t.unlistedSince) >= m.opt.ForgetAfter {
			delete(m.targets, address)
			m.version++
		}
	}
}

// leavingAddresses returns the sorted addresses of leaving targets.
func (m *Machine) leavingAddresses() []string {
	var out []string
	for address, t := range m.targets {
		if t.notice.Leaving {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

func (m *Machine) leavingNotices() []TargetNotice {
	var out []TargetNotice
	for _, address := range m.leavingAddresses() {
		out = append(out, m.targets[address].notice)
	}
	return out
}
