package faultproxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes is the size of the read buffer.
	chunkBytes = 32 << 10
	// queuedChunks bounds the chunks queued in a delayed or stalled direction. When
	// the queue is full, the proxy stops reading and the sender's TCP window fills.
	queuedChunks = 64
)

// chunk is a piece of one direction's data with the time at which to deliver it.
type chunk struct {
	data []byte
	due  time.Time
}

// conn is one forwarded connection.
type conn struct {
	proxy  *Proxy
	client net.Conn
	target net.Conn
	// clientIP is the IP that the client connects from.
	clientIP string
	done     chan struct{}
	once     sync.Once

	mu sync.Mutex
	// request is the first chunk from the client since the last answer, nil once the
	// answer begins.
	request []byte
}

func newConn(p *Proxy, client, target net.Conn) *conn {
	return &conn{proxy: p, client: client, target: target, clientIP: clientIP(client), done: make(chan struct{})}
}

// abort resets both sides and ends all loops. Further calls do nothing.
func (c *conn) abort() {
	c.once.Do(func() {
		close(c.done)
		reset(c.client)
		reset(c.target)
	})
}

// run forwards data in both directions until both have ended.
func (c *conn) run() {
	var wg sync.WaitGroup
	for _, pump := range []struct {
		from, to net.Conn
		d        direction
	}{{c.client, c.target, up}, {c.target, c.client, down}} {
		chunks := make(chan chunk, queuedChunks)
		wg.Add(2)
		go func() {
			defer wg.Done()
			c.readLoop(pump.from, pump.d, chunks)
		}()
		go func() {
			defer wg.Done()
			c.writeLoop(pump.to, pump.d, chunks)
		}()
	}
	wg.Wait()
	c.abort()
}

// readLoop queues the data read from one side. It sets the due time, and writeLoop
// waits for it, so that a delay adds latency without reducing throughput.
func (c *conn) readLoop(from net.Conn, d direction, chunks chan<- chunk) {
	defer close(chunks)
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			data := bytes.Clone(buffer[:n])
			if c.dropsAnswer(d, data) {
				c.proxy.countDropped()
				c.abort()
				return
			}
			faults, _ := c.proxy.faults.get()
			select {
			case chunks <- chunk{data: data, due: time.Now().Add(faults.forClient(c.clientIP).delay(d))}:
			case <-c.done:
				return
			}
		}
		if err != nil {
			// Pass a crashed peer's reset on as a reset, not as an orderly close.
			if !errors.Is(err, io.EOF) {
				c.abort()
			}
			return
		}
	}
}

// dropsAnswer tracks requests and answers and reports whether data is the start of an
// answer that must be dropped.
func (c *conn) dropsAnswer(d direction, data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d == up {
		if c.request == nil {
			c.request = data
		}
		return false
	}
	request := c.request
	c.request = nil
	if request == nil {
		return false
	}
	return c.proxy.faults.consumeDrop(c.clientIP, func(text string) bool { return bytes.Contains(request, []byte(text)) })
}

// writeLoop delivers the chunks in order, each when it is due and its direction is
// not stalled, and then passes on an orderly close.
func (c *conn) writeLoop(to net.Conn, d direction, chunks <-chan chunk) {
	for next := range chunks {
		if !c.sleepUntil(next.due) || !c.proxy.faults.awaitUnstalled(c.clientIP, d, c.done) {
			return
		}
		if _, err := to.Write(next.data); err != nil {
			c.abort()
			return
		}
		c.proxy.countDelivered(d, len(next.data))
	}
	if !c.proxy.faults.awaitUnstalled(c.clientIP, d, c.done) {
		return
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// sleepUntil waits until due and returns true, or false if the connection ends first.
func (c *conn) sleepUntil(due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.done:
		return false
	}
}
