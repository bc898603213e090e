package partlog

import "github.com/joomcode/errorx"

var errorNamespace = errorx.NewNamespace("partlog")

// Types of errors. Unavailable, Limited, Full, Conflict and Expired promise
// that nothing was done.
var (
	// Unavailable: the log refused or was not reached.
	Unavailable = errorNamespace.NewType("unavailable")
	// Limited: the log's rate limit; later it may succeed.
	Limited = errorNamespace.NewType("limited")
	// Full: the log's total size is used up.
	Full = errorNamespace.NewType("full")
	// Conflict: the partition ends elsewhere than the append demanded.
	Conflict = errorNamespace.NewType("conflict")
	// Expired: the records asked for are no longer kept.
	Expired = errorNamespace.NewType("expired")
	// Unknown: no answer came; the call may have been executed, or may be
	// executed later if its condition still holds.
	Unknown = errorNamespace.NewType("unknown")
	// Invalid: an answer against the protocol, or a call that the log refuses
	// for its content.
	Invalid = errorNamespace.NewType("invalid")
)

// IsUnknown tells whether the call may have been executed.
func IsUnknown(err error) bool { return errorx.IsOfType(err, Unknown) }

// IsConflict tells whether the partition ended elsewhere.
func IsConflict(err error) bool { return errorx.IsOfType(err, Conflict) }

// IsExpired tells whether the records asked for are gone.
func IsExpired(err error) bool { return errorx.IsOfType(err, Expired) }
