package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"tarragonhollow.example/tarragonhollow/caller"
)

// clockTicks is the number of ticks a second in which the kernel counts CPU time.
const clockTicks = 100

// daemon is one process of the fleet.
type daemon struct {
	host   string
	pid    int
	client *caller.Client
}

// fleet is a fleet started by bench/fleet.sh.
type fleet struct {
	dir     string
	daemons []daemon
	log     string // the log stand-in's address
}

func openFleet(dir string) (*fleet, error) {
	urls, err := os.ReadFile(filepath.Join(dir, "daemons"))
	if err != nil {
		return nil, err
	}
	address, err := os.ReadFile(filepath.Join(dir, "log.address"))
	if err != nil {
		return nil, err
	}
	token := os.Getenv("TARRAGONHOLLOW_TOKEN")
	if token == "" {
		token = "bench-operator-token"
	}
	f := &fleet{dir: dir, log: strings.TrimSpace(string(address))}
	pool := caller.NewHTTPClient()
	for i, url := range strings.Fields(string(urls)) {
		text, err := os.ReadFile(filepath.Join(dir, fmt.Sprintf("daemon-%d.pid", i+1)))
		if err != nil {
			return nil, err
		}
		pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
		if err != nil {
			return nil, err
		}
		d := daemon{host: fmt.Sprintf("entry-%d", i+1), pid: pid}
		d.client = &caller.Client{HTTP: pool, Base: url, Token: token}
		f.daemons = append(f.daemons, d)
	}
	return f, nil
}

// cpuTime returns the CPU time that all daemons together have used.
func (f *fleet) cpuTime() time.Duration {
	ticks := 0
	for _, d := range f.daemons {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.pid))
		if err != nil {
			continue // killed by this command
		}
		fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+2:]))
		user, _ := strconv.Atoi(fields[11])
		system, _ := strconv.Atoi(fields[12])
		ticks += user + system
	}
	return time.Duration(ticks) * time.Second / clockTicks
}

// largestMemory returns the resident memory of the largest daemon in MiB.
func (f *fleet) largestMemory() float64 {
	largest := 0.0
	for _, d := range f.daemons {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", d.pid))
		if err != nil {
			continue
		}
		pages, _ := strconv.Atoi(strings.Fields(string(text))[1])
		largest = max(largest, float64(pages*os.Getpagesize())/(1<<20))
	}
	return largest
}

// logStats are the counters of the log stand-in.
type logStats struct {
	Appends int64 `json:"appends"`
	Bytes   int64 `json:"bytes"`
}

func (f *fleet) logStats() logStats {
	var stats logStats
	response, err := http.Get("http://" + f.log + "/control/stats")
	if err != nil {
		return stats
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&stats)
	return stats
}

// status is the part of the response to GET /admin/status that is used here.
type status struct {
	Hosts []struct {
		Host   string `json:"host"`
		State  string `json:"state"`
		Shards []int  `json:"shards"`
	} `json:"hosts"`
}

// status returns the daemon's view of the fleet.
func (d *daemon) status(ctx context.Context) (status, error) {
	var s status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, d.client.Base+"/admin/status", nil)
	if err != nil {
		return s, err
	}
	request.Header.Set("Authorization", "Bearer "+d.client.Token)
	response, err := d.client.HTTP.Do(request)
	if err != nil {
		return s, err
	}
	defer func() { _ = response.Body.Close() }()
	return s, json.NewDecoder(response.Body).Decode(&s)
}

// held maps each shard to the host that holds it.
func (s status) held() map[int]string {
	held := map[int]string{}
	for _, h := range s.Hosts {
		for _, id := range h.Shards {
			held[id] = h.Host
		}
	}
	return held
}
