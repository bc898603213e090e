// Package descriptors makes file descriptors scarce, for tests.
package descriptors

import (
	"os"
	"syscall"
)

// Exhaust lowers the process's limit so that no descriptor can be opened, until restore is
// called. One that is closed becomes free again.
func Exhaust() (restore func()) {
	var before syscall.Rlimit
	must(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before))
	free, err := os.Open(os.DevNull) // gets the lowest free descriptor
	must(err)
	limited := before
	limited.Cur = uint64(free.Fd())
	must(free.Close())
	must(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limited))
	return func() { must(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before)) }
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}
