package sockets

import (
	"errors"
	"slices"
	"syscall"
)

// localFailures are the errors of a connect that this host causes itself: it lacks descriptors,
// memory or ports.
var localFailures = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// LocalFailure reports whether a dial that returned err failed for lack of this host's own
// resources, which shows nothing about the other side.
func LocalFailure(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(localFailures, errno)
}
