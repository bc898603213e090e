// Command standins2 runs the stand-ins of the cases in review/4 and up: the platform's store, workers
// and clients, and the project's daemons as processes beside them.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	unknown = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "standins2 CASE RECORD")
		os.Exit(unknown)
	}
	if os.Args[1] == "worker" {
		if err := runWorker(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(unknown)
		}
		return
	}
	cases := map[string]func(*Record, bool) (int, error){"unframed": runUnframed, "takeover": runTakeover, "slowreaders": runSlowReaders, "full": runFull}
	run := cases[os.Args[1]]
	if run == nil || len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(unknown)
	}
	record, err := OpenRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unknown)
	}
	code, err := run(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.Note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = unknown
	}
	os.Exit(code)
}
