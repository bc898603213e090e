package daemon

import (
	"context"
	"time"

	"tarragonhollow.example/tarragonhollow/core/membership"
)

// factsInterval is how often this daemon updates its entry in the membership. An unchanged
// entry costs no message.
const factsInterval = 100 * time.Millisecond

// factsLoop announces to the other daemons which shards this one holds and whether it is
// ready and reaches the log.
func (d *Daemon) factsLoop(ctx context.Context) {
	ticker := time.NewTicker(factsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.publishFacts()
		}
	}
}

func (d *Daemon) publishFacts() {
	holds := d.shards.Holds()
	logOK := d.shards.LogOK()
	ready := d.config.Ready()
	d.members.SetFacts(func(m *membership.Member) {
		m.Shards = holds
		m.LogOK = logOK
		m.Ready = ready
	})
}
