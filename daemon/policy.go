package daemon

import (
	"tarragonhollow.example/tarragonhollow/core/admission"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/shard"
)

// policyOf returns the batch admission policy that is configured for a group.
func policyOf(g *config.TargetGroup) admission.Policy {
	switch g.Batch.Policy {
	case config.PolicyNaive:
		return admission.FCFS{}
	case config.PolicyReserve:
		return admission.StaticReserve{Free: g.Batch.Reserved}
	}
	policy := admission.DefaultPreemptive()
	policy.Fill = g.Batch.Fill
	policy.Headroom = g.Batch.Headroom
	policy.CoolDown = g.Batch.CoolDown
	return policy
}

// ownerOf returns the peer address of the daemon that holds a job's shard.
func (d *Daemon) ownerOf(job string) (string, bool) {
	holder, ok := d.members.Holder(shard.Of(job, d.settings.Ledger.Shards))
	return holder.PeerAddress, ok
}
