package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/caller"
	"tarragonhollow.example/tarragonhollow/core/shard"
	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/settings"
	"tarragonhollow.example/tarragonhollow/standin/faultproxy"
)

// tailBytes is how much of a daemon's log a failed spec shows.
const tailBytes = 6000

// Daemon is one daemon process.
type Daemon struct {
	// Name and Zone are those of its host; a replaced host keeps its name.
	Name, Zone string
	// Client sends requests to it.
	Client *caller.Client
	// Log is the fault proxy between it and the log.
	Log *faultproxy.Proxy

	fleet   *Fleet
	cmd     *exec.Cmd
	pid     int
	logPath string
	exited  chan struct{}
	paused  atomic.Bool
}

// Add starts one more daemon as host number i and adds it to the host list.
func (f *Fleet) Add(i int) *Daemon {
	GinkgoHelper()
	proxy, err := faultproxy.New(faultproxy.Options{Target: strings.TrimPrefix(f.LogURL, "http://")})
	Expect(err).NotTo(HaveOccurred())
	d := &Daemon{
		Name:    fmt.Sprintf("entry-%d", i+1),
		Zone:    f.Shape.Zone(i),
		Log:     proxy,
		fleet:   f,
		logPath: filepath.Join(f.dir, fmt.Sprintf("%d-entry-%d.log", len(f.Daemons), i+1)),
		exited:  make(chan struct{}),
	}
	DeferCleanup(proxy.Close)
	d.start()
	DeferCleanup(d.Kill)
	httpAddress, peerAddress := d.addresses()
	d.Client = &caller.Client{HTTP: caller.NewHTTPClient(), Base: "http://" + httpAddress, Token: Token}
	f.mu.Lock()
	f.Daemons = append(f.Daemons, d)
	f.mu.Unlock()
	Expect(f.Hosts.Put(extern.Host{
		Name: d.Name, Role: extern.RoleDaemon, Address: peerAddress, Zone: d.Zone, State: extern.HostLive,
	})).To(Succeed())
	return d
}

func (d *Daemon) settings() *settings.Settings {
	s := settings.Default()
	s.Host = settings.Host{Name: d.Name, Zone: d.Zone, HTTPAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0"}
	s.Platform.LogURL = "http://" + d.Log.Addr()
	s.Platform.HostsURL = d.fleet.HostsURL
	s.Platform.WeightsURL = d.fleet.WeightsURL
	s.Peers = settings.Peers{ProbeEvery: 50 * time.Millisecond, SuspectAfter: 300 * time.Millisecond}
	s.Ledger.Shards, s.Ledger.AppendPace, s.Ledger.Lease = shards, appendPace, time.Second
	s.Admin.Token = Token
	s.Drain = settings.Drain{Grace: 200 * time.Millisecond, Timeout: 20 * time.Second}
	if d.fleet.opts.Settings != nil {
		d.fleet.opts.Settings(&s)
	}
	return &s
}

func (d *Daemon) start() {
	GinkgoHelper()
	file := filepath.Join(d.fleet.dir, d.Name+".ini")
	Expect(os.WriteFile(file, []byte(d.settings().Encode()), 0o600)).To(Succeed())
	output, err := os.Create(d.logPath)
	Expect(err).NotTo(HaveOccurred())
	defer output.Close()
	d.cmd = exec.Command(Binary(), "serve", "--settings", file)
	d.cmd.Stdout, d.cmd.Stderr = output, output
	// The daemon ends with the test binary, also if that dies before its cleanup.
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Expect(d.cmd.Start()).To(Succeed())
	d.pid = d.cmd.Process.Pid
	go func() {
		_ = d.cmd.Wait()
		close(d.exited)
	}()
}

var startedLine = regexp.MustCompile(`event=started .*http_address=(\S+) peer_address=(\S+)`)

// addresses reads the daemon's addresses from its "started" log line.
func (d *Daemon) addresses() (httpAddress, peerAddress string) {
	GinkgoHelper()
	var found [][]byte
	Eventually(func() bool {
		text, _ := os.ReadFile(d.logPath)
		found = startedLine.FindSubmatch(text)
		return found != nil || !d.alive()
	}, WaitTimeout, PollInterval).Should(BeTrue())
	Expect(found).NotTo(BeNil(), "%s starts: %s", d.Name, d.tail())
	return string(found[1]), string(found[2])
}

// Kill ends the process with SIGKILL, as the loss of its host would, and removes it
// from the host list.
func (d *Daemon) Kill() {
	d.signal(syscall.SIGKILL)
	<-d.exited
	d.fleet.unlist(d)
}

// Pause suspends the process with SIGSTOP until Resume.
func (d *Daemon) Pause() {
	d.paused.Store(true)
	d.signal(syscall.SIGSTOP)
}

// Resume continues a paused process.
func (d *Daemon) Resume() {
	d.signal(syscall.SIGCONT)
	d.paused.Store(false)
}

// PID returns the ID of the process.
func (d *Daemon) PID() int { return d.pid }

// Terminate sends SIGTERM, which starts a graceful stop.
func (d *Daemon) Terminate() { d.signal(syscall.SIGTERM) }

// WaitExit waits until the process has exited, which must be with exit code 0.
func (d *Daemon) WaitExit() {
	GinkgoHelper()
	Eventually(d.exited, WaitTimeout, PollInterval).Should(BeClosed(), "%s stops", d.Name)
	Expect(d.cmd.ProcessState.ExitCode()).To(BeZero(), "%s: %s", d.Name, d.tail())
	d.fleet.unlist(d)
}

func (d *Daemon) signal(s syscall.Signal) {
	select {
	case <-d.exited:
	default:
		_ = syscall.Kill(d.pid, s)
	}
}

// unlist removes the host from the host list unless a replacement of the same
// name runs.
func (f *Fleet) unlist(d *Daemon) {
	for _, other := range f.started() {
		if other != d && other.Name == d.Name && other.alive() {
			return
		}
	}
	f.Hosts.Remove(d.Name)
}

func (d *Daemon) alive() bool {
	select {
	case <-d.exited:
		return false
	default:
		return !d.paused.Load()
	}
}

// CutLog cuts only this daemon off from the log, until HealLog.
func (d *Daemon) CutLog() {
	GinkgoHelper()
	Expect(d.Log.SetFaults(faultproxy.Faults{Cut: faultproxy.CutReset})).To(Succeed())
}

// HealLog removes all faults between this daemon and the log.
func (d *Daemon) HealLog() {
	GinkgoHelper()
	Expect(d.Log.SetFaults(faultproxy.Faults{})).To(Succeed())
}

// Status is the part of the GET /admin/status response that specs use.
type Status struct {
	Ready         bool   `json:"ready"`
	ConfigVersion uint64 `json:"config_version"`
	Shards        struct {
		Shards []struct {
			Shard int    `json:"shard"`
			Term  uint64 `json:"term"`
		} `json:"shards"`
	} `json:"shards"`
	Batch struct {
		// Held is the number of batch items that the daemon holds.
		Held int `json:"held"`
		// Targets are those whose batch work the daemon dispatches, or dispatched
		// until recently.
		Targets []struct {
			Group   string `json:"group"`
			Steward bool   `json:"steward"`
		} `json:"targets"`
	} `json:"batch"`
}

// BatchDispatchers returns the running daemons that dispatch batch work to a target
// group.
func (f *Fleet) BatchDispatchers(group string) []*Daemon {
	var out []*Daemon
	for _, d := range f.Running() {
		for _, t := range d.Status().Batch.Targets {
			if t.Group == group && t.Steward && !slices.Contains(out, d) {
				out = append(out, d)
			}
		}
	}
	return out
}

// Status returns the daemon's status, or the zero value if it is unreachable.
func (d *Daemon) Status() Status {
	ctx, cancel := callContext()
	defer cancel()
	var s Status
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, d.Client.Base+"/admin/status", nil)
	req.Header.Set("Authorization", "Bearer "+Token)
	resp, err := d.Client.HTTP.Do(req)
	if err != nil {
		return s
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&s)
	return s
}

