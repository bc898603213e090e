package faultproxy

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Cut is the way in which connections are closed and refused.
type Cut string

const (
	// CutNone lets connections through.
	CutNone Cut = ""
	// CutReset resets all connections, and new ones once they are accepted.
	CutReset Cut = "reset"
	// CutRefuse resets all connections and stops listening, so that new ones are
	// refused as if the process had died.
	CutRefuse Cut = "refuse"
)

// Stall is the direction in which no bytes are delivered.
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

// Faults is the body of PUT /control/faults. Each PUT replaces all faults; an empty
// object clears them.
type Faults struct {
	// DelayUpMs delays each chunk from the client to the target.
	DelayUpMs int64 `json:"delay_up_ms,omitempty"`
	// DelayDownMs delays each chunk from the target to the client.
	DelayDownMs int64 `json:"delay_down_ms,omitempty"`
	// Cut ends all connections and refuses new ones.
	Cut Cut `json:"cut,omitempty"`
	// Stall holds bytes back while connections stay open. They are delivered in order
	// when the stall ends.
	Stall Stall `json:"stall,omitempty"`
	// DropAnswers is the number of connections to reset when the first bytes of an
	// answer to a forwarded request arrive. By then the target has executed the
	// request.
	DropAnswers int `json:"drop_answers,omitempty"`
	// DropAnswersTo restricts DropAnswers to requests whose first chunk contains the
	// text, such as "POST ", so that long polls through the same proxy are not
	// affected.
	DropAnswersTo string `json:"drop_answers_to,omitempty"`
	// OnlyFrom restricts all of the above to connections from these client IPs. Empty
	// means every client.
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
	// A closed port refuses every client, including those not in OnlyFrom.
	if f.Cut == CutRefuse && len(f.OnlyFrom) > 0 {
		return errors.New("cut \"refuse\" closes the port for all: use \"reset\" with only_from")
	}
	return nil
}

// forClient returns the faults that apply to a client's connections.
func (f Faults) forClient(client string) Faults {
	if len(f.OnlyFrom) > 0 && !slices.Contains(f.OnlyFrom, client) {
		return Faults{}
	}
	return f
}

// direction is one of the two directions of a connection.
type direction Stall

const (
	up   direction = direction(StallUp)
	down direction = direction(StallDown)
)

// stalls reports whether the direction is stalled.
func (f Faults) stalls(d direction) bool {
	return f.Stall == StallBoth || f.Stall == Stall(d)
}

func (f Faults) delay(d direction) time.Duration {
	if d == up {
		return time.Duration(f.DelayUpMs) * time.Millisecond
	}
	return time.Duration(f.DelayDownMs) * time.Millisecond
}

// faultState holds the faults in force and notifies waiters of changes.
type faultState struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	held    int
}

func newFaultState() *faultState { return &faultState{changed: make(chan struct{})} }

// get returns the faults in force and a channel that is closed when they change.
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

// consumeDrop reports whether to drop the answer to the client's request, and if so
// decrements DropAnswers.
func (s *faultState) consumeDrop(client string, matches func(text string) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.forClient(client).DropAnswers == 0 || !matches(s.faults.DropAnswersTo) {
		return false
	}
	s.faults.DropAnswers--
	return true
}

// awaitUnstalled blocks until the client's direction is not stalled. It returns false
// if done is closed first.
func (s *faultState) awaitUnstalled(client string, d direction, done <-chan struct{}) bool {
	for {
		faults, changed := s.get()
		if !faults.forClient(client).stalls(d) {
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

func (s *faultState) heldCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}
