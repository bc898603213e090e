package h1

import (
	"context"
	"errors"
	"net/http"

	"tarragonhollow.example/tarragonhollow/target/sockets"
)

// ConfirmEnd returns nil if the end that Read reported with io.EOF is the end of the answer, or
// an error of type Broken. It takes time only for an unframed answer; see sockets.ConfirmEnd.
func (a *Answer) ConfirmEnd() error {
	if a.Framing != Unframed || a.body == http.NoBody {
		return nil
	}
	err := sockets.ConfirmEnd(a.ctx, func(ctx context.Context) bool {
		return a.pool.Reachable(ctx, a.conn.address, DialTimeout)
	})
	if err != nil {
		if errors.Is(err, sockets.ErrGone) {
			a.record.End = EndTargetGone
		}
		return Broken.Wrap(err, "%s", a.conn.address)
	}
	return nil
}
