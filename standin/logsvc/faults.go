package logsvc

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// Failure is the way in which a call affected by a fault fails.
type Failure string

const (
	// FailNone lets calls through.
	FailNone Failure = ""
	// FailUnavailable answers 503; the call has no effect.
	FailUnavailable Failure = "unavailable"
	// FailCut closes the connection without an answer; the call has no effect.
	FailCut Failure = "cut"
)

// Faults is the body of PUT /control/faults. Each PUT replaces all faults; an empty
// object clears them.
type Faults struct {
	// Outage makes every call to /v1 fail, including waiting long polls.
	Outage Failure `json:"outage,omitempty"`
	// AppendDelayMs is the delay before an append takes effect. The append is made
	// even if its caller has disconnected by then.
	AppendDelayMs int64 `json:"append_delay_ms,omitempty"`
	// ReadDelayMs is the delay before a read, a request for bounds or a listing of
	// streams is handled.
	ReadDelayMs int64 `json:"read_delay_ms,omitempty"`
	// LoseAnswersNext is the number of next appends that are made but whose
	// connections are closed without an answer.
	LoseAnswersNext int `json:"lose_answers_next,omitempty"`
	// LoseAnswersShare does the same to a random share of appends, in [0,1].
	LoseAnswersShare float64 `json:"lose_answers_share,omitempty"`
	// DenyClients lists callers whose calls fail, by X-Client header, IP or IP:PORT.
	DenyClients []string `json:"deny_clients,omitempty"`
	// DenyWith is how calls of denied callers fail; the default is FailUnavailable.
	DenyWith Failure `json:"deny_with,omitempty"`
}

// validate returns the first error in f.
func (f Faults) validate() error {
	switch {
	case !f.Outage.valid():
		return fmt.Errorf("outage %q: allowed are \"\", \"unavailable\" and \"cut\"", f.Outage)
	case !f.DenyWith.valid():
		return fmt.Errorf("deny_with %q: allowed are \"\", \"unavailable\" and \"cut\"", f.DenyWith)
	case f.AppendDelayMs < 0 || f.ReadDelayMs < 0 || f.LoseAnswersNext < 0:
		return errors.New("delays and counts must not be negative")
	case f.LoseAnswersShare < 0 || f.LoseAnswersShare > 1:
		return errors.New("lose_answers_share must lie in [0,1]")
	}
	return nil
}

// valid reports whether f is one of the Fail constants.
func (f Failure) valid() bool {
	return f == FailNone || f == FailUnavailable || f == FailCut
}

// faultState holds the faults in force and notifies waiters of changes.
type faultState struct {
	mu      sync.Mutex
	faults  Faults
	random  *rand.Rand
	changed chan struct{}
}

func newFaultState(seed uint64) *faultState {
	return &faultState{random: rand.New(rand.NewPCG(seed, seed)), changed: make(chan struct{})}
}

// set replaces the faults and wakes waiting long polls.
func (s *faultState) set(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns the faults in force and a channel that is closed when they change.
func (s *faultState) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// failure returns how a call from the client must fail, or FailNone.
func (s *faultState) failure(client, address string) Failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage != FailNone {
		return s.faults.Outage
	}
	if !s.denied(client, address) {
		return FailNone
	}
	if s.faults.DenyWith != FailNone {
		return s.faults.DenyWith
	}
	return FailUnavailable
}

// denied reports whether DenyClients lists the client or its address. The caller
// holds s.mu.
func (s *faultState) denied(client, address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	return slices.ContainsFunc(s.faults.DenyClients, func(denied string) bool {
		return denied != "" && (denied == client || denied == host || denied == address)
	})
}

// loseAnswer reports whether to withhold the answer to an append just made, and counts
// LoseAnswersNext down.
func (s *faultState) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswersNext > 0 {
		s.faults.LoseAnswersNext--
		return true
	}
	return s.faults.LoseAnswersShare > 0 && s.random.Float64() < s.faults.LoseAnswersShare
}

func (f Faults) appendDelay() time.Duration { return time.Duration(f.AppendDelayMs) * time.Millisecond }
func (f Faults) readDelay() time.Duration   { return time.Duration(f.ReadDelayMs) * time.Millisecond }
