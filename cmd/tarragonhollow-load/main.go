// Command tarragonhollow-load measures batch policies against a running fleet.
package main

import (
	"context"
	"os"
	"os/signal"

	"tarragonhollow.example/tarragonhollow/load"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := load.Command().ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}
