package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"
)

// Headers of the platform's protocol.
const (
	headerRequestID = "X-Tarragonhollow-Request-Id"
	headerInstance  = "X-Tarragonhollow-Expect-Instance"
	headerStamp     = "X-Tarragonhollow-Response-Stamp"
	headerNotRun    = "X-Tarragonhollow-Not-Run"
	headerParts     = "X-Tarragonhollow-Prefix-Hash"
	headerTokens    = "X-Tarragonhollow-Token-Counts"
	headerLastEvent = "Last-Event-Id"
)

const (
	// workerSlots is how many requests a worker runs at once, workerQueue how many more it queues.
	workerSlots = 8
	workerQueue = 24
)

// worker is a sound model worker: it streams a fixed number of events for each request, resumes
// after Last-Event-Id, and drops a request when its connection closes.
type worker struct {
	id, address, service, zone, store string
	prefill, pause                    time.Duration
	events                            int
	// unframed answers have neither a length nor chunks and end with their connection.
	unframed bool

	admitted, running chan struct{}
	draining          atomic.Bool
}

// runWorker serves until the process is ended. It prints its address and then one line for each
// step of a request: "arrived", "began", "finished" or "dropped", and the request's ID.
func runWorker(args []string) {
	flags := flag.NewFlagSet("worker", flag.ExitOnError)
	w := &worker{admitted: make(chan struct{}, workerSlots+workerQueue), running: make(chan struct{}, workerSlots)}
	flags.StringVar(&w.id, "id", "", "ID of this start")
	flags.StringVar(&w.address, "address", "127.0.0.1:0", "IP:PORT")
	flags.StringVar(&w.service, "service", "lm", "service")
	flags.StringVar(&w.zone, "zone", "z", "zone")
	flags.StringVar(&w.store, "store", "", "IP:PORT of the store")
	flags.DurationVar(&w.prefill, "prefill", 50*time.Millisecond, "time to the first event")
	flags.DurationVar(&w.pause, "pause", 15*time.Millisecond, "time between two events")
	flags.IntVar(&w.events, "events", 100, "events of an answer")
	flags.BoolVar(&w.unframed, "unframed", false, "answers end with their connection")
	drain := flags.Duration("drain", 2*time.Second, "least time between the report of draining and the exit")
	_ = flags.Parse(args) // exits on an error
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	w.address = listener.Addr().String()
	fmt.Println(w.address)
	go w.heartbeat()
	go w.leaveOnSignal(*drain)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(rw http.ResponseWriter, _ *http.Request) {
		answer(rw, map[string]any{"stage": "mixed", "models": []any{}, "waiting": 0, "running": len(w.running)})
	})
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("X-Tarragonhollow-Instance-Id", w.id)
	})
	mux.HandleFunc("/", w.serve)
	fmt.Fprintln(os.Stderr, http.Serve(listener, mux))
}

// heartbeat keeps the worker's entry in the store.
func (w *worker) heartbeat() {
	for seq := 1; ; seq++ {
		w.report(seq)
		time.Sleep(beat)
	}
}

// report writes the worker's entry.
func (w *worker) report(seq int) {
	state := "ready"
	if w.draining.Load() {
		state = "draining"
	}
	entry, _ := json.Marshal(map[string]any{ // plain values
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": workerSlots,
		"state": state, "cold_left_ms": 0, "seq": seq,
	})
	if err := put(w.store, topicServers, w.id, entry); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// leaveOnSignal leaves as planned at SIGTERM: it reports draining, serves on for the given time, lets
// what runs end, removes its entry and exits.
func (w *worker) leaveOnSignal(drain time.Duration) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	<-signals
	w.draining.Store(true)
	w.report(0)
	fmt.Println("draining -")
	time.Sleep(drain)
	if err := put(w.store, topicServers, w.id, nil); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	for len(w.admitted) > 0 {
		time.Sleep(time.Millisecond)
	}
	fmt.Println("exits -")
	os.Exit(0)
}

// put writes one keyed record.
func put(store, topic, key string, value []byte) error {
	record := append(append([]byte{byte(len(key))}, key...), value...)
	body := append(binary.BigEndian.AppendUint32(nil, uint32(len(record))), record...)
	response, err := http.Post("http://"+store+"/log-append?topic="+topic+"&part=0", "application/octet-stream", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	rw.Header().Set(headerRequestID, id)
	if r.Header.Get(headerInstance) != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case w.admitted <- struct{}{}:
	default:
		rw.Header().Set(headerNotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.admitted }()
	fmt.Println("arrived", id)
	select {
	case w.running <- struct{}{}:
	case <-r.Context().Done():
		fmt.Println("dropped", id)
		return
	}
	defer func() { <-w.running }()
	send := w.stream
	if w.unframed {
		send = w.streamUnframed
	}
	if send(rw, r, id) {
		fmt.Println("finished", id)
	} else {
		fmt.Println("dropped", id)
	}
}

// stream sends the events and reports whether all of them were sent.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request, id string) bool {
	first := 0
	if last, err := strconv.Atoi(r.Header.Get(headerLastEvent)); err == nil {
		first = last + 1
	}
	rw.Header().Set(headerStamp, w.id+"."+id)
	rw.Header().Set("Content-Type", "text/event-stream")
	wait := w.prefill
	for n := first; n < w.events; n++ {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			return false
		}
		if n == first {
			fmt.Println("began", id)
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, eventData(id, n)); err != nil {
			return false
		}
		if err := http.NewResponseController(rw).Flush(); err != nil {
			return false
		}
		wait = w.pause
	}
	return true
}

// streamUnframed is stream without chunks: the answer ends with its connection, which is closed in
// order after the last event.
func (w *worker) streamUnframed(rw http.ResponseWriter, _ *http.Request, id string) bool {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	head := "HTTP/1.1 200 OK\r\n" + headerRequestID + ": " + id + "\r\n" + headerStamp + ": " + w.id + "." + id +
		"\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	wait := w.prefill
	for n := range w.events {
		time.Sleep(wait)
		if n == 0 {
			fmt.Println("began", id)
		}
		if _, err := fmt.Fprintf(conn, "%sid: %d\ndata: %s\n\n", head, n, eventData(id, n)); err != nil {
			return false
		}
		head, wait = "", w.pause
	}
	return true
}

// eventData is the data of one event: the same at each worker.
func eventData(id string, n int) string { return id + "-" + strconv.Itoa(n) }
