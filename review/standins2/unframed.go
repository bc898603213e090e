package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// streamEvents and streamStep make a stream of 4.2 s, below its deadline of 5 s.
	streamEvents, streamStep = 420, 10 * time.Millisecond
	// drainTime is how long after its report a worker is gone: drain_ms and a little longer.
	drainTime = 2200 * time.Millisecond
	// A machine stands still for frozenBefore before and frozenAfter after the worker's exit.
	frozenBefore, frozenAfter = time.Second, 600 * time.Millisecond
	// quietTime is how long the clients go on without trouble.
	quietTime = 30 * time.Second
	// departures workers are taken away one after the other; another comes before each.
	departures = 8
)

// stream is what a client received.
type stream struct {
	id, daemon string
	status     int
	body       string
	// err is nil if the response ended in the regular way.
	err error
}

// openStream sends a streaming request on a new connection and reads to the end.
func openStream(d *Daemon, id string) *stream {
	s := &stream{id: id, daemon: d.Name}
	c, err := net.DialTimeout("tcp", d.Callers, time.Second)
	if err != nil {
		s.err = err
		return s
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(7 * time.Second))
	body := "prompt"
	_, err = fmt.Fprintf(c, "POST /s/2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 5000\r\nContent-Length: %d\r\n\r\n%s", host, headerID, id, headerDeadline, len(body), body)
	if err != nil {
		s.err = err
		return s
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		s.err = err
		return s
	}
	s.status = response.StatusCode
	data, err := io.ReadAll(response.Body)
	s.body, s.err = string(data), err
	return s
}

// daemonOf returns the daemon for a client's request: a third of the clients come to the first one.
func daemonOf(fleet *Fleet, client, request int) *Daemon {
	if client%3 == 0 {
		return fleet.Daemons[0]
	}
	return fleet.Daemons[(client+request)%len(fleet.Daemons)]
}

// whole reports whether the body is the worker's whole one.
func (s *stream) whole() bool {
	var all strings.Builder
	for n := range streamEvents {
		all.WriteString(eventText(s.id, n))
	}
	return s.body == all.String()
}

// runUnframed takes workers away whose streams have neither a length nor chunks. RULES.md, MIXED and
// ORDER: an answer that ends early must not look complete.
func runUnframed(record *Record, trouble bool) (int, error) {
	fleet, err := NewFleet(record, isarwerkMemoryMB)
	if err != nil {
		return unknown, err
	}
	defer fleet.Close()
	fleet.Store.Put("keyed.op", "config", []byte(config))
	args := []string{"-events", fmt.Sprint(streamEvents), "-step", streamStep.String(), "-unframed"}
	var workers []*Worker
	add := func() error {
		w, err := fleet.AddWorker(fmt.Sprintf("i-%d", len(workers)), "lm", args...)
		workers = append(workers, w)
		return err
	}
	for range 4 {
		if err := add(); err != nil {
			return unknown, err
		}
	}
	for range 11 {
		d, err := fleet.AddDaemon()
		if err != nil {
			return unknown, err
		}
		if err := d.Start(); err != nil {
			return unknown, err
		}
	}
	if !fleet.AwaitReady(15 * time.Second) {
		return unknown, errors.New("the daemons are not ready")
	}
	stop := make(chan struct{})
	results := make(chan *stream, 10000)
	var clients sync.WaitGroup
	for n := range 30 {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * 150 * time.Millisecond)
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				results <- openStream(daemonOf(fleet, n, i), fmt.Sprintf("%08x%08x", n, i))
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(5 * time.Second)
	for r := 0; trouble && r < departures; r++ {
		if err := add(); err != nil {
			return unknown, err
		}
		time.Sleep(1500 * time.Millisecond)
		old := workers[r]
		old.Drain("lm")
		record.Note("%s reports that it drains", old.ID)
		time.Sleep(drainTime - frozenBefore)
		fleet.Daemons[0].Signal(syscall.SIGSTOP)
		record.Note("%s freezes", fleet.Daemons[0].Name)
		time.Sleep(frozenBefore)
		old.End(syscall.SIGKILL)
		record.Note("%s is gone, %v after its report", old.ID, drainTime)
		time.Sleep(frozenAfter)
		fleet.Daemons[0].Signal(syscall.SIGCONT)
		record.Note("%s wakes, after %v", fleet.Daemons[0].Name, frozenBefore+frozenAfter)
	}
	if !trouble {
		time.Sleep(quietTime)
	}
	close(stop)
	clients.Wait()
	close(results)
	fleet.NoteRuns()
	return judgeStreams(record, results), nil
}

// judgeStreams looks for responses that ended in the regular way before their last event.
func judgeStreams(record *Record, results <-chan *stream) int {
	served, cut, refused, early := 0, 0, 0, 0
	for s := range results {
		switch {
		case s.err != nil:
			cut++
			record.Note("%s at %s: %d, cut after %d bytes: %v", s.id, s.daemon, s.status, len(s.body), s.err)
		case s.status != http.StatusOK:
			refused++
		case s.whole():
			served++
		default:
			early++
			record.Note("MIXED, ORDER: %s at %s: 200, ended in the regular way after %d of %d events", s.id, s.daemon, strings.Count(s.body, "\n\n"), streamEvents)
		}
	}
	record.Note("served whole %d, refused %d, cut visibly %d, ended early as if complete %d", served, refused, cut, early)
	if early > 0 {
		return broken
	}
	return held
}
