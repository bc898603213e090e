// Package accounts holds the client accounts of one version of the configuration:
// their keys, their priority and their quota. It decides whose a request is. It is
// pure.
package accounts

import (
	"crypto/sha256"
	"strings"
	"time"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

const (
	// SureFor is how old the last word about the configuration may be for what it does
	// not hold, a key or a route, to be refused for good. A reading that waits for news
	// answers at least every second.
	SureFor = 1500 * time.Millisecond
	// UnsureRetryMs tells callers when to come back to a daemon that may have missed a
	// change. Another daemon, or this one once it has asked its peers, knows more.
	UnsureRetryMs = 250
	// bearer is the scheme of the credentials, in lower case.
	bearer = "bearer "
)

// Account is a client account.
type Account struct {
	Name string
	// Priority ranks its requests; 0 goes first. It goes before the route's.
	Priority int
	// Quota bounds its online requests over the whole fleet.
	Quota Quota
}

// Quota is a bound on requests: Rate a second, and Burst beyond them at once. A
// rate of 0 is no bound.
type Quota struct {
	Rate, Burst float64
}

// Bounded tells whether the quota bounds anything.
func (q Quota) Bounded() bool { return q.Rate > 0 }

// Entry is an account with its keys, as the operator configures it.
type Entry struct {
	Account
	Keys []string
}

// digest stands for a key. Keys are looked up by it, so that the time of a lookup
// tells nothing of the keys that are near.
type digest [sha256.Size]byte

// Set is the accounts of one configuration. It does not change. A nil Set means that
// no accounts are configured: every request is allowed and belongs to nobody.
type Set struct {
	byKey  map[digest]*Account
	byName map[string]*Account
}

// NewSet returns the accounts, and the names of those whose entry can't be used: one
// without a name, with a name that another one has, or with a key that another one
// holds. Such a key stays with the account that is listed first.
func NewSet(entries []Entry) (s *Set, faulty []string) {
	s = &Set{byKey: make(map[digest]*Account, len(entries)), byName: make(map[string]*Account, len(entries))}
	for i := range entries {
		if !s.add(&entries[i]) {
			faulty = append(faulty, entries[i].Name)
		}
	}
	return s, faulty
}

// add takes an entry and tells whether all of it could be used.
func (s *Set) add(e *Entry) bool {
	if e.Name == "" || s.byName[e.Name] != nil {
		return false
	}
	account := &e.Account
	s.byName[e.Name] = account
	whole := true
	for _, key := range e.Keys {
		d := digest(sha256.Sum256([]byte(key)))
		if holder := s.byKey[d]; key == "" || holder != nil && holder != account {
			whole = false
			continue
		}
		s.byKey[d] = account
	}
	return whole
}

// Len returns the number of accounts.
func (s *Set) Len() int {
	if s == nil {
		return 0
	}
	return len(s.byName)
}

// Named returns the account of the name, nil if there is none.
func (s *Set) Named(name string) *Account {
	if s == nil {
		return nil
	}
	return s.byName[name]
}

// Identify returns the account whose key the credentials hold; they are the values of
// a request's Authorization header. public allows a request without an account. age is
// how old the last word about the configuration is.
//
// Failure guarded against: a daemon that is cut off from the configuration does not
// hold a key that was added meanwhile. Refused for good, the caller gives up, though
// any other daemon would serve it. While the daemon can't be sure, it tells the caller
// to come back.
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
	case age > SureFor:
		return nil, outcome.Refuse(outcome.NotReady, "the key may be newer than the configuration known here").After(UnsureRetryMs)
	default:
		return nil, outcome.Refuse(outcome.Unauthorized, "no client account holds the key")
	}
}

// keyOf returns the key of a request's credentials, or why there is none.
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
