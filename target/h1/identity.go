package h1

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"time"
)

const (
	// identityWait bounds the wait for the answer to an Identity's request where the exchange
	// itself sets no bound.
	identityWait = time.Second
	// maxIdentityBytes bounds the body of that answer.
	maxIdentityBytes = 256 << 10
)

// Types of errors of a process that must identify itself. It received nothing of the request.
var (
	// WrongProcess means that another process than the expected one answers at the address.
	WrongProcess = NotSent.NewSubtype("wrong_process")
	// Unidentified means that the process did not say which one it is.
	Unidentified = NotSent.NewSubtype("unidentified")
	// LocalFailure means that this process could not open a connection, for example for lack of
	// descriptors. It shows nothing about the target.
	LocalFailure = Unidentified.NewSubtype("local_failure")
)

// Identity determines by a request of its own which process a connection leads to, before the
// connection carries anything else: the process does not change while the connection lasts.
type Identity struct {
	// Key names the expected process. A connection that was identified is not asked again.
	Key     string
	Request *Request
	// Expected returns whether the answer is that of the expected process, or does not say.
	Expected func(status int, header http.Header, body []byte) bool
}

// prepare sets the deadline of an exchange, and confirms the identity on a new connection.
func (c *conn) prepare(ctx context.Context, isNew bool, o Options) error {
	if err := c.SetDeadline(o.Deadline); err != nil {
		return NotSent.Wrap(err, "%s", c.address)
	}
	if !isNew || o.Identity == nil {
		return nil
	}
	if err := c.identify(ctx, o.Identity, o); err != nil {
		return err
	}
	if err := c.SetDeadline(o.Deadline); err != nil {
		return NotSent.Wrap(err, "%s", c.address)
	}
	return nil
}

// identify sends the identity's request on a new connection and checks the answer.
func (c *conn) identify(ctx context.Context, identity *Identity, o Options) error {
	if _, err := c.Write(encode(identity.Request)); err != nil {
		return Unidentified.Wrap(err, "%s", c.address)
	}
	if err := setReadTimeout(ctx, c, o.Deadline, cmp.Or(o.MaxWait, identityWait)); err != nil {
		return Unidentified.Wrap(err, "%s", c.address)
	}
	h, err := c.readFinalHead(identity.Request.Method)
	if err != nil {
		return Unidentified.Wrap(err, "%s did not identify itself", c.address)
	}
	body, err := io.ReadAll(io.LimitReader(c.newBody(h), maxIdentityBytes+1))
	switch {
	case err != nil:
		return Unidentified.Wrap(err, "%s did not identify itself", c.address)
	case len(body) > maxIdentityBytes || h.closes():
		return Unidentified.New("%s can't be asked anything else after its identity", c.address)
	case !identity.Expected(h.status, h.header, body):
		return WrongProcess.New("%s: another process has the address", c.address)
	}
	c.identity = identity.Key
	return nil
}

func (i *Identity) key() string {
	if i == nil {
		return ""
	}
	return i.Key
}
