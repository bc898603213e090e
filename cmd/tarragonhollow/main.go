// Command tarragonhollow runs a daemon, checks its files and talks to it.
package main

import (
	"os"

	"tarragonhollow.example/tarragonhollow/cli"
)

func main() {
	// Serve and Try are refused with an error until they are set here:
	// Serve: daemon.Run, Try: try.Run.
	os.Exit(cli.Execute(cli.Programs{}, os.Args[1:]))
}
