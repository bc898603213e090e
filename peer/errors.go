package peer

import "github.com/joomcode/errorx"

// Namespace holds the errors of this layer.
var Namespace = errorx.NewNamespace("peer")

var (
	// Unreachable says that the call was certainly not delivered: no connection
	// could be had, the bound on pending calls was reached, or the deadline
	// passed before the first byte was written.
	Unreachable = Namespace.NewType("unreachable")
	// NoReply says that the call may have been delivered, and even executed, but
	// its reply did not come in time or the connection broke.
	NoReply = Namespace.NewType("no_reply", errorx.Timeout())
	// RemoteError says that the peer's method ran and returned an error, or that
	// the peer has no such method; the message is the peer's.
	RemoteError = Namespace.NewType("remote_error")
	// badService says that a receiver has no usable methods or its name is taken.
	badService = Namespace.NewType("bad_service")
)

// IsUnreachable tells whether err says that the call was certainly not delivered.
func IsUnreachable(err error) bool { return errorx.IsOfType(err, Unreachable) }

// IsNoReply tells whether err says that the call may have been delivered.
func IsNoReply(err error) bool { return errorx.IsOfType(err, NoReply) }

// IsRemoteError tells whether err is the peer's own answer.
func IsRemoteError(err error) bool { return errorx.IsOfType(err, RemoteError) }
