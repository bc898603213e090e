package callerconns

import (
	"net"
	"os"
	"syscall"
)

// emptyQueue takes the connections that the kernel completed ahead of Accept,
// gives them to keep and ends listening as soon as none is left.
//
// Failure guarded against: a caller may have sent its request on a connection
// that is still queued. Closing the listener resets it, and the caller can't
// know whether the request ran. What is left is a connection that completes
// between the last look and the end of listening, some microseconds.
func emptyQueue(l net.Listener, keep func(net.Conn)) error {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return errQueue.New("the listener is no socket")
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
				keepDescriptor(accepted, keep)
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

func keepDescriptor(fd int, keep func(net.Conn)) {
	file := os.NewFile(uintptr(fd), "accepted")
	defer file.Close()
	if conn, err := net.FileConn(file); err == nil {
		keep(conn)
	}
}
