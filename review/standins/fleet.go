package main

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record is the case's record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

// note writes a line with the time in seconds since the beginning.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...)) // the verdict doesn't rest on it
}

// step is a line that a worker printed about a request.
type step struct {
	worker, kind, id string
	at               time.Time
}

// fleet is a small deployment in processes of their own: a store, daemons and workers.
type fleet struct {
	*record
	dir, daemon, store string

	mu        sync.Mutex
	processes []*exec.Cmd
	daemons   []*daemon
	workers   []*workerProcess
	steps     []step
	stepped   chan struct{}
}

// daemon is a daemon's process.
type daemon struct {
	name, callers, ready string
	process              *exec.Cmd
}

// workerProcess is a worker's process.
type workerProcess struct {
	name, id, address string
	starts            int
	process           *exec.Cmd
}

func newFleet(r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	f := &fleet{record: r, dir: dir, daemon: "target/tarragonhollow", stepped: make(chan struct{}, 1)}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		f.close()
		os.Exit(exitNotRun)
	}()
	return f, err
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		_ = p.Process.Kill() // it may have ended
		_ = p.Wait()         // the status is that of the signal
	}
	_ = os.RemoveAll(f.dir) // a temporary folder
}

// start starts a process; lines receives what it prints if it is not nil, and the rest goes to a
// log in the temporary folder.
func (f *fleet) start(name string, lines func(string), command string, args ...string) (*exec.Cmd, error) {
	c := exec.Command(command, args...)
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	c.Stderr = log
	if lines == nil {
		c.Stdout = log
	}
	var out io.Reader
	if lines != nil {
		if out, err = c.StdoutPipe(); err != nil {
			return nil, err
		}
	}
	if err := c.Start(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.processes = append(f.processes, c)
	f.mu.Unlock()
	if lines != nil {
		go func() {
			for s := bufio.NewScanner(out); s.Scan(); {
				lines(s.Text())
			}
		}()
	}
	return c, nil
}

// startListening starts a stand-in and returns the address that it prints first; further lines go to
// rest.
func (f *fleet) startListening(name string, rest func(string), args ...string) (*exec.Cmd, string, error) {
	address := make(chan string, 1)
	first := true
	self, err := os.Executable()
	if err != nil {
		return nil, "", err
	}
	c, err := f.start(name, func(line string) {
		if first {
			first = false
			address <- line
			return
		}
		rest(line)
	}, self, args...)
	if err != nil {
		return nil, "", err
	}
	select {
	case a := <-address:
		return c, a, nil
	case <-time.After(5 * time.Second):
		return nil, "", fmt.Errorf("%s doesn't listen", name)
	}
}

func (f *fleet) startStore() error {
	at, err := freeAddress()
	if err != nil {
		return err
	}
	_, f.store, err = f.startListening("store", func(string) {}, "store", "-address", at)
	return err
}

// startWorker starts a worker's process: a new incarnation with a new ID, at the address that it
// had before if there was one.
func (f *fleet) startWorker(w *workerProcess, args ...string) error {
	if w.address == "" {
		at, err := freeAddress()
		if err != nil {
			return err
		}
		w.address = at
	}
	w.starts++
	w.id = fmt.Sprintf("%s.%d", w.name, w.starts)
	id := w.id
	args = append([]string{"worker", "-id", id, "-store", f.store, "-address", w.address}, args...)
	c, address, err := f.startListening(w.name, func(line string) { f.observe(id, line) }, args...)
	w.process, w.address = c, address
	f.note("worker %s starts at %s", id, address)
	return err
}

// observe records a line that a worker printed.
func (f *fleet) observe(worker, line string) {
	kind, id, _ := strings.Cut(line, " ")
	f.note("worker %s: %s", worker, line)
	f.mu.Lock()
	f.steps = append(f.steps, step{worker, kind, id, time.Now()})
	f.mu.Unlock()
	select {
	case f.stepped <- struct{}{}:
	default:
	}
}

// observed returns the steps so far.
func (f *fleet) observed() []step {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]step(nil), f.steps...)
}

