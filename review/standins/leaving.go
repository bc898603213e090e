package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Sizes and times of the case.
const (
	leavingDaemons, leavingWorkerCount = 4, 18
	// leavingCount of the workers leave, a share of 0.167 (the largest of isarwerk-plan is 0.18).
	leavingCount   = 3
	leavingClients = 24
	// leavingEvents and leavingPause make a stream last 2.6 s, of the 5 s that clients allow.
	leavingEvents = 52
	leavingPause  = 50 * time.Millisecond
	// changeWindow is config_apply_ms + 1 s: what is cut later is not the change's.
	changeWindow = 3 * time.Second
	// calmBefore is how long clients send before the change.
	calmBefore = 8 * time.Second
	// refusedPause is how long a client waits after a refusal.
	refusedPause = 500 * time.Millisecond
)

// leavingConfig has a stream route that may not be resumed, as rev-tag, and one that nobody uses.
const leavingConfig = `{"version":%d,"routes":[
 {"name":"s","host":"h.example","path_prefix":"/s/","kind":"stream","timeout_ms":5000,"target_latency_ms":300,"gap_target_ms":400,"service":"lm","max_attempts":1,"priority":0,"resumable":false},
 {"name":"idle","host":"h.example","path_prefix":%q,"kind":"idempotent","timeout_ms":2500,"target_latency_ms":150,"service":"lm","max_attempts":2}],
 "services":[{"name":"lm","health_path":"/healthz","max_conns":360}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// streamEnd is how a client's stream ended.
type streamEnd struct {
	id, daemon  string
	sent, ended time.Time
	status      int
	events      int
	complete    bool
}

// leavingWorkers plays the case: the operator adds a route that nobody uses, and some workers leave in
// order. It returns the exit code.
func leavingWorkers() int {
	r, err := newRecord(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f, err := newFleet(r)
	if err != nil {
		return notRun(r, err)
	}
	defer f.close()
	if err := f.startLeaving(); err != nil {
		return notRun(r, err)
	}
	stop, ends := make(chan struct{}), make(chan streamEnd, 4096)
	var clients sync.WaitGroup
	for n := range leavingClients {
		time.Sleep(time.Second / leavingClients)
		clients.Go(func() { f.sendStreams(n, stop, ends) })
	}
	time.Sleep(calmBefore)
	f.note("operator: version 8 is sent: it adds the route /idle-2/")
	changed := time.Now()
	if err := put(f.store, "keyed.op", "config", fmt.Appendf(nil, leavingConfig, 8, "/idle-2/")); err != nil {
		return notRun(r, err)
	}
	acked := time.Now()
	if os.Getenv("TROUBLE") != "0" {
		for _, w := range f.latestBegun() {
			f.note("worker %s leaves as planned (SIGTERM)", w.id)
			if err := w.process.Process.Signal(syscall.SIGTERM); err != nil {
				return notRun(r, err)
			}
		}
	}
	time.Sleep(calmBefore)
	close(stop)
	clients.Wait()
	close(ends)
	return f.judgeStreams(ends, changed, acked)
}

func (f *fleet) startLeaving() error {
	if err := f.startStore(); err != nil {
		return err
	}
	if err := put(f.store, "keyed.op", "config", fmt.Appendf(nil, leavingConfig, 7, "/idle/")); err != nil {
		return err
	}
	for i := range leavingWorkerCount {
		w := &workerProcess{name: fmt.Sprint("w", i)}
		f.workers = append(f.workers, w)
		if err := f.startWorker(w, "-unframed", "-events", fmt.Sprint(leavingEvents), "-pause", leavingPause.String()); err != nil {
			return err
		}
	}
	for i := range leavingDaemons {
		if err := f.startDaemon(fmt.Sprint("d", i)); err != nil {
			return err
		}
	}
	return f.awaitReady(30 * time.Second)
}

// latestBegun returns the workers at which streams arrived last: those still run when a worker that
// leaves now may exit.
func (f *fleet) latestBegun() []*workerProcess {
	var list []*workerProcess
	steps := f.observed()
	for i := len(steps) - 1; i >= 0 && len(list) < leavingCount; i-- {
		for _, w := range f.workers {
			if steps[i].kind == "arrived" && w.id == steps[i].worker && !slices.Contains(list, w) {
				list = append(list, w)
			}
		}
	}
	return list
}

// sendStreams sends one stream after the other, and keeps its connection while the daemon does.
func (f *fleet) sendStreams(n int, stop chan struct{}, ends chan streamEnd) {
	d := f.daemons[n%len(f.daemons)]
	var conn net.Conn
	for i := 0; ; i++ {
		select {
		case <-stop:
			if conn != nil {
				_ = conn.Close()
			}
			return
		default:
		}
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", d.callers); err != nil {
				f.note("client %d: %v", n, err)
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		end := f.readStream(conn, fmt.Sprintf("s-%d-%d", n, i), d)
		ends <- end
		_ = conn.Close() // an answer without framing ends with its connection
		conn = nil
		if end.status != http.StatusOK {
			time.Sleep(refusedPause)
		}
	}
}

// readStream sends a request and reads its answer to the end.
func (f *fleet) readStream(conn net.Conn, id string, d *daemon) streamEnd {
	end := streamEnd{id: id, daemon: d.name, sent: time.Now()}
	_ = conn.SetDeadline(end.sent.Add(6 * time.Second)) // a read then fails
	_, _ = fmt.Fprintf(conn, "POST /s/%s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\nX-Tarragonhollow-Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody", id, headerRequestID, id)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		end.status = response.StatusCode
		var content []byte
		content, err = io.ReadAll(response.Body)
		end.events = strings.Count(string(content), "\n\n")
	}
	end.ended = time.Now()
	end.complete = err == nil
	cause := "in order"
	if errors.Is(err, syscall.ECONNRESET) {
		cause = "reset"
	} else if err != nil {
		cause = err.Error()
	}
	f.note("client: stream %s at %s: %d, %d events, %d ms, the connection ended: %s", id, d.name, end.status, end.events, end.ended.Sub(end.sent).Milliseconds(), cause)
	return end
}

// cuts counts a daemon's streams, and those that were cut though their worker sent the whole answer.
type cuts struct{ streams, cut int }

func (c *cuts) add(cut bool) {
	c.streams++
	if cut {
		c.cut++
	}
}

// judgeStreams applies the rule: beside a change of the configuration a request that was passed on to
// a worker, which sent its whole answer, ends without a complete one, at a daemon that cuts requests
// over three times as often then as at other times.
func (f *fleet) judgeStreams(ends chan streamEnd, changed, acked time.Time) int {
	finished := map[string]bool{}
	for _, s := range f.observed() {
		if s.kind == "finished" {
			finished[s.id] = true
		}
	}
	beside, other := map[string]*cuts{}, map[string]*cuts{}
	for _, d := range f.daemons {
		beside[d.name], other[d.name] = &cuts{}, &cuts{}
	}
	for e := range ends {
		cut := !e.complete && finished[e.id]
		if cut {
			f.note("cut: stream %s at %s, %d of %d events, %.3f s after the acknowledgement", e.id, e.daemon, e.events, leavingEvents, e.ended.Sub(acked).Seconds())
		}
		if e.ended.After(changed) && e.ended.Before(acked.Add(changeWindow)) {
			beside[e.daemon].add(cut)
		} else {
			other[e.daemon].add(cut)
		}
	}
	broken := false
	for _, d := range f.daemons {
		b, o := beside[d.name], other[d.name]
		f.note("%s: cut though the worker sent the whole answer: %d of %d beside the change, %d of %d at other times", d.name, b.cut, b.streams, o.cut, o.streams)
		if b.streams == 0 || o.streams == 0 {
			return notRun(f.record, errors.New("no streams"))
		}
		broken = broken || b.cut > 0 && float64(b.cut)/float64(b.streams) > 3*float64(o.cut)/float64(o.streams)
	}
	if broken {
		f.note("verdict: broken: LOST")
		return exitBroken
	}
	f.note("verdict: held")
	return exitHeld
}
