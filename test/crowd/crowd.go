package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// sampleInterval is the time between two samples of a process.
	sampleInterval = 10 * time.Millisecond
	// reopenPause is the time after which a connection that broke is opened again.
	reopenPause = 10 * time.Millisecond
	// writeBuffer is the size of one write of a client.
	writeBuffer = 16 << 10
	// writeTimeout bounds a write to a process that does not read.
	writeTimeout = 2 * time.Second
)

// Crowd is a number of clients that send the same shape.
type Crowd struct {
	Address     string
	Shape       Shape
	Target      Target
	Connections int
	// For is how long connections are opened again when they break.
	For time.Duration
}

// Run opens the connections, holds them and closes them at the end. It returns the number of
// connections that were opened and the first responses by their status lines.
func (c *Crowd) Run() (opened int, statuses map[string]int) {
	until := time.Now().Add(c.For)
	var number atomic.Int64
	var mu sync.Mutex
	statuses = map[string]int{}
	var wg sync.WaitGroup
	for range c.Connections {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(until) {
				if line, ok := c.connect(until); ok {
					number.Add(1)
					mu.Lock()
					statuses[line]++
					mu.Unlock()
				}
				time.Sleep(reopenPause)
			}
		}()
	}
	wg.Wait()
	return int(number.Load()), statuses
}

// connect opens a connection, sends the shape and holds the connection until it breaks or the given
// time. It returns the status line of the first response, or how the connection ended.
func (c *Crowd) connect(until time.Time) (status string, ok bool) {
	conn, err := net.DialTimeout("tcp", c.Address, time.Until(until))
	if err != nil {
		return "", false
	}
	defer conn.Close()
	lines := make(chan string, 1)
	go func() {
		line, err := bufio.NewReaderSize(conn, 64).ReadString('\n')
		if err != nil {
			line = fmt.Sprintf("%T\n", err)
		}
		lines <- line
		_, _ = io.Copy(io.Discard, slowReader{conn})
		lines <- ""
	}()
	w := bufio.NewWriterSize(deadlineWriter{conn}, writeBuffer)
	_ = c.Shape.Write(w, c.Target) // the process may end the connection
	hold := time.NewTimer(time.Until(until))
	defer hold.Stop()
	for {
		select {
		case line := <-lines:
			if line == "" {
				return status, true
			}
			status = strings.TrimSpace(line)
		case <-hold.C:
			if status == "" {
				status = "held"
			}
			return status, true
		}
	}
}

// slowReader reads nothing for most of the time, so that responses fill the buffers.
type slowReader struct{ net.Conn }

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(100 * time.Millisecond)
	return r.Conn.Read(p[:min(len(p), 64)])
}

// deadlineWriter bounds each write.
type deadlineWriter struct{ net.Conn }

func (w deadlineWriter) Write(p []byte) (int, error) {
	_ = w.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
	return w.Conn.Write(p)
}

// Sample is the use of a process.
type Sample struct {
	// Anonymous is the resident anonymous memory in bytes, Sockets the number of open sockets and
	// pipes.
	Anonymous int64
	Sockets   int
}

// Watch samples a process until stop is called, which returns the largest values. ended reports
// that the process ended meanwhile.
func Watch(pid int) (stop func() (largest Sample, ended bool)) {
	done, result := make(chan struct{}), make(chan struct{})
	var largest Sample
	ended := false
	go func() {
		defer close(result)
		tick := time.NewTicker(sampleInterval)
		defer tick.Stop()
		for {
			s, ok := sample(pid)
			ended = ended || !ok
			largest.Anonymous = max(largest.Anonymous, s.Anonymous)
			largest.Sockets = max(largest.Sockets, s.Sockets)
			select {
			case <-done:
				return
			case <-tick.C:
			}
		}
	}()
	return func() (Sample, bool) {
		close(done)
		<-result
		return largest, ended
	}
}

var anonymous = regexp.MustCompile(`RssAnon:\s+(\d+) kB`)

// sample returns the current use of a process, not ok if it has ended.
func sample(pid int) (s Sample, ok bool) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	found := anonymous.FindSubmatch(status) // a process that has ended has no such line
	if err != nil || found == nil {
		return s, false
	}
	kb, err := strconv.ParseInt(string(found[1]), 10, 64)
	if err != nil {
		return s, false
	}
	directory := fmt.Sprintf("/proc/%d/fd", pid)
	descriptors, err := os.ReadDir(directory)
	if err != nil {
		return s, false
	}
	s.Anonymous = kb << 10
	for _, d := range descriptors {
		kind, _ := os.Readlink(filepath.Join(directory, d.Name())) // it may be closed by now
		if strings.HasPrefix(kind, "socket:") || strings.HasPrefix(kind, "pipe:") {
			s.Sockets++
		}
	}
	return s, true
}
