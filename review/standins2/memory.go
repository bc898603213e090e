package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// isarwerkMemoryMB is the memory of a machine of the deployment.
	isarwerkMemoryMB = 154
	host             = "h.example"
)

// config is the operator's configuration.
const config = `{"version":7,"routes":[
{"name":"s","host":"h.example","path_prefix":"/s/","kind":"stream","timeout_ms":5000,"target_latency_ms":300,"priority":0,"service":"lm","max_attempts":1,"sticky":true,"resumable":false,"gap_target_ms":400},
{"name":"b","host":"h.example","path_prefix":"/b/","kind":"batch","timeout_ms":15000,"target_latency_ms":400,"priority":2,"service":"lm","max_attempts":3,"completion_target_ms":18000,"retention_s":60,"cap":1900000}],
"services":[{"name":"lm","health_path":"/healthz","max_conns":360,"protocol":"h1","tls":false,"engine":{"slots":8}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// lot is a batch job as its client sends it.
type lot struct {
	id    string
	items int
	body  []byte
}

// newLot returns a job of items with bodies of the given size.
func newLot(id string, items, bodyBytes int) *lot {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    string            `json:"body"`
		Tokens  int               `json:"tokens"`
	}
	var list []item
	for i := range items {
		data := bytes.Repeat([]byte{byte(i), 'x', 'y'}, bodyBytes/3)
		list = append(list, item{ID: fmt.Sprintf("%s-i%d", id, i), Path: "/b/3/" + id, Headers: map[string]string{"X-Tarragonhollow-Model": "m"},
			Body: base64.StdEncoding.EncodeToString(data), Tokens: 540})
	}
	body, _ := json.Marshal(map[string]any{"items": list})
	return &lot{id: id, items: items, body: body}
}

// call makes one call on a new connection.
func call(address, method, path, id string, body []byte, limit time.Duration) (int, []byte, error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = host
	request.Close = true
	if id != "" {
		request.Header.Set(headerID, id)
	}
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// guard is the platform's bound of a machine's memory: a process that exceeds it is killed, and
// started again after a short delay.
type guard struct {
	fleet *Fleet
	mu    sync.Mutex
	kills map[string]int
	peak  map[string]float64
}

// String lists the largest memory of each daemon and how often it was killed.
func (g *guard) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	text := "largest memory in MB:"
	for _, name := range slices.Sorted(maps.Keys(g.peak)) {
		text += fmt.Sprintf(" %s %.0f (killed %d times)", name, g.peak[name], g.kills[name])
	}
	return text
}

// watch kills the daemon's process whenever it exceeds the memory, and starts it again.
func (g *guard) watch(d *Daemon, stop <-chan struct{}) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		if d.Ended() != "" {
			continue
		}
		used := AnonMB(d.PID())
		g.mu.Lock()
		g.peak[d.Name] = max(g.peak[d.Name], used)
		g.mu.Unlock()
		if used > isarwerkMemoryMB {
			g.replace(d, used)
		}
	}
}

func (g *guard) replace(d *Daemon, used float64) {
	g.mu.Lock()
	g.kills[d.Name]++
	g.mu.Unlock()
	g.fleet.Record.Note("%s holds %.0f MB of %d MB: killed by the platform", d.Name, used, isarwerkMemoryMB)
	d.Kill()
	time.Sleep(restartDelay)
	if err := d.Start(); err != nil {
		g.fleet.Record.Note("%s could not be started: %v", d.Name, err)
		return
	}
	g.fleet.Record.Note("%s is started again", d.Name)
}
