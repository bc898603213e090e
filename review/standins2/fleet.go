package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// zones are the zones of the deployment.
var zones = []string{"garching-a", "garching-b", "freising-1", "muc-ost"}

// logParts is the number of partitions of each topic.
const logParts = 12

// Record is the account of what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// OpenRecord opens the record file of a case.
func OpenRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, began: time.Now()}, err
}

// Note writes one line.
func (r *Record) Note(format string, args ...any) { r.NoteAt(time.Now(), format, args...) }

// NoteAt writes one line with the time of the event.
func (r *Record) NoteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f s  %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// minRun is how long a run must have lasted to count, unless it ended by itself.
const minRun = time.Second

// NoteRuns copies what the workers ran into the record, and returns when a worker last had a run that
// counts.
func (f *Fleet) NoteRuns() time.Time {
	var last time.Time
	files, _ := filepath.Glob(filepath.Join(f.dir, "*.runs"))
	for _, path := range files {
		data, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		began := map[string]time.Time{}
		for line := range strings.Lines(string(data)) {
			var ms int64
			var event int
			var worker, id, step string
			if _, err := fmt.Sscan(line, &ms, &worker, &id, &event, &step); err != nil {
				continue
			}
			at := time.UnixMilli(ms)
			f.Record.NoteAt(at, "%s: run of %s %s at event %d", worker, id, step, event)
			if step == "begins" {
				began[id] = at
			} else if step == "ends" || at.Sub(began[id]) >= minRun {
				last = latest(last, at)
			}
		}
	}
	return last
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Fleet is a deployment: the store, workers and daemons as processes of their own.
type Fleet struct {
	Store    *Store
	Record   *Record
	Daemons  []*Daemon
	dir      string
	program  string
	memoryMB int

	mu     sync.Mutex
	all    []*exec.Cmd
	closed bool
}

// NewFleet starts the store of a deployment whose files lie in a temporary folder.
func NewFleet(record *Record, memoryMB int) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	store, err := StartStore(logParts)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Store: store, Record: record, dir: dir, program: filepath.Join("target", "tarragonhollow"), memoryMB: memoryMB}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.Close()
		os.Exit(unknown)
	}()
	return f, nil
}

// Close ends every process that the fleet started.
func (f *Fleet) Close() {
	f.mu.Lock()
	all := f.all
	f.closed = true
	f.mu.Unlock()
	for _, c := range all {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
	}
	f.Store.Close()
	_ = os.RemoveAll(f.dir)
}

func (f *Fleet) track(c *exec.Cmd) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = append(f.all, c)
	if f.closed {
		_ = c.Process.Kill()
	}
}

// Daemon is one daemon and its current process.
type Daemon struct {
	Name, Zone, Callers, Ready string
	fleet                      *Fleet
	settings                   string
	number                     int

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// state is how the process ended, "" while it runs.
	state string
}

// machineAddress is the loopback address of a machine. Each run has addresses of its own, so that runs
// side by side don't take each other's ports.
func machineAddress(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid/250%200, pid%250+1, number+1)
}

// freeAddress returns IP:PORT with a free port of the machine.
func freeAddress(machine int) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(machineAddress(machine), "0"))
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// AddDaemon prepares a daemon with the settings of deploy/settings.ini; Start starts it.
func (f *Fleet) AddDaemon() (*Daemon, error) {
	n := len(f.Daemons)
	var addresses [4]string
	for i := range addresses {
		address, err := freeAddress(n)
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	d := &Daemon{Name: fmt.Sprintf("front-%d", n+1), Zone: zones[n%len(zones)], Callers: addresses[0], Ready: addresses[1], fleet: f, number: n}
	d.settings = filepath.Join(f.dir, d.Name+".ini")
	text := fmt.Sprintf(`[host]
name = %s
zone = %s
zones = %s
callers_address = %s
ready_address = %s
peer_address = %s
metrics_address = %s

[log_service]
address = %s
partitions = %d

[limits]
memory_mb = %d
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

[quotas]

overshoot = 0.1
`, d.Name, d.Zone, strings.Join(zones, ","), d.Callers, d.Ready, addresses[2], addresses[3], f.Store.Address(), logParts, f.memoryMB)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	f.Daemons = append(f.Daemons, d)
	return d, nil
}

// Start starts the daemon's process with the command of the deploy file.
func (d *Daemon) Start() error {
	log, err := os.OpenFile(filepath.Join(d.fleet.dir, d.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(d.fleet.program, "front", "--settings", d.settings)
	c.Stdout, c.Stderr = log, log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}
	if err := startOnOneCore(c, d.number); err != nil {
		return err
	}
	d.fleet.track(c)
	exited := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.exited, d.state = c, exited, ""
	d.mu.Unlock()
	go func() {
		_ = c.Wait()
		d.mu.Lock()
		if d.cmd == c {
			d.state = c.ProcessState.String()
		}
		d.mu.Unlock()
		close(exited)
	}()
	return nil
}

// startOnOneCore starts a process that sees one core, as a machine of the deployment has.
func startOnOneCore(c *exec.Cmd, number int) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return err
	}
	for core, skip := 0, number%all.Count(); ; core++ {
		if !all.IsSet(core) {
			continue
		}
		if skip--; skip < 0 {
			one.Set(core)
			break
		}
	}
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return err
	}
	defer func() { _ = unix.SchedSetaffinity(0, &all) }()
	return c.Start()
}

// Signal sends a signal to the daemon's process.
func (d *Daemon) Signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s)
	}
}

// Kill kills the process and waits for its end.
func (d *Daemon) Kill() {
	d.Signal(syscall.SIGKILL)
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// Ended returns how the process ended, "" while it runs.
func (d *Daemon) Ended() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state
}

// PID returns the process's ID.
func (d *Daemon) PID() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd.Process.Pid
}

// AnonMB returns the anonymous memory of a process in MiB: what it has allocated, without the pages
// of its program file. It is 0 for one that has ended.
func AnonMB(pid int) float64 {
	f, err := os.Open(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(text)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// IsReady asks the daemon as the platform does.
func (d *Daemon) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.Ready + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until all daemons are ready.
func (f *Fleet) AwaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, d := range f.Daemons {
		for !d.IsReady() {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}
