package callerconns

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasUnread reports whether bytes that were received on the connection wait to be read. It does
// not block, also while another goroutine reads.
func hasUnread(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}
