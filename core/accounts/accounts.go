// Package accounts holds the client accounts of one version of the configuration: their
// keys, priorities and quotas. It finds the account of a request. It does no I/O
// and reads no clock.
package accounts

import (
	"crypto/sha256"
	"strings"
	"time"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

const (
	// MaxConfigAge is the time since the configuration was last confirmed as current up to
	// which a key or route that it lacks is refused permanently. A read that waits for
	// changes returns at least every second.
	MaxConfigAge = 1500 * time.Millisecond
	// StaleRetryAfterMs is the retry delay, in milliseconds, for callers of a daemon that
	// may have missed a change. Another daemon, or this one once it has queried its
	// peers, knows more.
	StaleRetryAfterMs = 250
	// bearer is the scheme of the credentials, in lower case.
	bearer = "bearer "
)

// Account is a client account.
type Account struct {
	Name string
	// Priority ranks its requests; 0 goes first. It overrides the route's priority.
	Priority int
	// Quota bounds its online requests over the whole fleet.
	Quota Quota
}

// Quota is a limit on requests: Rate a second, and Burst beyond them at once. A rate of
// 0 means no limit.
type Quota struct {
	Rate, Burst float64
}

// Bounded reports whether the quota limits anything.
func (q Quota) Bounded() bool { return q.Rate > 0 }

// Entry is an account with its keys, as the operator configures it.
type Entry struct {
	Account
	Keys []string
}

// digest is the hash of a key. Keys are looked up by their digest, so that the time of a
// lookup reveals nothing about similar keys.
type digest [sha256.Size]byte

// Set is the accounts of one configuration. It is immutable. A nil Set means that no
// accounts are configured: every request is allowed and belongs to no account.
type Set struct {
	byKey  map[digest]*Account
	byName map[string]*Account
}

// NewSet returns the accounts, and the names of those whose entry can't be used
// completely: one without a name, with the name of another account, or with an empty key
// or another account's key. Such a key stays with the account that is listed first.
func NewSet(entries []Entry) (s *Set, faulty []string) {
	s = &Set{byKey: make(map[digest]*Account, len(entries)), byName: make(map[string]*Account, len(entries))}
	for i := range entries {
		if !s.add(&entries[i]) {
			faulty = append(faulty, entries[i].Name)
		}
	}
	return s, faulty
}

// add adds an entry and reports whether all of it could be used.
func (s *Set) add(e *Entry) bool {
	if e.Name == "" || s.byName[e.Name] != nil {
		return false
	}
	account := &e.Account
	s.byName[e.Name] = account
	complete := true
	for _, key := range e.Keys {
		d := digest(sha256.Sum256([]byte(key)))
		if holder := s.byKey[d]; key == "" || holder != nil && holder != account {
			complete = false
			continue
		}
		s.byKey[d] = account
	}
	return complete
}

// Len returns the number of accounts.
func (s *Set) Len() int {
	if s == nil {
		return 0
	}
	return len(s.byName)
}

// ByName returns the account with the name, nil if there is none.
func (s *Set) ByName(name string) *Account {
	if s == nil {
		return nil
	}
	return s.byName[name]
}

// Identify returns the account whose key the credentials hold; they are the values of a
// request's Authorization header. public allows a request without an account. age is how
// long ago the configuration was last confirmed as current.
//
// Failure guarded against: a daemon that is cut off from the configuration lacks a key
// that was added meanwhile. If it refused the key permanently, the caller would give up,
// though any other daemon would serve it. While the configuration may be outdated, the
// caller is told to retry.
func (s *Set) Identify(credentials []string, public bool, age time.Duration) (*Account, *outcome.Refusal) {
	if s == nil {
		return nil, nil
	}
	key, refusal := keyOf(credentials)
	account := s.byKey[digest(sha256.Sum256([]byte(key)))]
	switch {
	case account != nil || public:
		return account, nil
	case refusal != nil:
		return nil, refusal
	case age > MaxConfigAge:
		return nil, outcome.Refuse(outcome.NotReady, "the key may be newer than the configuration known here").After(StaleRetryAfterMs)
	default:
		return nil, outcome.Refuse(outcome.Unauthorized, "no client account holds the key")
	}
}

// keyOf returns the key in a request's credentials, or the reason why there is none.
func keyOf(credentials []string) (string, *outcome.Refusal) {
	if len(credentials) != 1 {
		return "", outcome.Refuse(outcome.Unauthorized, "the request brings %d keys, not one", len(credentials))
	}
	text := credentials[0]
	if len(text) < len(bearer) || strings.ToLower(text[:len(bearer)]) != bearer {
		return "", outcome.Refuse(outcome.Unauthorized, "the credentials are no bearer key")
	}
	key := strings.TrimSpace(text[len(bearer):])
	if key == "" {
		return "", outcome.Refuse(outcome.Unauthorized, "the key is empty")
	}
	return key, nil
}
