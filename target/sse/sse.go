// Package sse cuts a stream of server-sent events into whole events.
package sse

import (
	"bytes"
	"strconv"
	"strings"
)

// MaxEventBytes bounds one event. Events of the engines are a few hundred
// bytes long.
const MaxEventBytes = 1 << 20

// Event is one whole event.
type Event struct {
	// Raw is the event as it came, with the empty line that ends it.
	Raw []byte
	// ID is the event's number, -1 without one.
	ID int64
	// Data is the event's data; several data lines are joined by line feeds.
	Data string
	// HasData tells an event without data from one with empty data.
	HasData bool
}

// Splitter gathers bytes until events are whole.
type Splitter struct {
	buffer []byte
}

// Write adds bytes.
func (s *Splitter) Write(data []byte) { s.buffer = append(s.buffer, data...) }

// Next returns the next whole event, false if there is none yet. Raw is valid
// until the next call of Write.
func (s *Splitter) Next() (Event, bool) {
	end := boundary(s.buffer)
	if end < 0 {
		return Event{}, false
	}
	raw := s.buffer[:end]
	s.buffer = s.buffer[end:]
	return parse(raw), true
}

// Rest returns the bytes that are no whole event.
func (s *Splitter) Rest() []byte { return s.buffer }

// Overlong tells whether the unfinished event is longer than allowed.
func (s *Splitter) Overlong() bool { return len(s.buffer) > MaxEventBytes }

// boundary returns where the first event ends, behind its empty line.
func boundary(b []byte) int {
	plain := bytes.Index(b, []byte("\n\n"))
	returns := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case plain < 0 && returns < 0:
		return -1
	case plain < 0 || returns >= 0 && returns < plain:
		return returns + len("\r\n\r\n")
	default:
		return plain + len("\n\n")
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
