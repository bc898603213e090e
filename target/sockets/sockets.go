// Package sockets configures TCP connections so that an unresponsive peer is detected.
package sockets

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// UserTimeout is how long sent bytes may stay unacknowledged before the connection
	// is considered dead. It is far above a round trip between zones (3 ms) plus one or
	// two retransmissions, and below the 2 s after which callers give up a stream that
	// sends nothing.
	UserTimeout = 1200 * time.Millisecond
	// probeInterval is the time between keep-alive probes on an idle connection. After
	// this number of unanswered probes in a row the connection is considered dead.
	probeInterval = time.Second
	probes        = 2
)

// DetectDeadPeer is a Control function for net.Dialer. It guards against a connection
// whose other end lost power or was cut off without a reset, on which reads would hang
// for minutes. With these options the kernel ends the connection after UserTimeout if
// data is in flight, else after probeInterval*(probes+1).
func DetectDeadPeer(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) { optionErr = setOptions(int(fd)) })
	if err != nil {
		return err
	}
	return optionErr
}

func setOptions(fd int) error {
	options := []struct{ level, name, value int }{
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(probeInterval / time.Second)},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(probeInterval / time.Second)},
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

// StillIdle reports whether nothing has arrived on an idle connection: no unexpected
// bytes, no end of stream and no reset. It does not block.
func StillIdle(conn net.Conn) bool {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = recvErr == unix.EAGAIN
		return true
	})
	return err == nil && idle
}
