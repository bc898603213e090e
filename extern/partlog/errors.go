package partlog

import "github.com/joomcode/errorx"

var errorNamespace = errorx.NewNamespace("partlog")

// Types of errors. Unavailable, Limited, Full, Conflict and Expired guarantee that the
// call had no effect.
var (
	// Unavailable: the log refused the call or was not reached.
	Unavailable = errorNamespace.NewType("unavailable")
	// Limited: the log's rate limit refused the call; a later one may succeed.
	Limited = errorNamespace.NewType("limited")
	// Full: the log's total size is used up.
	Full = errorNamespace.NewType("full")
	// Conflict: the partition does not end at the offset that the append required.
	Conflict = errorNamespace.NewType("conflict")
	// Expired: the requested records are no longer stored.
	Expired = errorNamespace.NewType("expired")
	// Unknown: no response was received. The call may have been executed, or may still
	// be executed later if its condition holds then.
	Unknown = errorNamespace.NewType("unknown")
	// Invalid: a response that violates the protocol, or a call that the log refused
	// because of its content.
	Invalid = errorNamespace.NewType("invalid")
)

// IsUnknown reports whether the call may have been executed.
func IsUnknown(err error) bool { return errorx.IsOfType(err, Unknown) }

// IsConflict reports whether the partition did not end at the required offset.
func IsConflict(err error) bool { return errorx.IsOfType(err, Conflict) }

// IsExpired reports whether the requested records are no longer stored.
func IsExpired(err error) bool { return errorx.IsOfType(err, Expired) }
