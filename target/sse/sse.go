// Package sse splits a stream of server-sent events into complete events.
package sse

import (
	"bytes"
	"strconv"
	"strings"
)

// MaxEventBytes is the maximum size of an event. Engines' events are a few hundred
// bytes long.
const MaxEventBytes = 1 << 20

// Event is one complete event.
type Event struct {
	// Raw is the event as it was received, including the empty line that ends it.
	Raw []byte
	// ID is the event's id, -1 if it has no numeric one.
	ID int64
	// Data is the event's data. Several data lines are joined with line feeds.
	Data string
	// HasData reports whether the event has a data field, which may be empty.
	HasData bool
}

// Splitter buffers bytes until events are complete.
type Splitter struct {
	buffer []byte
}

// Write appends bytes to the buffer.
func (s *Splitter) Write(data []byte) { s.buffer = append(s.buffer, data...) }

// Next returns the next complete event, false if there is none yet. The event's Raw
// is valid until the next call of Write.
func (s *Splitter) Next() (Event, bool) {
	end := boundary(s.buffer)
	if end < 0 {
		return Event{}, false
	}
	raw := s.buffer[:end]
	s.buffer = s.buffer[end:]
	return parse(raw), true
}

// Rest returns the buffered bytes, which are not yet a complete event.
func (s *Splitter) Rest() []byte { return s.buffer }

// Overlong reports whether the incomplete event is longer than MaxEventBytes.
func (s *Splitter) Overlong() bool { return len(s.buffer) > MaxEventBytes }

// boundary returns the index after the empty line that ends the first event, -1 if
// there is none. Each line may end with a line feed or with a carriage return and a line
// feed.
func boundary(b []byte) int {
	for start := 0; ; {
		length := bytes.IndexByte(b[start:], '\n')
		if length < 0 {
			return -1
		}
		line := b[start : start+length]
		start += length + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return start
		}
	}
}

func parse(raw []byte) Event {
	e := Event{Raw: raw, ID: -1}
	var data []string
	for _, line := range strings.Split(string(raw), "\n") {
		line = strings.TrimSuffix(line, "\r")
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "id":
			if id, err := strconv.ParseInt(value, 10, 64); err == nil {
				e.ID = id
			}
		case "data":
			data = append(data, value)
		}
	}
	e.Data = strings.Join(data, "\n")
	e.HasData = len(data) > 0
	return e
}
