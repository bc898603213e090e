package peer

import "github.com/joomcode/errorx"

// Namespace contains the types of this package's errors.
var Namespace = errorx.NewNamespace("peer")

var (
	// Unreachable means that the call was certainly not delivered: there was no
	// connection, the bound on pending calls was reached, or the deadline passed
	// before the first byte was written.
	Unreachable = Namespace.NewType("unreachable")
	// NoReply means that the call may have been delivered and even executed, but its
	// reply did not arrive in time or the connection broke.
	NoReply = Namespace.NewType("no_reply", errorx.Timeout())
	// RemoteError means that the peer's method ran and returned an error, or that
	// the peer has no such method; the message is the peer's.
	RemoteError = Namespace.NewType("remote_error")
	// badService means that a receiver has no usable methods or its name is in use.
	badService = Namespace.NewType("bad_service")
)

// IsUnreachable reports whether err means that the call was certainly not delivered.
func IsUnreachable(err error) bool { return errorx.IsOfType(err, Unreachable) }

// IsNoReply reports whether err means that the call may have been delivered.
func IsNoReply(err error) bool { return errorx.IsOfType(err, NoReply) }

// IsRemoteError reports whether err is an error that the peer returned.
func IsRemoteError(err error) bool { return errorx.IsOfType(err, RemoteError) }
