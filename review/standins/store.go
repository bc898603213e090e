package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	// topicServers holds the workers' entries. One that is not renewed for silentBeats heartbeats is
	// removed.
	topicServers = "keyed.servers"
	beat         = 1200 * time.Millisecond
	silentBeats  = 3
	// newestPage is the largest number of records in a page of newest records.
	newestPage = 500
	// maxReadWait bounds the wait of a read.
	maxReadWait = 30 * time.Second
)

// partition is one partition of a keyed topic.
type partition struct {
	records [][]byte // key length, key, value
	written []time.Time
	changed chan struct{}
}

// member is a member of a group.
type member struct {
	seen time.Time
	ttl  time.Duration
}

// group assigns the partitions of its topics to its members.
type group struct {
	members    map[string]member
	topics     []string
	generation int64
	owner      map[string]string // "topic/part" to member
}

// store is a sound platform store in memory.
type store struct {
	parts int

	mu         sync.Mutex
	partitions map[string]*partition
	groups     map[string]*group
}

// runStore serves the store's protocol until the process is ended.
func runStore(args []string) {
	flags := flag.NewFlagSet("store", flag.ExitOnError)
	address := flags.String("address", "127.0.0.1:0", "IP:PORT")
	parts := flags.Int("parts", 12, "partitions of a topic")
	_ = flags.Parse(args) // exits on an error
	s := &store{parts: *parts, partitions: map[string]*partition{}, groups: map[string]*group{}}
	listener, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	fmt.Println(listener.Addr())
	go s.expireEntries()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.newest)
	mux.HandleFunc("POST /log-trim", func(w http.ResponseWriter, _ *http.Request) { answer(w, map[string]any{}) })
	mux.HandleFunc("POST /log-join", s.join)
	mux.HandleFunc("POST /log-leave", s.leave)
	mux.HandleFunc("GET /log-owners", s.owners)
	fmt.Fprintln(os.Stderr, http.Serve(listener, mux))
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller has gone
}

// partitionOf returns the partition that a call names. s.mu is held.
func (s *store) partitionOf(topic, part string) *partition {
	name := topic + "/" + part
	if s.partitions[name] == nil {
		s.partitions[name] = &partition{changed: make(chan struct{})}
	}
	return s.partitions[name]
}

func (p *partition) add(record []byte) {
	p.records, p.written = append(p.records, record), append(p.written, time.Now())
}

func (p *partition) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		size := binary.BigEndian.Uint32(body)
		if int(size) > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records, body = append(records, slices.Clone(body[4:4+size])), body[4+size:]
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitionOf(q.Get("topic"), q.Get("part"))
	if at := q.Get("at"); at != "" && at != strconv.Itoa(len(p.records)) {
		w.WriteHeader(http.StatusPreconditionFailed)
		answer(w, map[string]any{"end": len(p.records)})
		return
	}
	offset := len(p.records)
	for _, record := range records {
		p.add(record)
	}
	p.notify()
	answer(w, map[string]any{"offset": offset, "end": len(p.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.After(min(time.Duration(ms)*time.Millisecond, maxReadWait))
	for waited := false; ; {
		s.mu.Lock()
		p := s.partitionOf(q.Get("topic"), q.Get("part"))
		end, changed := len(p.records), p.changed
		var out []byte
		if end > from || waited || ms == 0 {
			out = binary.BigEndian.AppendUint64(out, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, record := range p.records[min(from, end):] {
				out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
				out = append(out, record...)
			}
		}
		s.mu.Unlock()
		if out != nil {
			_, _ = w.Write(out) // the caller has gone
			return
		}
		select {
		case <-changed:
		case <-until:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

// newestOf returns the offset of the newest record of each key. s.mu is held.
func (p *partition) newestOf() map[string]int {
	newest := map[string]int{}
	for offset, record := range p.records {
		key, value := split(record)
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		newest[key] = offset
	}
	return newest
}

func split(record []byte) (key string, value []byte) {
	n := int(record[0])
	return string(record[1 : 1+n]), record[1+n:]
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitionOf(q.Get("topic"), q.Get("part"))
	newest := p.newestOf()
	var keys []string
	for key := range newest {
		if key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, more := []map[string]any{}, len(keys) > newestPage
	for _, key := range keys[:min(len(keys), newestPage)] {
		_, value := split(p.records[newest[key]])
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": newest[key]})
	}
	answer(w, map[string]any{"items": items, "has_more": more, "end": len(p.records)})
}

// expireEntries removes the entries of workers that have not written for some heartbeats.
func (s *store) expireEntries() {
	for range time.Tick(beat / 4) {
		s.mu.Lock()
		p := s.partitionOf(topicServers, "0")
		for key, offset := range p.newestOf() {
			if time.Since(p.written[offset]) > silentBeats*beat {
				p.add(append([]byte{byte(len(key))}, key...))
				p.notify()
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) groupOf(name string) *group {
	if s.groups[name] == nil {
		s.groups[name] = &group{members: map[string]member{}, owner: map[string]string{}}
	}
	return s.groups[name]
}

// rebalance distributes the partitions evenly over the members.
func (g *group) rebalance(parts int) {
	g.generation++
	names := make([]string, 0, len(g.members))
	for name := range g.members {
		names = append(names, name)
	}
	sort.Strings(names)
	clear(g.owner)
	for i, topic := range g.topics {
		for part := range parts {
			if len(names) > 0 {
				g.owner[topic+"/"+strconv.Itoa(part)] = names[(i+part)%len(names)]
			}
		}
	}
}

// expire removes the members that have sent nothing for their time to live.
func (g *group) expire() (changed bool) {
	for name, m := range g.members {
		if time.Since(m.seen) > m.ttl {
			delete(g.members, name)
			changed = true
		}
	}
	return changed
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Group  string   `json:"group"`
		Member string   `json:"member"`
		Topics []string `json:"topics"`
		TTLMs  int      `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groupOf(call.Group)
	changed := g.expire()
	_, known := g.members[call.Member]
	g.members[call.Member] = member{time.Now(), time.Duration(call.TTLMs) * time.Millisecond}
	for _, topic := range call.Topics {
		if !slices.Contains(g.topics, topic) {
			g.topics, changed = append(g.topics, topic), true
		}
	}
	if changed || !known {
		g.rebalance(s.parts)
	}
	rows := [][]any{}
	for _, topic := range g.topics {
		for part := range s.parts {
			if g.owner[topic+"/"+strconv.Itoa(part)] == call.Member {
				rows = append(rows, []any{topic, part, 0})
			}
		}
	}
	answer(w, map[string]any{"generation": g.generation, "parts": rows})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Group  string `json:"group"`
		Member string `json:"member"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groupOf(call.Group)
	if _, known := g.members[call.Member]; known {
		delete(g.members, call.Member)
		g.rebalance(s.parts)
	}
	answer(w, map[string]any{})
}

func (s *store) owners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groupOf(r.URL.Query().Get("group"))
	if g.expire() {
		g.rebalance(s.parts)
	}
	rows := [][]any{}
	for _, topic := range g.topics {
		for part := range s.parts {
			if owner := g.owner[topic+"/"+strconv.Itoa(part)]; owner != "" {
				rows = append(rows, []any{topic, part, owner, 0})
			}
		}
	}
	answer(w, map[string]any{"parts": rows})
}
