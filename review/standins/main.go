// Command standins holds the stand-ins of the platform's store and of the workers that the cases
// under review/ start as processes, and the drivers of the cases.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standins store|worker|falsely-accused|leaving-workers [flags]")
		os.Exit(exitNotRun)
	}
	command, args := os.Args[1], os.Args[2:]
	switch command {
	case "store":
		runStore(args)
	case "worker":
		runWorker(args)
	case "leaving-workers":
		os.Exit(leavingWorkers())
	case "falsely-accused":
		os.Exit(falselyAccused())
	default:
		fmt.Fprintln(os.Stderr, "unknown command", command)
		os.Exit(exitNotRun)
	}
}
