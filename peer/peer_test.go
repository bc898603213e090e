package peer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/peer"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

// Echo is the service under test.
type Echo struct{ block chan struct{} }

func (e *Echo) Say(in string, out *string) error { *out = in; return nil }
func (e *Echo) Fail(string, *string) error       { return errors.New("no such order") }
func (e *Echo) Hang(in string, out *string) error {
	<-e.block
	*out = in
	return nil
}

func serve(service *Echo) (*peer.Server, string) {
	s := peer.NewServer(peer.ServerOptions{})
	Expect(s.Register("Echo", service)).To(Succeed())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = s.Serve(ln) }()
	DeferCleanup(s.Close)
	return s, ln.Addr().String()
}

func newClient(o peer.ClientOptions) *peer.Client {
	c := peer.NewClient(o)
	DeferCleanup(c.Close)
	return c
}

func within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	DeferCleanup(cancel)
	return ctx
}

// stallingListener accepts connections and reads from them but never replies. dials
// returns the number of accepted connections.
func stallingListener() (address string, dials func() int) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	var mu sync.Mutex
	count := 0
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			count++
			mu.Unlock()
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
	}()
	return ln.Addr().String(), func() int {
		mu.Lock()
		defer mu.Unlock()
		return count
	}
}

var _ = Describe("Client", func() {
	It("returns replies, and the peer's own errors as RemoteError", func() {
		_, address := serve(&Echo{})
		c := newClient(peer.ClientOptions{LocalIP: "127.0.0.1"})
		var reply string
		Expect(c.Call(within(5*time.Second), address, "Echo.Say", "tray 7", &reply)).To(Succeed())
		Expect(reply).To(Equal("tray 7"))
		err := c.Call(within(5*time.Second), address, "Echo.Fail", "", &reply)
		Expect(peer.IsRemoteError(err)).To(BeTrue())
		Expect(err.Error()).To(ContainSubstring("no such order"))
		Expect(peer.IsRemoteError(c.Call(within(5*time.Second), address, "Echo.Nothing", "", &reply))).To(BeTrue())
	})

	// A daemon freezes: calls to it time out while its socket stays open. Calls to other
	// daemons, and later calls to the same daemon, must not wait for the frozen one.
	It("drops a stalled connection and does not affect other peers", func() {
		stalled, dials := stallingListener()
		_, good := serve(&Echo{})
		c := newClient(peer.ClientOptions{})
		var reply string
		Eventually(func() int {
			err := c.Call(within(50*time.Millisecond), stalled, "Echo.Say", "a", &reply)
			Expect(peer.IsNoReply(err)).To(BeTrue(), "%v", err)
			Expect(c.Call(within(5*time.Second), good, "Echo.Say", "b", &reply)).To(Succeed())
			return dials()
		}, "10s").Should(Equal(2))
	})

	// A caller hedges and cancels many slower calls in a row. Cancelled calls are no sign
	// of a stalled connection: another call on it must still get its reply.
	It("keeps the connection when callers cancel", func() {
		e := &Echo{block: make(chan struct{})}
		_, address := serve(e)
		c := newClient(peer.ClientOptions{})
		slow := make(chan error, 1)
		var reply string
		go func() { slow <- c.Call(context.Background(), address, "Echo.Hang", "whole", &reply) }()
		for range 10 {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			time.AfterFunc(5*time.Millisecond, cancel)
			var other string
			Expect(c.Call(ctx, address, "Echo.Hang", "x", &other)).NotTo(Succeed())
		}
		close(e.block)
		Eventually(slow, "5s").Should(Receive(BeNil()))
		Expect(reply).To(Equal("whole"))
	})

	// A peer restarts between two calls. That the old connection is broken is known before
	// the second call is written, so the call must not fail because of it.
	It("dials again after the peer closed the connection", func() {
		s, address := serve(&Echo{})
		c := newClient(peer.ClientOptions{})
		var reply string
		Expect(c.Call(within(5*time.Second), address, "Echo.Say", "1", &reply)).To(Succeed())
		Expect(s.Close()).To(Succeed())
		Eventually(func() bool {
			return peer.IsUnreachable(c.Call(within(5*time.Second), address, "Echo.Say", "2", &reply))
		}, "5s").Should(BeTrue())
		ln, err := net.Listen("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		again := peer.NewServer(peer.ServerOptions{})
		Expect(again.Register("Echo", &Echo{})).To(Succeed())
		go func() { _ = again.Serve(ln) }()
		DeferCleanup(again.Close)
		Eventually(func() error {
			return c.Call(within(5*time.Second), address, "Echo.Say", "3", &reply)
		}, "5s").Should(Succeed())
		Expect(reply).To(Equal("3"))
	})

	// A peer does not reply while calls to it keep timing out. Each timed-out call still
	// occupies memory in the client; beyond the bound new calls fail as certainly not
	// delivered.
	It("bounds the pending calls to a peer that does not reply", func() {
		e := &Echo{block: make(chan struct{})}
		_, address := serve(e)
		c := newClient(peer.ClientOptions{MaxPending: 2})
		var reply string
		Expect(c.Call(within(5*time.Second), address, "Echo.Say", "warm", &reply)).To(Succeed())
		for range 2 {
			Expect(peer.IsNoReply(c.Call(within(30*time.Millisecond), address, "Echo.Hang", "x", &reply))).To(BeTrue())
		}
		Expect(peer.IsUnreachable(c.Call(within(5*time.Second), address, "Echo.Say", "y", &reply))).To(BeTrue())
		Expect(reply).To(Equal("warm"))
		close(e.block)
		Eventually(func() error {
			return c.Call(within(5*time.Second), address, "Echo.Say", "z", &reply)
		}, "5s").Should(Succeed())
	})

	It("returns Unreachable at once for a port without a listener", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := ln.Addr().String()
		Expect(ln.Close()).To(Succeed())
		c := newClient(peer.ClientOptions{})
		c.Notify(address, "Echo.Say", "one way")
		var reply string
		Expect(peer.IsUnreachable(c.Call(within(5*time.Second), address, "Echo.Say", "a", &reply))).To(BeTrue())
	})
})
