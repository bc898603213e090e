package daemon

import (
	"context"
	"time"

	"tarragonhollow.example/tarragonhollow/core/membership"
)

// factsEvery is how often this daemon compares what it tells about itself with
// what is so. An unchanged entry costs no message.
const factsEvery = 100 * time.Millisecond

// factsLoop tells the other daemons which shards this one holds and whether it
// is ready and reaches the log.
func (d *Daemon) factsLoop(ctx context.Context) {
	ticker := time.NewTicker(factsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.tellFacts()
		}
	}
}

func (d *Daemon) tellFacts() {
	holds := d.shards.Holds()
	logOK := d.shards.LogOK()
	ready := d.config.Ready()
	d.members.SetFacts(func(m *membership.Member) {
		m.Shards = holds
		m.LogOK = logOK
		m.Ready = ready
	})
}
