package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// Sizes and times of the case. The drawing-reading model runs on about twenty workers of 8 slots. Four
// of them crash at once, a share of 0.2 (the largest of isarwerk-plan), and are back after 4.5 s (5.1 s).
const (
	accusedDaemons, accusedWorkers = 4, 20
	accusedCrashes                 = 4
	accusedDownTime                = 4500 * time.Millisecond
	// settledAfter is how long after the crash the results are judged: finish_s is 18, runs that
	// failed in the last 20 s would excuse an item, and the last 5 s must be calm.
	settledAfter = 30 * time.Second
	calmTime     = 5 * time.Second
)

// accusedConfig has the batch route of isarwerk-plan.
const accusedConfig = `{"version":7,"routes":[
 {"name":"b","host":"h.example","path_prefix":"/b/","kind":"batch","timeout_ms":15000,"target_latency_ms":400,"gap_target_ms":400,"service":"lm","max_attempts":3,"priority":2,"resumable":true,"sticky":true,"completion_target_ms":18000,"retention_s":60,"cap":1900000}],
 "services":[{"name":"lm","health_path":"/healthz","max_conns":360}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// falselyAccused plays the case: workers crash while the items of a job begin there, and are back
// after some seconds. It returns the exit code.
func falselyAccused() int {
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
	if err := f.startAccused(); err != nil {
		return notRun(r, err)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	if err := f.submit("job-1", newItems("item-", "abc1")); err != nil {
		return notRun(r, err)
	}
	if err := f.crashUnder("item-", trouble); err != nil {
		return notRun(r, err)
	}
	crashed := time.Now()
	if err := f.submit("job-2", newItems("other-", "def2")); err != nil {
		return notRun(r, err)
	}
	time.Sleep(time.Until(crashed.Add(settledAfter)))
	return f.judge("job-1", "job-2")
}

// newItems returns an item for each worker that will crash; their prompts share a part.
func newItems(prefix, shared string) []item {
	var items []item
	for i := range accusedCrashes {
		items = append(items, newItem(fmt.Sprint(prefix, i), shared))
	}
	return items
}

func notRun(r *record, err error) int {
	r.note("the case couldn't run: %v", err)
	fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
	return exitNotRun
}

func (f *fleet) startAccused() error {
	if err := f.startStore(); err != nil {
		return err
	}
	if err := put(f.store, "keyed.op", "config", []byte(accusedConfig)); err != nil {
		return err
	}
	for i := range accusedWorkers {
		w := &workerProcess{name: fmt.Sprint("w", i)}
		f.workers = append(f.workers, w)
		if err := f.startWorker(w); err != nil {
			return err
		}
	}
	for i := range accusedDaemons {
		if err := f.startDaemon(fmt.Sprint("d", i)); err != nil {
			return err
		}
	}
	if err := f.awaitReady(30 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // the partitions are assigned, and taken over
	return nil
}

// crashUnder waits until the items have arrived at as many workers. With trouble it kills these
// workers, and starts them again after accusedDownTime.
func (f *fleet) crashUnder(prefix string, trouble bool) error {
	limit := time.After(10 * time.Second)
	for {
		at := map[string]bool{}
		for _, s := range f.observed() {
			if s.kind == "arrived" && strings.HasPrefix(s.id, prefix) {
				at[s.worker] = true
			}
		}
		if len(at) >= accusedCrashes {
			if trouble {
				return f.crash(at)
			}
			return nil
		}
		select {
		case <-f.stepped:
		case <-limit:
			return fmt.Errorf("the items reached %d workers", len(at))
		}
	}
}

func (f *fleet) crash(ids map[string]bool) error {
	var down []*workerProcess
	for _, w := range f.workers {
		if ids[w.id] {
			down = append(down, w)
			if err := w.process.Process.Kill(); err != nil {
				return err
			}
			f.note("worker %s crashes (SIGKILL)", w.id)
		}
	}
	time.Sleep(accusedDownTime)
	for _, w := range down {
		if err := f.startWorker(w); err != nil {
			return err
		}
	}
	return nil
}

// judge applies the rule: each item of an open job is listed, unless in the last calmTime a worker
// had one, or something was finished.
func (f *fleet) judge(jobs ...string) int {
	now, busy := time.Now(), false
	for _, s := range f.observed() {
		busy = busy || now.Sub(s.at) < calmTime
	}
	if busy {
		f.note("verdict: held: the workers were not idle for %s", calmTime)
		return exitHeld
	}
	missing := 0
	for _, job := range jobs {
		for _, d := range f.daemons {
			list, err := f.results(d, job)
			if err != nil {
				return notRun(f.record, err)
			}
			missing = max(missing, accusedCrashes-len(list))
		}
	}
	if missing > 0 {
		f.note("verdict: broken: LOST: %d items of an open job are neither listed nor run, with all %d workers up and idle", missing, len(f.workers))
		return exitBroken
	}
	f.note("verdict: held: all items are listed")
	return exitHeld
}
