package front

import (
	"math"

	"golang.org/x/sys/unix"
)

const (
	// maxConnections and minConnections bound the limit of callers' connections on large and on
	// small hosts.
	maxConnections = 3000
	minConnections = 64
	// fileDescriptors is the number of descriptors that are reserved for files and not available
	// for connections.
	fileDescriptors = 200
	// callersShare is the share of the other descriptors that callers' connections may use. The
	// rest is for connections to targets, up to two for each request that runs, to other daemons
	// and to the log.
	callersShare = 1.0 / 3
	// connectionMemory is the memory in bytes that a connection with a running request uses, its
	// body excluded: 33 KiB of heap and stacks in a server with 2,900 of them, and some reserve.
	connectionMemory = 36 << 10
	// connectionsMemoryShare is the share of the process's memory that callers' connections may
	// use. Bodies use a fifth, and up to twice that while they are sent.
	connectionsMemoryShare = 1.0 / 3
)

// connectionLimit returns how many connections of callers may be open: as many as the memory of
// the process, in MiB, and its limit of descriptors allow, at most maxConnections.
//
// Failure guarded against: when callers' connections use all descriptors, no other connection is
// accepted and no target reached; when they use all memory, the process is killed.
func connectionLimit(memoryMB int, descriptors uint64) int {
	byMemory := float64(memoryMB) * (1 << 20) * connectionsMemoryShare / connectionMemory
	byDescriptors := (float64(descriptors) - fileDescriptors) * callersShare
	return int(max(minConnections, min(maxConnections, byMemory, byDescriptors)))
}

// descriptorLimit returns how many descriptors the process may open.
func descriptorLimit() uint64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxUint64
	}
	return limit.Cur
}
