package faultproxy

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Cut is how connections are refused.
type Cut string

const (
	// CutNone lets connections through.
	CutNone Cut = ""
	// CutReset closes all connections and resets new ones once accepted.
	CutReset Cut = "reset"
	// CutRefuse closes all connections and stops listening, so that new ones
	// are refused as if the process were gone.
	CutRefuse Cut = "refuse"
)

// Stall is the direction in which bytes stop.
type Stall string

const (
	// StallNone lets bytes through.
	StallNone Stall = ""
	// StallUp holds the bytes from the client to the target.
	StallUp Stall = "up"
	// StallDown holds the bytes from the target to the client.
	StallDown Stall = "down"
	// StallBoth holds all bytes.
	StallBoth Stall = "both"
)

// Faults is the body of PUT /control/faults; each PUT replaces all of it, so
// an empty object clears the faults.
type Faults struct {
	// DelayUpMs is added to each chunk from the client to the target.
	DelayUpMs int64 `json:"delay_up_ms,omitempty"`
	// DelayDownMs is added to each chunk from the target to the client.
	DelayDownMs int64 `json:"delay_down_ms,omitempty"`
	// Cut ends all connections and refuses new ones.
	Cut Cut `json:"cut,omitempty"`
	// Stall holds bytes while connections stay open; they flow on, in order,
	// when it ends.
	Stall Stall `json:"stall,omitempty"`
	// DropAnswers cuts that many connections as the first bytes of an answer
	// to a forwarded request arrive; the target has done the request by then.
	DropAnswers int `json:"drop_answers,omitempty"`
	// DropAnswersTo restricts DropAnswers to requests whose first chunk
	// contains the text, such as "POST ", past long polls on the same proxy.
	DropAnswersTo string `json:"drop_answers_to,omitempty"`
	// OnlyFrom restricts all of the above to connections from these client
	// IPs; those of others pass untouched. Empty is every client.
	OnlyFrom []string `json:"only_from,omitempty"`
}

func (f Faults) validate() error {
	switch f.Cut {
	case CutNone, CutReset, CutRefuse:
	default:
		return fmt.Errorf("cut %q: allowed are \"\", \"reset\" and \"refuse\"", f.Cut)
	}
	switch f.Stall {
	case StallNone, StallUp, StallDown, StallBoth:
	default:
		return fmt.Errorf("stall %q: allowed are \"\", \"up\", \"down\" and \"both\"", f.Stall)
	}
	if f.DelayUpMs < 0 || f.DelayDownMs < 0 || f.DropAnswers < 0 {
		return errors.New("delays and counts must not be negative")
	}
	return f.validateClients()
}

func (f Faults) validateClients() error {
	for _, text := range f.OnlyFrom {
		if ip, err := netip.ParseAddr(text); err != nil || ip.String() != text {
			return fmt.Errorf("only_from %q: want an IP in its usual form", text)
		}
	}
	// A closed port refuses every client, also those that must pass.
	if f.Cut == CutRefuse && len(f.OnlyFrom) > 0 {
		return errors.New("cut \"refuse\" closes the port for all: use \"reset\" with only_from")
	}
	return nil
}

// on returns the faults that a client's connections meet.
func (f Faults) on(client string) Faults {
	if len(f.OnlyFrom) > 0 && !slices.Contains(f.OnlyFrom, client) {
		return Faults{}
	}
	return f
}

// direction is one of the two ways of a connection.
type direction Stall

const (
	up   direction = direction(StallUp)
	down direction = direction(StallDown)
)

func (f Faults) stalls(d direction) bool {
	return f.Stall == StallBoth || f.Stall == Stall(d)
}

func (f Faults) delay(d direction) time.Duration {
	if d == up {
		return time.Duration(f.DelayUpMs) * time.Millisecond
	}
	return time.Duration(f.DelayDownMs) * time.Millisecond
}

// faultState holds the faults in force and tells waiters of changes.
type faultState struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	held    int
}

func newFaultState() *faultState { return &faultState{changed: make(chan struct{})} }

func (s *faultState) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

func (s *faultState) set(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.faults.OnlyFrom = slices.Clone(faults.OnlyFrom)
	close(s.changed)
	s.changed = make(chan struct{})
}

// takeDrop uses up one dropped answer if the client's request matches.
func (s *faultState) takeDrop(client string, matches func(text string) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.on(client).DropAnswers == 0 || !matches(s.faults.DropAnswersTo) {
		return false
	}
	s.faults.DropAnswers--
	return true
}

// awaitFlow returns when the client's direction is not stalled, or false when
// done ends.
func (s *faultState) awaitFlow(client string, d direction, done <-chan struct{}) bool {
	for {
		faults, changed := s.get()
		if !faults.on(client).stalls(d) {
			return true
		}
		if !s.awaitChange(changed, done) {
			return false
		}
	}
}

func (s *faultState) awaitChange(changed, done <-chan struct{}) bool {
	s.countHeld(1)
	defer s.countHeld(-1)
	select {
	case <-changed:
		return true
	case <-done:
		return false
	}
}

func (s *faultState) countHeld(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held += change
}

func (s *faultState) heldNow() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}