// firstPort and lastPort bound the ports that processes listen at: below those that the system gives to
// outgoing connections, one of which could take a port before its process listens, or while it is down.
// Each run has a block of portsOfRun to begin with.
const firstPort, lastPort, portsOfRun = 12000, 30000, 150

// nextPort is the next port to try.
var nextPort = firstPort + os.Getpid()%((lastPort-firstPort)/portsOfRun)*portsOfRun

// freeAddress returns a loopback address without a listener.
func freeAddress() (string, error) {
	for range lastPort - firstPort {
		if nextPort++; nextPort >= lastPort {
			nextPort = firstPort
		}
		address := fmt.Sprint("127.0.0.1:", nextPort)
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", fmt.Errorf("no port is free")
}

// settingsTemplate is deploy/settings.ini with the values of a small deployment.
const settingsTemplate = `[host]
name = %s
zone = z
zones = z
callers_address = %s
ready_address = %s
peer_address = %s
metrics_address = %s

[log_service]
address = %s
partitions = 12

[limits]
memory_mb = 154
cores = 0.8
stop_grace = 8s

[jobs]
readable = 120s

[scheduling]
queue = on
zone_balance = on
fair_shares = on
paced_return = on
target_rates = on
`

func (f *fleet) startDaemon(name string) error {
	var at [4]string
	for i := range at {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		at[i] = address
	}
	path := filepath.Join(f.dir, name+".ini")
	text := fmt.Sprintf(settingsTemplate, name, at[0], at[1], at[2], at[3], f.store)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	c, err := f.start(name, nil, f.daemon, "front", "--settings", path)
	f.daemons = append(f.daemons, &daemon{name, at[0], at[1], c})
	f.note("daemon %s starts at %s", name, at[0])
	return err
}

// awaitReady waits until all daemons answer their readiness checks with 200.
func (f *fleet) awaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, d := range f.daemons {
			if response, err := http.Get("http://" + d.ready + "/readyz"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(f.daemons) {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("%d of %d daemons are ready", ready, len(f.daemons))
		}
	}
}

// call makes a client's call on a new connection.
func (f *fleet) call(d *daemon, method, path string, header map[string]string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, "http://"+d.callers+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = "h.example"
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

// item is an item of a job.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// newItem returns an item whose prompt has a shared part and one of its own.
func newItem(id, shared string) item {
	return item{ID: id, Path: "/b/x", Body: base64.StdEncoding.EncodeToString([]byte("body of " + id)), Tokens: 450,
		Headers: map[string]string{"X-Tarragonhollow-Model": "m", headerTokens: "350,100", headerParts: shared + ":100," + id + ":250"}}
}

// submit submits a job until it is accepted.
func (f *fleet) submit(job string, items []item) error {
	body, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		return err
	}
	for attempt := range 5 {
		d := f.daemons[attempt%len(f.daemons)]
		status, _, err := f.call(d, http.MethodPost, "/b/"+job, map[string]string{headerRequestID: job, "Content-Type": "application/json"}, body)
		f.note("client: job %s with %d items sent to %s: %d %v", job, len(items), d.name, status, err)
		if status == http.StatusAccepted {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", job)
}

// result is an entry of a job's results.
type result struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

// results reads a job's results from the start.
func (f *fleet) results(d *daemon, job string) ([]result, error) {
	status, content, err := f.call(d, http.MethodGet, "/lots/"+job+"?after=0", nil, nil)
	var page struct {
		Total   int      `json:"total"`
		Results []result `json:"results"`
	}
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(content, &page)
	}
	f.note("client: results of job %s at %s: %d, %d of %d listed %v", job, d.name, status, len(page.Results), page.Total, err)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return page.Results, err
}
