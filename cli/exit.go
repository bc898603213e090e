package cli

import (
	"errors"
	"fmt"
)

// Exit codes. Scripts depend on them.
const (
	// ExitOK: the command succeeded.
	ExitOK = 0
	// ExitFailed: the daemon refused the request, or the program failed.
	ExitFailed = 1
	// ExitUsage: wrong usage, settings or configuration; nothing was sent.
	ExitUsage = 2
	// ExitUnreachable: no daemon answered; nothing was changed.
	ExitUnreachable = 3
	// ExitConflict: the configuration changed since the base version.
	ExitConflict = 4
	// ExitUnknown: a change was sent and no response was received, so it may have taken
	// effect. The same command can be run again.
	ExitUnknown = 5
)

// exitHelp is the help text on exit codes.
const exitHelp = `Exit codes: 0 done; 1 refused or failed; 2 wrong usage, settings or configuration;
3 no daemon answered; 4 the configuration changed since the base version;
5 sent but no answer came, so it may have taken effect (run the same command again).`

// exitError is an error with the exit code that Execute returns for it.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// exitWith returns err with an exit code.
func exitWith(code int, err error) error { return &exitError{code, err} }

// usageError returns a formatted error that ends with ExitUsage.
func usageError(format string, args ...any) error {
	return exitWith(ExitUsage, fmt.Errorf(format, args...))
}

// exitCode returns the exit code for a command's error. Errors of cobra itself, such as
// an unknown flag or a missing argument, carry no code and are usage errors.
func exitCode(err error) int {
	var e *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &e):
		return e.code
	default:
		return ExitUsage
	}
}
