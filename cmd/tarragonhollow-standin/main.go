// Command tarragonhollow-standin runs one stand-in for a service of the platform or for
// a target; see docs/STANDINS.md.
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
