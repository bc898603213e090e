// Package descriptors makes file descriptors scarce, for tests.
package descriptors

import (
	"os"
	"syscall"
	"time"
)

// settled is how long the lowest free descriptor must have been the same: connections of earlier
// tests are closed in the background.
const settled = 200 * time.Millisecond

// Forbid lowers the process's limit so that no descriptor can be opened, until restore is called.
func Forbid() (restore func()) { return limit(0) }

// Exhaust is like Forbid, but a descriptor that is closed becomes free again.
//
// It serves only descriptors below the lowest free one: a spec that closes one of its own calls Settle
// before it opens it.
func Exhaust() (restore func()) { return limit(Settle()) }

// Settle waits until earlier tests have closed their descriptors, and returns the lowest free one.
func Settle() uint64 {
	free, since := lowestFree(), time.Now()
	for time.Since(since) < settled {
		time.Sleep(settled / 10)
		if now := lowestFree(); now != free {
			free, since = now, time.Now()
		}
	}
	return free
}

func lowestFree() uint64 {
	file, err := os.Open(os.DevNull)
	must(err)
	defer file.Close()
	return uint64(file.Fd())
}

func limit(descriptors uint64) (restore func()) {
	var before syscall.Rlimit
	must(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before))
	must(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: descriptors, Max: before.Max}))
	return func() { must(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before)) }
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}
