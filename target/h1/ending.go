package h1

import (
	"context"
	"net/http"
	"time"
)

// endingTime is how long after the end of an unframed answer its target is looked for. The
// kernel closes the sockets of a killed process one after another, in many cases its listener
// last, and the process may have to wait for a processor in between.
const endingTime = 100 * time.Millisecond

// ConfirmEnd returns nil if the end that Read reported with io.EOF is the end of the answer, or
// an error of type Broken. It takes time only for an unframed answer.
//
// Failure guarded against: the kernel closes the connections of a killed process in an orderly
// way, which is also how an unframed answer ends, so that a truncated one appears complete. It
// is complete only if the target still accepts connections afterwards. A target that is paused
// or has reached its connection limit does. What is not noticed is a target that has restarted
// at the same address within endingTime, unless the context was cancelled for that.
func (a *Answer) ConfirmEnd() error {
	if a.Framing != Unframed || a.body == http.NoBody {
		return nil
	}
	timer := time.NewTimer(endingTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.ctx.Done():
	}
	stands := a.ctx.Err() == nil && a.pool.Reachable(a.ctx, a.conn.address, DialTimeout)
	if a.ctx.Err() != nil {
		return Broken.Wrap(context.Cause(a.ctx), "%s: the end of the answer was not confirmed", a.conn.address)
	}
	if !stands {
		return Broken.New("%s accepts no connections after the end of its unframed answer", a.conn.address)
	}
	return nil
}
