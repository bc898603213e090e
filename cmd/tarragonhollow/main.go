// Command tarragonhollow runs a daemon, checks its files and is a client of it.
package main

import (
	"os"

	"tarragonhollow.example/tarragonhollow/cli"
	"tarragonhollow.example/tarragonhollow/daemon"
	"tarragonhollow.example/tarragonhollow/platform"
	"tarragonhollow.example/tarragonhollow/try"
)

func main() {
	programs := cli.Programs{Serve: daemon.Serve, Front: platform.Serve, Try: try.Run}
	os.Exit(cli.Execute(programs, os.Args[1:]))
}
