package main

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// answerTime is how long the store takes for an answer.
	answerTime = 4 * time.Millisecond
	// maxRecordBytes, maxCallBytes, pageBytes and pageItems are the limits of PROTOCOL.md.
	maxRecordBytes = 262144
	maxCallBytes   = 2097152
	pageBytes      = 1 << 20
	pageItems      = 500
	// storedBytes is the size from which on appends are refused.
	storedBytes = 400 << 20
)

// stored is one record of a partition.
type stored struct {
	offset int64
	key    string
	value  []byte
	raw    []byte
}

// partKey names a partition.
type partKey struct {
	topic string
	part  int
}

// storePart is a partition; keyed topics keep the newest record of each key. The records of the
// history are dropped by size, which the pages allow at any time.
type storePart struct {
	first  int64
	log    []stored
	newest map[string]stored
}

func (p *storePart) end() int64 { return p.first + int64(len(p.log)) }

// member is a member of a group.
type member struct {
	name    string
	renewed time.Time
	ttl     time.Duration
	// generation is the last one with which the member has joined.
	generation int64
}

// memberGroup assigns partitions to members.
type memberGroup struct {
	generation int64
	members    []*member
	topics     []string
	// owner is who holds each partition, wanted who is to get it.
	owner, wanted map[partKey]string
}

// Store is a stand-in of the platform's metadata store, in memory.
type Store struct {
	parts    int
	server   *http.Server
	listener net.Listener

	mu      sync.Mutex
	byPart  map[partKey]*storePart
	bytes   int
	groups  map[string]*memberGroup
	changed chan struct{}
}

// StartStore starts a store on a free loopback port.
func StartStore(parts int) (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{parts: parts, listener: listener, byPart: map[partKey]*storePart{}, groups: map[string]*memberGroup{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.newest)
	mux.HandleFunc("POST /log-join", s.join)
	mux.HandleFunc("POST /log-leave", s.leave)
	mux.HandleFunc("GET /log-owners", s.owners)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Address returns IP:PORT.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes a record as the operator and the workers do; without a value it removes the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.part(partKey{topic, 0}), encodeRecord(key, value))
	s.wake()
}

// Stored returns how many bytes the store keeps.
func (s *Store) Stored() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

func encodeRecord(key string, value []byte) []byte {
	raw := append([]byte{byte(len(key))}, key...)
	return append(raw, value...)
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) part(k partKey) *storePart {
	p := s.byPart[k]
	if p == nil {
		p = &storePart{newest: map[string]stored{}}
		s.byPart[k] = p
	}
	return p
}

// add appends one record to a keyed partition.
func (s *Store) add(p *storePart, raw []byte) {
	r := stored{offset: p.end(), raw: raw}
	if n := int(raw[0]); len(raw) > n {
		r.key, r.value = string(raw[1:1+n]), raw[1+n:]
	}
	p.log = append(p.log, r)
	s.bytes += len(raw) - len(p.newest[r.key].raw)
	if len(r.value) == 0 {
		s.bytes -= len(raw)
		delete(p.newest, r.key)
		return
	}
	p.newest[r.key] = r
}

