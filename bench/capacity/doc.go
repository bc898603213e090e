// Package capacity holds the benchmarks behind docs/CAPACITY.md: what each part
// of a daemon costs as the fleet, its targets or its work grow. They run only
// under go test -bench; the command drive and the scripts beside it measure
// running processes.
package capacity
