package daemon

import "github.com/joomcode/errorx"

var (
	namespace = errorx.NewNamespace("daemon")
	// errListener: a listener could not be opened or failed.
	errListener = namespace.NewType("listener")
	// errBuild: the settings or the platform's clients do not fit together.
	errBuild  = namespace.NewType("build")
	errKilled = namespace.NewType("killed").New("killed")
)
