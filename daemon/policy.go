package daemon

import (
	"tarragonhollow.example/tarragonhollow/core/admission"
	"tarragonhollow.example/tarragonhollow/core/shard"
	"tarragonhollow.example/tarragonhollow/settings"
)

// reservedSlots is what the static reserve keeps free of batch on each target.
const reservedSlots = 4

// policyOf returns the batch policy with the given settings name.
func policyOf(name string) admission.Policy {
	switch name {
	case settings.PolicyNaive:
		return admission.FCFS{}
	case settings.PolicyReserve:
		return admission.StaticReserve{Free: reservedSlots}
	}
	return admission.DefaultGiveWay()
}

// ownerOf returns the peer address of the daemon that holds a job's shard.
func (d *Daemon) ownerOf(job string) (string, bool) {
	holder, ok := d.members.Holder(shard.Of(job, d.settings.Ledger.Shards))
	return holder.PeerAddress, ok
}
