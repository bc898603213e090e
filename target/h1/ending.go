package h1

import (
	"context"
	"errors"
	"net"
	"net/http"

	"tarragonhollow.example/tarragonhollow/target/sockets"
)

// ConfirmEnd returns nil if the end that Read reported with io.EOF is the end of the answer, or
// an error of type Broken. It takes time only for an unframed answer; see sockets.ConfirmEnd.
func (a *Answer) ConfirmEnd() error {
	if a.Framing != Unframed || a.body == http.NoBody {
		return nil
	}
	err := sockets.ConfirmEnd(a.ctx, a.conn.Conn, a.witness, func(ctx context.Context) bool {
		return sockets.Accepted(a.pool.reach(ctx, a.conn.address, DialTimeout))
	})
	if err != nil {
		if errors.Is(err, sockets.ErrGone) {
			a.record.End = EndTargetGone
		}
		return Broken.Wrap(err, "%s", a.conn.address)
	}
	return nil
}

// watch opens a second connection to the target for ConfirmEnd. Only successes are watched:
// errors are short, and a target that is overloaded gets no further connection for its refusals.
func (a *Answer) watch() {
	if a.Framing != Unframed || a.body == http.NoBody || a.Status >= http.StatusMultipleChoices {
		return
	}
	a.witness = sockets.Watch(a.conn.Conn, func(ctx context.Context) (net.Conn, error) {
		c, err := a.pool.dial(ctx, a.conn.address)
		if err == nil {
			a.pool.opened()
		}
		return c, err
	})
}