// Shards returns the shards that the daemon holds.
func (d *Daemon) Shards() []int {
	var out []int
	for _, s := range d.Status().Shards.Shards {
		out = append(out, s.Shard)
	}
	return out
}

// Logged counts the daemon's log lines that contain the text.
func (d *Daemon) Logged(text string) int {
	all, _ := os.ReadFile(d.logPath)
	return bytes.Count(all, []byte(text))
}

// successLine matches the log line of a successful request. tail omits these lines
// so that they do not displace the relevant ones.
var successLine = regexp.MustCompile(`(?m)^.* event=request .* status=2.*\n`)

func (d *Daemon) tail() string {
	text, _ := os.ReadFile(d.logPath)
	text = successLine.ReplaceAll(text, nil)
	return string(text[max(0, len(text)-tailBytes):])
}

// callTimeout is the timeout of one call to a daemon.
const callTimeout = 45 * time.Second

func callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

// Owner returns the running daemon that holds the shard of a key or job. While a
// shard moves, two daemons may report it; the one with the higher term is the owner.
func (f *Fleet) Owner(name string) *Daemon {
	GinkgoHelper()
	id := shard.Of("/"+name, shards)
	var owner *Daemon
	Eventually(func() *Daemon {
		owner = nil
		highest := uint64(0)
		for _, d := range f.Running() {
			for _, s := range d.Status().Shards.Shards {
				if s.Shard == id && s.Term > highest {
					owner, highest = d, s.Term
				}
			}
		}
		return owner
	}, WaitTimeout, PollInterval).ShouldNot(BeNil(), "shard %d of %s has an owner", id, name)
	return owner
}

// Others returns the running daemons except the given ones.
func (f *Fleet) Others(excluded ...*Daemon) []*Daemon {
	return slices.DeleteFunc(f.Running(), func(d *Daemon) bool { return slices.Contains(excluded, d) })
}

// KeyOwnedBy returns a key with the prefix whose shard the daemon holds. It waits,
// since a daemon may get its first shard only from the rebalancing after a start.
func (f *Fleet) KeyOwnedBy(d *Daemon, prefix string) string {
	GinkgoHelper()
	var held []int
	Eventually(func() []int {
		held = d.Shards()
		return held
	}, WaitTimeout, PollInterval).ShouldNot(BeEmpty(), "%s holds shards", d.Name)
	for i := 0; ; i++ {
		if key := fmt.Sprintf("%s-%d", prefix, i); slices.Contains(held, shard.Of("/"+key, shards)) {
			return key
		}
	}
}
