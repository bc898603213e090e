package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Headers of PROTOCOL.md.
const (
	headerID       = "X-Tarragonhollow-Request-Id"
	headerStamp    = "X-Tarragonhollow-Response-Stamp"
	headerExpect   = "X-Tarragonhollow-Expect-Instance"
	headerNotRun   = "X-Tarragonhollow-Not-Run"
	headerDeadline = "X-Tarragonhollow-Deadline-Ms"
)

// eventBytes is the size of an event's data: 65 bytes on average in the site file.
const eventBytes = 65

// engine is a worker's process. It makes events in steps, for all requests at once, as a batching
// engine does.
type engine struct {
	id       string
	events   int
	unframed bool
	slots    int
	record   *os.File

	mu      sync.Mutex
	running map[*run]bool
}

// run is one request that runs.
type run struct {
	conn net.Conn
	id   string
	next int
	done chan struct{}
}

// runWorker is the main function of a worker's process.
func runWorker(args []string) error {
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	id := flags.String("id", "w", "the worker's ID")
	events := flags.Int("events", 30, "events of an answer")
	step := flags.Duration("step", 20*time.Millisecond, "time between two events")
	unframed := flags.Bool("unframed", false, "streams have neither a length nor chunks")
	slots := flags.Int("slots", 8, "requests that run at once")
	recordPath := flags.String("record", os.DevNull, "file that holds the runs")
	if err := flags.Parse(args); err != nil {
		return err
	}
	record, err := os.OpenFile(*recordPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e := &engine{id: *id, events: *events, unframed: *unframed, slots: *slots, record: record, running: map[*run]bool{}}
	go func() {
		for range time.Tick(*step) {
			e.step()
		}
	}()
	fmt.Println(listener.Addr())
	for {
		c, err := listener.Accept()
		if err != nil {
			return err
		}
		go e.serve(c)
	}
}

// step makes one event for each running request.
func (e *engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for r := range e.running {
		e.event(r)
	}
}

func (e *engine) event(r *run) {
	text := eventText(r.id, r.next)
	if !e.unframed {
		text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	r.next++
	if r.next == e.events && !e.unframed {
		text += "0\r\n\r\n"
	}
	_, err := io.WriteString(r.conn, text)
	if err != nil || r.next == e.events {
		e.note(r.id, "ends", r.next, err)
		delete(e.running, r)
		close(r.done)
	}
}

// note records a step of a run with the time in milliseconds. What is written survives a kill.
func (e *engine) note(id, step string, event int, err error) {
	if err != nil {
		step = "broken off"
	}
	_, _ = fmt.Fprintf(e.record, "%d %s %s %d %s\n", time.Now().UnixMilli(), e.id, id, event, step)
}

// eventText is event n of a request.
func eventText(id string, n int) string {
	data := fmt.Sprintf("%s-%d ", id, n)
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, data+strings.Repeat("x", max(0, eventBytes-len(data))))
}

// serve answers the requests on a connection.
func (e *engine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !e.answer(c, request) {
			return
		}
	}
}

// answer answers one request, and reports whether the connection can carry another.
func (e *engine) answer(c net.Conn, request *http.Request) bool {
	id := request.Header.Get(headerID)
	if expected := request.Header.Get(headerExpect); expected != "" && expected != e.id {
		return writeHead(c, "421 Misdirected Request", "Content-Length: 0")
	}
	if request.URL.Path == "/report" {
		body := `{"stage":"mixed","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":1}`
		return writeHead(c, "200 OK", "Content-Type: application/json", "Content-Length: "+strconv.Itoa(len(body))) && write(c, body)
	}
	r := &run{conn: c, id: id, done: make(chan struct{})}
	if after, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		r.next = after + 1
	}
	framing := "Transfer-Encoding: chunked"
	if e.unframed {
		framing = "Connection: close"
	}
	e.mu.Lock()
	if len(e.running) >= e.slots || r.next >= e.events {
		e.mu.Unlock()
		return writeHead(c, "503 Service Unavailable", headerID+": "+id, headerNotRun+": 1", "Content-Length: 0")
	}
	ok := writeHead(c, "200 OK", headerID+": "+id, headerStamp+": st."+e.id, "Content-Type: text/event-stream", framing)
	if ok {
		e.note(id, "begins", r.next, nil)
		e.running[r] = true
	}
	e.mu.Unlock()
	if !ok {
		return false
	}
	<-r.done
	return !e.unframed
}

func writeHead(c net.Conn, status string, headers ...string) bool {
	return write(c, "HTTP/1.1 "+status+"\r\n"+strings.Join(headers, "\r\n")+"\r\n\r\n")
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// Worker is a worker's process as the platform sees it.
type Worker struct {
	ID, Address string
	cmd         *exec.Cmd
	fleet       *Fleet
	stop        chan struct{}
	once        sync.Once

	mu    sync.Mutex
	state string
}

// AddWorker starts a worker and keeps its entry in the store.
func (f *Fleet) AddWorker(id, service string, args ...string) (*Worker, error) {
	c := exec.Command(os.Args[0], append([]string{"worker", "-id", id, "-record", filepath.Join(f.dir, id+".runs")}, args...)...)
	c.Stderr = os.Stderr
	out, err := c.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.Start(); err != nil {
		return nil, err
	}
	f.track(c)
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return nil, err
	}
	w := &Worker{ID: id, Address: strings.TrimSpace(line), cmd: c, fleet: f, stop: make(chan struct{}), state: "ready"}
	go func() {
		_ = c.Wait()
	}()
	w.write(service)
	go func() {
		tick := time.NewTicker(1200 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				w.write(service)
			case <-w.stop:
				return
			}
		}
	}()
	return w, nil
}

// write writes the worker's entry.
func (w *Worker) write(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	entry, err := json.Marshal(map[string]any{"service": service, "address": w.Address, "zone": zones[0], "version": "v1", "slots": 8,
		"state": w.state, "cold_left_ms": 0, "stage": "mixed", "models": []any{}, "seq": 1})
	if err == nil {
		w.fleet.Store.Put("keyed.servers", w.ID, entry)
	}
}

// Drain reports that the worker drains.
func (w *Worker) Drain(service string) {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.write(service)
}

// End sends a signal to the worker's process and removes its entry.
func (w *Worker) End(s syscall.Signal) {
	_ = w.cmd.Process.Signal(s)
	w.once.Do(func() { close(w.stop) })
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fleet.Store.Put("keyed.servers", w.ID, nil)
}
