// Command tarragonhollow-standin runs one stand-in for the platform or a
// target as a process; see docs/STANDINS.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"tarragonhollow.example/tarragonhollow/standin/standinset"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := standinset.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
