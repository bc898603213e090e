package daemon

import "github.com/joomcode/errorx"

var (
	namespace = errorx.NewNamespace("daemon")
	// errListener is the type of errors for a listener that could not be opened or that
	// failed.
	errListener = namespace.NewType("listener")
	// errBuild is the type of errors for settings from which a platform client can't be
	// built.
	errBuild  = namespace.NewType("build")
	errKilled = namespace.NewType("killed").New("killed")
)