func splitRecords(body []byte) ([][]byte, bool) {
	var list [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || n > maxRecordBytes || len(body) < 4+n {
			return nil, false
		}
		list = append(list, body[4:4+n])
		body = body[4+n:]
	}
	return list, true
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(answerTime)
	query := r.URL.Query()
	part, _ := strconv.Atoi(query.Get("part"))
	records, ok := splitRecords(body)
	if !ok || len(body) > maxCallBytes {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bytes > storedBytes {
		w.WriteHeader(http.StatusInsufficientStorage)
		return
	}
	p := s.part(partKey{query.Get("topic"), part})
	if text := query.Get("at"); text != "" {
		if at, _ := strconv.ParseInt(text, 10, 64); at != p.end() {
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": p.end()})
			return
		}
	}
	offset := p.end()
	for _, raw := range records {
		s.add(p, raw)
	}
	s.wake()
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": p.end()})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	part, _ := strconv.Atoi(query.Get("part"))
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := wait > 0; ; {
		out, gone, changed := s.readOnce(partKey{query.Get("topic"), part}, from)
		switch {
		case gone:
			writeJSON(w, http.StatusGone, map[string]any{"first": from})
			return
		case len(out) > 16 || !waiting:
			time.Sleep(answerTime)
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) readOnce(k partKey, from int64) (out []byte, gone bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(k)
	if from < p.first {
		return nil, true, nil
	}
	out = binary.BigEndian.AppendUint64(nil, uint64(p.end()))
	out = binary.BigEndian.AppendUint64(out, uint64(p.first))
	for i := max(0, from-p.first); i < int64(len(p.log)) && len(out) < pageBytes; i++ {
		raw := p.log[i].raw
		out = binary.BigEndian.AppendUint32(out, uint32(len(raw)))
		out = append(out, raw...)
	}
	return out, false, s.changed
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	query := r.URL.Query()
	part, _ := strconv.Atoi(query.Get("part"))
	after := query.Get("after")
	s.mu.Lock()
	p := s.part(partKey{query.Get("topic"), part})
	var list []stored
	for key, record := range p.newest {
		if key > after {
			list = append(list, record)
		}
	}
	end := p.end()
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b stored) int { return cmp.Compare(a.key, b.key) })
	items, size := []map[string]any{}, 0
	for _, record := range list {
		if size += len(record.raw); len(items) == pageItems || size > pageBytes && len(items) > 0 {
			break
		}
		items = append(items, map[string]any{"key": record.key, "value": base64.StdEncoding.EncodeToString(record.value), "offset": record.offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": len(items) < len(list), "end": end})
}

func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Group, Member string
		Topics        []string
		TTL           int64 `json:"ttl_ms"`
		Generation    int64
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[call.Group]
	if g == nil {
		g = &memberGroup{owner: map[partKey]string{}, wanted: map[partKey]string{}}
		s.groups[call.Group] = g
	}
	g.topics = call.Topics
	g.expire()
	m := g.member(call.Member)
	if m == nil {
		m = &member{name: call.Member}
		g.members = append(g.members, m)
		g.deal(s.parts)
	}
	m.renewed, m.ttl, m.generation = time.Now(), time.Duration(call.TTL)*time.Millisecond, call.Generation
	if m.generation >= g.generation { // it knows what it no longer holds
		for k, owner := range g.owner {
			if owner == m.name && g.wanted[k] != m.name {
				g.owner[k] = ""
			}
		}
	}
	rows := [][]any{}
	for k, wanted := range g.wanted {
		if wanted != m.name {
			continue
		}
		if g.owner[k] == "" {
			g.owner[k] = m.name
		}
		if g.owner[k] == m.name {
			rows = append(rows, []any{k.topic, k.part, 0})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"generation": g.generation, "ttl_ms": call.TTL, "parts": rows})
}

func (g *memberGroup) member(name string) *member {
	for _, m := range g.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

// expire removes the members that have not renewed in time.
func (g *memberGroup) expire() {
	for _, m := range slices.Clone(g.members) {
		if time.Since(m.renewed) > m.ttl && !m.renewed.IsZero() {
			g.remove(m.name)
		}
	}
}

// remove removes a member, whose partitions are free at once.
func (g *memberGroup) remove(name string) {
	g.members = slices.DeleteFunc(g.members, func(m *member) bool { return m.name == name })
	parts := 0
	for k, owner := range g.owner {
		parts = max(parts, k.part+1)
		if owner == name {
			g.owner[k] = ""
		}
	}
	g.deal(parts)
}

// deal distributes the partitions evenly.
func (g *memberGroup) deal(parts int) {
	g.generation++
	if len(g.members) == 0 {
		return
	}
	n := 0
	for _, topic := range g.topics {
		for part := range parts {
			g.wanted[partKey{topic, part}] = g.members[n%len(g.members)].name
			n++
		}
	}
}

func (s *Store) leave(w http.ResponseWriter, r *http.Request) {
	var call struct{ Group, Member string }
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[call.Group]; g != nil && g.member(call.Member) != nil {
		g.remove(call.Member)
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (s *Store) owners(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{}
	if g := s.groups[r.URL.Query().Get("group")]; g != nil {
		g.expire()
		for k, owner := range g.owner {
			if owner != "" {
				rows = append(rows, []any{k.topic, k.part, owner, 0})
			}
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"parts": rows})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
