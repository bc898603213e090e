package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// burstTimes more jobs come for burstTime: the largest dose of the site file.
	burstTimes, burstTime = 6, 3 * time.Second
	// loadTime is how long jobs come. A burst begins at each of burstStarts.
	loadTime = 80 * time.Second
)

var burstStarts = []time.Duration{56 * time.Second, 62 * time.Second, 68 * time.Second, 74 * time.Second}

// intervalAt returns the time between two jobs.
func intervalAt(passed time.Duration, bursts bool) time.Duration {
	for _, start := range burstStarts {
		if bursts && passed >= start && passed < start+burstTime {
			return jobInterval / burstTimes
		}
	}
	return jobInterval
}

// runFull has many jobs come at once, several times. RULES.md, LOST: when finish_s is over, an item of
// an open job is listed neither as succeeded nor as errored.
func runFull(record *Record, trouble bool) (int, error) {
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
	if err := startTakeover(fleet, g, &done, stop, 60, 10*time.Millisecond); err != nil {
		return unknown, err
	}
	var jobs []*clientJob
	alive := func(*Daemon) bool { return true }
	began := time.Now()
	for passed := time.Duration(0); passed < loadTime; passed = time.Since(began) {
		n := len(jobs)
		j := &clientJob{lot: newLot(fmt.Sprintf("%016x", 0x7c41e09b52d60000+n), jobItems, itemBytes)}
		jobs = append(jobs, j)
		done.Go(func() {
			j.submit(fleet, n)
			j.follow(fleet, n+3, alive, stop)
		})
		time.Sleep(intervalAt(passed, trouble) - (time.Since(began) - passed))
	}
	record.Note("%d jobs were sent; the store keeps %d MB; %s", len(jobs), fleet.Store.Stored()>>20, g)
	time.Sleep(finishTime + settleTime)
	record.Note("the store keeps %d MB; %s", fleet.Store.Stored()>>20, g)
	return judgeTakeover(fleet, jobs), nil
}
