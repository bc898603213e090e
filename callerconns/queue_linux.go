package callerconns

import (
	"net"
	"os"
	"syscall"
)

// acceptQueued accepts the connections in the kernel's accept queue, passes them to keep
// and stops listening as soon as the queue is empty.
//
// Failure guarded against: a caller may have sent its request on a connection that is
// still queued. Closing the listener resets that connection, and the caller can't know
// whether the request ran. Only a connection that completes between the last accept and
// the end of listening, a few microseconds, is still reset.
func acceptQueued(l net.Listener, keep func(net.Conn)) error {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return errQueue.New("the listener is not a socket")
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return errQueue.Wrap(err, "the listener has no descriptor")
	}
	err = raw.Control(func(fd uintptr) {
		for {
			accepted, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			switch err {
			case nil:
				wrapDescriptor(accepted, keep)
			case syscall.EINTR, syscall.ECONNABORTED:
			default:
				_ = syscall.Shutdown(int(fd), syscall.SHUT_RD)
				return
			}
		}
	})
	if err != nil {
		return errQueue.Wrap(err, "the listener is closed")
	}
	return nil
}

// wrapDescriptor passes the connection of an accepted descriptor to keep.
func wrapDescriptor(fd int, keep func(net.Conn)) {
	file := os.NewFile(uintptr(fd), "accepted")
	defer file.Close()
	if conn, err := net.FileConn(file); err == nil {
		keep(conn)
	}
}
