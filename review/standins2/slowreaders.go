package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// largeJobItems is the most that a job may have, largeJobEvents the events of an item.
	largeJobItems, largeJobEvents = 200, 208
	// slowReaders read at each of two daemons, slowRate bytes a second: more than a daemon asks of a
	// client that reads slowly, 64 KiB in 5 s.
	slowReaders, slowRate = 220, 24 << 10
	// They come readerPause apart, in rounds of at most roundTime.
	readerPause, roundTime, roundPause, rounds = 25 * time.Millisecond, 9 * time.Second, 4 * time.Second, 5
	// segmentBytes and windowBytes make a link with small windows, as DEPLOY.md says.
	segmentBytes, windowBytes = 1400, 16 << 10
)

// slowDialer opens connections with small windows.
var slowDialer = net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = errors.Join(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, windowBytes),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, segmentBytes))
	})
	return errors.Join(err, controlErr)
}}

// readSlowly reads a job's results from the start, at the given rate, 0 for any.
func readSlowly(d *Daemon, job string, rate int, stop <-chan struct{}) (int64, error) {
	c, err := slowDialer.Dial("tcp", d.Callers)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	if _, err := fmt.Fprintf(c, "GET /lots/%s?after=0 HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", job, host); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(c, 4096), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", response.StatusCode)
	}
	if rate == 0 {
		return io.Copy(io.Discard, response.Body)
	}
	const turn = 250 * time.Millisecond
	tick := time.NewTicker(turn)
	defer tick.Stop()
	total := int64(0)
	for {
		n, err := io.CopyN(io.Discard, response.Body, int64(rate)*int64(turn)/int64(time.Second))
		total += n
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
		select {
		case <-tick.C:
		case <-stop:
			return total, nil
		}
	}
}

// runSlowReaders has clients read results slowly. RULES.md, Fault: on a tenth of the machines, two at
// least, processes end by themselves three times; memory over the limit counts.
func runSlowReaders(record *Record, trouble bool) (int, error) {
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
	if err := startTakeover(fleet, g, &done, stop, largeJobEvents, 5*time.Millisecond); err != nil {
		return unknown, err
	}
	j := &clientJob{lot: newLot("7c41e09b52d6a3f8", largeJobItems, 3000)}
	j.submit(fleet, 0)
	for began := time.Now(); ; time.Sleep(500 * time.Millisecond) {
		_, answer, _ := call(fleet.Daemons[0].Callers, "GET", "/lots/"+j.id+fmt.Sprintf("?after=%d", largeJobItems-1), "", nil, 5*time.Second)
		var page struct{ Next int }
		if json.Unmarshal(answer, &page) == nil && page.Next == largeJobItems {
			break
		}
		if time.Since(began) > 40*time.Second {
			return unknown, errors.New("the job is not done")
		}
	}
	record.Note("job %s is done; %s", j.id, g)
	rate := slowRate
	if !trouble {
		rate = 0
	}
	for round := range rounds {
		readRound(fleet, g, j.id, rate, round)
		if !fleet.AwaitReady(15 * time.Second) {
			record.Note("not all daemons are ready again")
		}
		time.Sleep(roundPause)
	}
	fleet.NoteRuns()
	record.Note("%s", g)
	return g.judge(record), nil
}

// readRound has slowReaders clients at each of two daemons read the job once.
func readRound(fleet *Fleet, g *guard, job string, rate, round int) {
	before := []int{g.killsOf(fleet.Daemons[0]), g.killsOf(fleet.Daemons[1])}
	stop := make(chan struct{})
	var readers sync.WaitGroup
	var mu sync.Mutex
	whole, failed, open := 0, 0, 0
	for range slowReaders {
		for _, d := range fleet.Daemons[:2] {
			readers.Go(func() {
				_, err := readSlowly(d, job, rate, stop)
				mu.Lock()
				defer mu.Unlock()
				select {
				case <-stop:
					open++
				default:
					if err == nil {
						whole++
					} else {
						failed++
					}
				}
			})
		}
		time.Sleep(readerPause)
	}
	for began := time.Now(); time.Since(began) < roundTime; time.Sleep(100 * time.Millisecond) {
		if g.killsOf(fleet.Daemons[0]) > before[0] && g.killsOf(fleet.Daemons[1]) > before[1] {
			break
		}
	}
	close(stop)
	readers.Wait()
	fleet.Record.Note("round %d: %d reads ended whole, %d failed, %d were going on", round+1, whole, failed, open)
}

func (g *guard) killsOf(d *Daemon) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.kills[d.Name]
}

// judge applies the rule Fault.
func (g *guard) judge(record *Record) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	machines := 0
	for _, kills := range g.kills {
		if kills >= 3 {
			machines++
		}
	}
	record.Note("machines whose processes ended by themselves three times: %d of %d", machines, len(g.fleet.Daemons))
	if machines >= 2 && machines*10 >= len(g.fleet.Daemons) {
		return broken
	}
	return held
}
