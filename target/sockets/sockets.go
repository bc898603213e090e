// Package sockets sets up TCP connections so that a peer that went silent is
// noticed.
package sockets

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// UserTimeout is for how long sent bytes may stay unacknowledged before the
	// connection counts as dead. It is far above a round trip between zones (3 ms)
	// and a retransmission or two, and below the 2 s after which callers leave a
	// silent stream.
	UserTimeout = 1200 * time.Millisecond
	// probeEvery and probes: an idle connection that answers none of these
	// probes in a row is dead.
	probeEvery = time.Second
	probes     = 2
)

// DeadPeer is a net.Dialer's Control. It guards against a connection whose
// other end lost power or was cut off without a reset: reads would hang for
// minutes. The kernel then ends the connection after UserTimeout with data in
// flight, or after probeEvery*(probes+1) without.
func DeadPeer(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) { failed = setDeadPeer(int(fd)) })
	if err != nil {
		return err
	}
	return failed
}

func setDeadPeer(fd int) error {
	options := []struct{ level, name, value int }{
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(probeEvery / time.Second)},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(probeEvery / time.Second)},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, probes},
		{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout / time.Millisecond)},
	}
	for _, o := range options {
		if err := unix.SetsockoptInt(fd, o.level, o.name, o.value); err != nil {
			return err
		}
	}
	return nil
}

// Quiet tells whether nothing has arrived on an idle connection: no bytes that
// nobody asked for, no end and no reset. It does not block.
func Quiet(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, received := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = received == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
