package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	// jobInterval is the time between two jobs: 1.03 a second on the sheet of the deployment.
	jobInterval = time.Second * 100 / 103
	// jobCount jobs come before the machines are lost, jobItems items each.
	jobCount, jobItems = 82, 10
	// itemBytes is the size of an item's body: ten of them stay below max_body_bytes in base64.
	itemBytes = 300000
	// finishTime is finish_s, restartDelay how soon an ended process is started again.
	finishTime   = 18 * time.Second
	restartDelay = time.Second
	// settleTime is added to finish_s: contact_ms, and the time of the last read.
	settleTime = 4 * time.Second
)

// clientJob is a job and what its client knows of it.
type clientJob struct {
	*lot
	mu       sync.Mutex
	accepted bool
	listed   int
}

func (j *clientJob) state() (accepted bool, listed int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.accepted, j.listed
}

// submit hands the job in, at another daemon after a failure.
func (j *clientJob) submit(fleet *Fleet, first int) {
	for try := range 3 {
		d := fleet.Daemons[(first+try)%len(fleet.Daemons)]
		status, _, err := call(d.Callers, "POST", "/b/"+j.id, j.id, j.body, 5500*time.Millisecond)
		fleet.Record.Note("job %s at %s: %d %v", j.id, d.Name, status, err)
		if status == 202 {
			j.mu.Lock()
			j.accepted = true
			j.mu.Unlock()
			return
		}
	}
}

// read reads the list of results from its start.
func (j *clientJob) read(address string) {
	_, answer, err := call(address, "GET", "/lots/"+j.id+"?after=0", "", nil, 5500*time.Millisecond)
	var page struct{ Total, Next int }
	if err != nil || json.Unmarshal(answer, &page) != nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.listed = max(j.listed, page.Next)
}

// follow reads about twice a second until the job is done or stop is closed.
func (j *clientJob) follow(fleet *Fleet, first int, alive func(*Daemon) bool, stop <-chan struct{}) {
	for n := first; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
		if d := fleet.Daemons[n%len(fleet.Daemons)]; alive(d) {
			j.read(d.Callers)
		} else {
			j.read(fleet.Daemons[0].Callers)
		}
		if _, listed := j.state(); listed == j.items {
			fleet.Record.Note("job %s is done", j.id)
			return
		}
	}
}

// runTakeover has one of eleven machines left. RULES.md, LOST: when finish_s is over, an item of an
// open job is listed neither as succeeded nor as errored.
func runTakeover(record *Record, trouble bool) (int, error) {
	size := itemBytes
	if n, err := strconv.Atoi(os.Getenv("ITEM_BYTES")); err == nil {
		size = n
	}
	fleet, err := NewFleet(record, isarwerkMemoryMB)
	if err != nil {
		return unknown, err
	}
	defer fleet.Close()
	stop := make(chan struct{})
	var done sync.WaitGroup
	defer done.Wait()
	defer close(stop)
	g := &guard{fleet: fleet, kills: map[string]int{}, peak: map[string]float64{}}
	if err := startTakeover(fleet, g, &done, stop, 60, 40*time.Millisecond); err != nil {
		return unknown, err
	}
	var lost sync.Map
	alive := func(d *Daemon) bool { _, gone := lost.Load(d); return !gone }
	var jobs []*clientJob
	began := time.Now()
	for i := range jobCount {
		j := &clientJob{lot: newLot(fmt.Sprintf("%016x", 0x7c41e09b52d60000+i), jobItems, size)}
		jobs = append(jobs, j)
		done.Go(func() {
			j.submit(fleet, i)
			j.follow(fleet, i+3, alive, stop)
		})
		time.Sleep(time.Until(began.Add(time.Duration(i+1) * jobInterval)))
	}
	record.Note("the store keeps %d MB; %s", fleet.Store.Stored()>>20, g)
	if trouble {
		for _, d := range fleet.Daemons[1:] {
			lost.Store(d, true)
			d.Kill()
		}
		record.Note("10 of 11 machines are lost; %s runs on", fleet.Daemons[0].Name)
	}
	time.Sleep(finishTime + settleTime)
	record.Note("%s", g)
	return judgeTakeover(fleet, jobs), nil
}

func startTakeover(fleet *Fleet, g *guard, done *sync.WaitGroup, stop <-chan struct{}, events int, step time.Duration) error {
	fleet.Store.Put("keyed.op", "config", []byte(config))
	for i := range 6 {
		if _, err := fleet.AddWorker(fmt.Sprintf("i-%d", i), "lm", "-events", fmt.Sprint(events), "-step", step.String()); err != nil {
			return err
		}
	}
	for range 11 {
		d, err := fleet.AddDaemon()
		if err != nil {
			return err
		}
		if err := d.Start(); err != nil {
			return err
		}
		done.Go(func() { g.watch(d, stop) })
	}
	if !fleet.AwaitReady(15 * time.Second) {
		return fmt.Errorf("the daemons are not ready")
	}
	fleet.Record.Note("11 daemons are ready")
	return nil
}

// calmTime is how long no worker may have had an item for the rule to hold something missing as lost.
const calmTime = 5 * time.Second

// judgeTakeover compares what was accepted with what is listed.
func judgeTakeover(fleet *Fleet, jobs []*clientJob) int {
	ended := time.Now()
	idle := ended.Sub(fleet.NoteRuns())
	record := fleet.Record
	missing := 0
	for _, j := range jobs {
		accepted, listed := j.state()
		if accepted && listed < j.items {
			missing += j.items - listed
			record.Note("LOST: job %s was accepted; %d of %d items are listed", j.id, listed, j.items)
		}
	}
	record.Note("items of accepted jobs that are not listed %v after the last job: %d; the workers were idle for the last %.1f s",
		finishTime+settleTime, missing, idle.Seconds())
	if missing > 0 && idle >= calmTime {
		return broken
	}
	return held
}
