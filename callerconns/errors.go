package callerconns

import "github.com/joomcode/errorx"

// errQueue is the type of errors about the kernel's accept queue.
var errQueue = errorx.NewNamespace("callerconns").NewType("queue")
