// Package capacity contains the benchmarks for docs/CAPACITY.md: the cost of each part
// of a daemon as the fleet, its targets or its work grow. They run only under
// go test -bench; the command drive and the scripts next to it measure running
// processes.
package capacity
