package front

import (
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/peer"
)

// slowLink is the link of a host: the replies of other daemons share one rate, on
// whatever connection. A reply whose call has timed out takes bandwidth too.
type slowLink struct {
	bytesPerSecond int

	mu sync.Mutex
	// free is when the link has carried everything sent so far.
	free time.Time
}

// carry waits until the link has carried n more bytes.
func (l *slowLink) carry(n int) {
	l.mu.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond))
	at := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(at))
}

// serve starts a daemon behind the link that serves its configuration, and returns its
// address.
func (l *slowLink) serve(c *Configuration) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := peer.NewServer(peer.ServerOptions{})
	Expect(server.Register(configurationService, &configurationHandler{c})).To(Succeed())
	go func() {
		defer GinkgoRecover()
		_ = server.Serve(&slowListener{Listener: ln, link: l}) // ends with the server
	}()
	DeferCleanup(server.Close)
	return ln.Addr().String()
}

type slowListener struct {
	net.Listener
	link *slowLink
}

func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, link: l.link}, nil
}

type slowConn struct {
	net.Conn
	link *slowLink
}

func (c *slowConn) Write(p []byte) (int, error) {
	const packet = 4 << 10
	written := 0
	for written < len(p) {
		next := p[written:min(len(p), written+packet)]
		c.link.carry(len(next))
		n, err := c.Conn.Write(next)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
