package sockets

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tcpEstablished is the state of a connection that neither side has closed, tcpClosed that of
	// one that was reset.
	tcpEstablished = 1
	tcpClosed      = 7
	// minWitnessLife is how long a witness must have lived to be replaced at once. It bounds the
	// connections to a target that closes idle ones early or is at its connection limit.
	minWitnessLife = time.Second
)

// witnessState is what the second connection shows about the target.
type witnessState int

const (
	// witnessNone: there was no second connection while the answer was being received, or the
	// target closed it and went on with the answer.
	witnessNone witnessState = iota
	// witnessOpen: the second connection is open.
	witnessOpen
	// witnessEnded: the second connection ended or was refused.
	witnessEnded
	// witnessReset: the second connection was reset.
	witnessReset
)

// Witness holds a second connection to the target of an unframed answer. While it is open, the
// process that accepted it exists: a process that starts later at the same address does not
// have it, however late the end of the answer is read.
type Witness struct {
	dial   func(context.Context) (net.Conn, error)
	answer syscall.Conn
	cancel context.CancelFunc
	// dialed is closed after the first attempt to connect, settled when its result is certain.
	dialed, settled chan struct{}

	mu    sync.Mutex
	state witnessState
	conn  net.Conn
}

// Watch opens a second connection to the target that is sending an answer on the given one. The
// caller must call Close. It returns nil if the connection is not a TCP connection.
func Watch(answer net.Conn, dial func(context.Context) (net.Conn, error)) *Witness {
	raw, ok := answer.(syscall.Conn)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &Witness{dial: dial, answer: raw, cancel: cancel, dialed: make(chan struct{}), settled: make(chan struct{})}
	go w.run(ctx)
	return w
}

// Close closes the second connection. w may be nil.
func (w *Witness) Close() {
	if w == nil {
		return
	}
	w.cancel()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil {
		_ = w.conn.Close()
	}
}

func (w *Witness) set(state witnessState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = state
}

// run keeps a second connection open until the answer has ended.
func (w *Witness) run(ctx context.Context) {
	conn := w.open(ctx, true)
	close(w.dialed)
	conn = w.settle(ctx, conn)
	close(w.settled)
	for {
		if w.hold(conn) >= minWitnessLife {
			conn = w.open(ctx, false)
			continue
		}
		if !pause(ctx, endingTime) || !isEstablished(w.answer) {
			return
		}
		w.set(witnessNone) // a killed target would have ended the answer too
		if !pause(ctx, minWitnessLife) {
			return
		}
		conn = w.open(ctx, false)
	}
}

// settle looks for the target again if its answer ended at about the time of the first connection,
// and returns the connection, or nil. If a listener is closed during the handshake, the connection
// stays open on this side only.
func (w *Witness) settle(ctx context.Context, conn net.Conn) net.Conn {
	if conn == nil || !pause(ctx, endingTime) || isEstablished(w.answer) {
		return conn
	}
	again, err := w.dial(ctx)
	if err == nil {
		_ = again.Close()
	}
	if Accepted(err) {
		return conn
	}
	w.set(witnessEnded)
	_ = conn.Close()
	return nil
}

// hold waits for the end of the second connection and returns how long it was open. conn may be
// nil.
func (w *Witness) hold(conn net.Conn) time.Duration {
	if conn == nil {
		return 0
	}
	opened := time.Now()
	err := awaitEnd(conn)
	w.set(stateAfter(err)) // before the connection is closed: see check
	_ = conn.Close()
	return time.Since(opened)
}

// open connects to the target. It returns nil if the connection shows nothing: the answer must
// not have ended before it was established, since another process may have accepted it then. A
// first connection also counts if the answer's last bytes arrived less than endingTime ago; see
// settle.
func (w *Witness) open(ctx context.Context, first bool) net.Conn {
	conn, err := w.dial(ctx)
	if err != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			w.state = witnessEnded
		case errors.Is(err, syscall.ECONNRESET):
			w.state = witnessReset
		}
		return nil
	}
	if !isEstablished(w.answer) && !(first && isFresh(w.answer)) {
		_ = conn.Close()
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		_ = conn.Close()
		return nil
	}
	w.state, w.conn = witnessOpen, conn
	return conn
}

// awaitEnd reads until the connection ends. Bytes that nobody asked for show nothing.
func awaitEnd(conn net.Conn) error {
	var buffer [512]byte
	for {
		if _, err := conn.Read(buffer[:]); err != nil {
			return err
		}
	}
}

// Await waits until the first attempt to connect has ended. w may be nil.
func (w *Witness) Await(ctx context.Context) {
	if w == nil {
		return
	}
	select {
	case <-w.dialed:
	case <-ctx.Done():
	}
}

// IsOpen reports whether the second connection is open. w may be nil.
func (w *Witness) IsOpen() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	raw, ok := w.conn.(syscall.Conn)
	return w.state == witnessOpen && ok && isEstablished(raw)
}

// check returns the current state once the first connection is settled.
func (w *Witness) check(ctx context.Context) witnessState {
	if w == nil {
		return witnessNone
	}
	select {
	case <-w.settled:
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	raw, ok := w.conn.(syscall.Conn)
	if w.state != witnessOpen || !ok {
		return w.state
	}
	// Its end may not have been read yet.
	switch info, err := tcpInfo(raw); {
	case err != nil:
		return witnessEnded
	case info.State == tcpEstablished:
		return witnessOpen
	case info.State == tcpClosed:
		return witnessReset
	default:
		return witnessEnded
	}
}

// stateAfter returns the state after a connection whose reads ended with err.
func stateAfter(err error) witnessState {
	switch {
	case errors.Is(err, syscall.ECONNRESET):
		return witnessReset
	case err == io.EOF:
		return witnessEnded
	default:
		return witnessNone
	}
}

// again opens one more connection after the answer has ended, and returns what it shows: witnessReset
// or witnessEnded if the target ends it as well, as one at its connection limit does, witnessOpen if
// it was established within maxLookTime after the end and the target keeps it.
func (w *Witness) again(ctx context.Context, ended time.Time) witnessState {
	conn, err := w.dial(ctx)
	if err != nil {
		if errors.Is(err, syscall.ECONNRESET) {
			return witnessReset
		}
		return witnessNone
	}
	defer func() { _ = conn.Close() }()
	inTime := time.Since(ended) < maxLookTime
	if err := conn.SetReadDeadline(time.Now().Add(endingTime)); err != nil {
		return witnessNone
	}
	err = awaitEnd(conn)
	if errors.Is(err, os.ErrDeadlineExceeded) && inTime {
		return witnessOpen
	}
	return stateAfter(err)
}

// isEstablished reports whether neither side has closed the connection.
func isEstablished(conn syscall.Conn) bool {
	info, err := tcpInfo(conn)
	return err == nil && info.State == tcpEstablished
}

// isFresh reports whether the last bytes on the connection arrived less than endingTime ago. The
// kernel counts the time, also while this process is suspended.
func isFresh(conn syscall.Conn) bool {
	info, err := tcpInfo(conn)
	return err == nil && time.Duration(info.Last_data_recv)*time.Millisecond < endingTime
}

func tcpInfo(conn syscall.Conn) (info *unix.TCPInfo, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return info, errors.Join(err, infoErr)
}

// pause waits. It returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
