package callerconns

import "github.com/joomcode/errorx"

// errQueue is the type of errors about the kernel's queue of connections.
var errQueue = errorx.NewNamespace("callerconns").NewType("queue")
