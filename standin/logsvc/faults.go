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

// Failure is how a call that a fault hits ends.
type Failure string

const (
	// FailNone lets calls through.
	FailNone Failure = ""
	// FailUnavailable answers 503 without effect.
	FailUnavailable Failure = "unavailable"
	// FailCut closes the connection without effect and without an answer.
	FailCut Failure = "cut"
)

// Faults is the body of PUT /control/faults; each PUT replaces all of it, so
// an empty object clears the faults.
type Faults struct {
	// Outage hits every call to /v1, also long polls that are waiting.
	Outage Failure `json:"outage,omitempty"`
	// AppendDelayMs passes before an append takes effect. The append is made
	// even if its caller has gone meanwhile.
	AppendDelayMs int64 `json:"append_delay_ms,omitempty"`
	// ReadDelayMs passes before a read or a question for bounds is looked at.
	ReadDelayMs int64 `json:"read_delay_ms,omitempty"`
	// LoseAnswersNext makes that many appends and cuts their connections.
	LoseAnswersNext int `json:"lose_answers_next,omitempty"`
	// LoseAnswersShare does so for a random share of appends, in [0,1].
	LoseAnswersShare float64 `json:"lose_answers_share,omitempty"`
	// DenyClients lists callers that alone are hit, by X-Client header, IP or
	// IP:PORT.
	DenyClients []string `json:"deny_clients,omitempty"`
	// DenyWith is how denied callers fail; the default is FailUnavailable.
	DenyWith Failure `json:"deny_with,omitempty"`
}

// validate tells the first thing that is wrong with f.
func (f Faults) validate() error {
	switch {
	case !f.Outage.known():
		return fmt.Errorf("outage %q: allowed are \"\", \"unavailable\" and \"cut\"", f.Outage)
	case !f.DenyWith.known():
		return fmt.Errorf("deny_with %q: allowed are \"\", \"unavailable\" and \"cut\"", f.DenyWith)
	case f.AppendDelayMs < 0 || f.ReadDelayMs < 0 || f.LoseAnswersNext < 0:
		return errors.New("delays and counts must not be negative")
	case f.LoseAnswersShare < 0 || f.LoseAnswersShare > 1:
		return errors.New("lose_answers_share must lie in [0,1]")
	}
	return nil
}

func (f Failure) known() bool {
	return f == FailNone || f == FailUnavailable || f == FailCut
}

// faultState holds the faults in force.
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

func (s *faultState) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// failure returns how a call by the given client must fail, if at all.
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

func (s *faultState) denied(client, address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	return slices.ContainsFunc(s.faults.DenyClients, func(denied string) bool {
		return denied != "" && (denied == client || denied == host || denied == address)
	})
}

// loseAnswer decides whether the answer of an append just made is lost.
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
