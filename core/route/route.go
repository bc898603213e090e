// Package route finds the target group that serves a request: routes by host and path
// prefix, with the requirements of each class of requests. It does no I/O and reads no
// clock.
package route

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"tarragonhollow.example/tarragonhollow/core/accounts"
	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// Kind determines how a route's requests are answered and whether they may be repeated.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered by a series of numbered events and run at
	// most once, unless the route is resumable.
	Stream
	// Batch routes accept jobs of many items that run later.
	Batch
)

// String returns the kind's name for logs.
func (k Kind) String() string {
	return [...]string{"idempotent", "non_idempotent", "stream", "batch"}[k]
}

// Share is a target group's share of a route's requests.
type Share struct {
	Group  string
	Weight int
}

// Route is one class of requests.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Public routes serve callers without a key.
	Public bool
	// Priority ranks the requests of callers without an account; 0 goes first.
	Priority int
	// Resumable streams may continue at another target after the last event received.
	Resumable bool
	// Timeout is the longest time that a request may wait.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event, that callers are
	// promised.
	Objective time.Duration
	// GapObjective is the longest pause between events that callers are promised.
	GapObjective time.Duration
	// MaxAttempts is the maximum number of targets that one request may run on.
	MaxAttempts int
	// Groups are the target groups by weight; never empty.
	Groups []Share
	// Due is how long after its acceptance a job must be finished.
	Due time.Duration
	// KeepFor is how long after its acceptance an unfinished item is retried.
	KeepFor time.Duration
	// TokenCap limits, for each client account, the tokens of the accepted items that are
	// not finished; 0 means no limit.
	TokenCap int64
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Batch || r.Kind == Stream && r.Resumable
}

// QuotaKey returns the key under which the waiting tokens of an account's jobs are
// summed; account is "" for none.
func (r *Route) QuotaKey(account string) string {
	if account == "" {
		return r.Host + r.Prefix
	}
	return r.Host + r.Prefix + " " + account
}

// Rank returns the priority of an account's requests, 0 first; account is nil for none.
func (r *Route) Rank(account *accounts.Account) int {
	if account == nil {
		return r.Priority
	}
	return account.Priority
}

// GroupNames lists the groups that requests may be sent to.
func (r *Route) GroupNames() []string {
	var names []string
	for _, s := range r.Groups {
		if s.Weight > 0 || len(r.Groups) == 1 {
			names = append(names, s.Group)
		}
	}
	return names
}

// Pick returns a group by weight; random is in [0,1).
func (r *Route) Pick(random float64) string {
	total := 0
	for _, s := range r.Groups {
		total += s.Weight
	}
	rest := int(random * float64(total))
	for _, s := range r.Groups {
		if rest < s.Weight {
			return s.Group
		}
		rest -= s.Weight
	}
	return r.Groups[0].Group
}

// Limits are the limits on what a caller may send.
type Limits struct {
	// MaxHeaderBytes limits the names and values of the headers together, 0 means no
	// limit; MaxBodyBytes limits the body.
	MaxHeaderBytes int
	MaxBodyBytes   int64
}

// Table is one version of the routes. It is immutable.
type Table struct {
	Version int64
	Limits  Limits
	// Accounts are the client accounts; nil if none are configured. It is set before
	// the table is used.
	Accounts *accounts.Set
	// FaultyAccounts names the accounts whose entries could not be used completely.
	FaultyAccounts []string
	hosts          map[string][]*Route
}

// NewTable returns a table. Of two routes with the same host and prefix the first one
// applies.
func NewTable(version int64, routes []Route, limits Limits) *Table {
	t := &Table{Version: version, Limits: limits, hosts: map[string][]*Route{}}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &routes[i])
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route of the host with the longest prefix of the path, nil if there
// is none. A port in host is ignored.
func (t *Table) Match(host, path string) *Route {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.hosts[name] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Find is Match for a request. age is how long ago the configuration was last confirmed
// as current.
//
// Failure guarded against: a daemon that is cut off from the configuration lacks a route
// that was added meanwhile. If it refused the request permanently, the caller would give
// up, though any other daemon would serve it. While the configuration may be outdated,
// the caller is told to retry.
func (t *Table) Find(host, path string, age time.Duration) (*Route, *outcome.Refusal) {
	if r := t.Match(host, path); r != nil {
		return r, nil
	}
	if age > accounts.MaxConfigAge {
		return nil, outcome.Refuse(outcome.NotReady, "the route may be newer than version %d", t.Version).After(accounts.StaleRetryAfterMs)
	}
	return nil, outcome.Refuse(outcome.NotFound, "no route of version %d", t.Version)
}

// streamRoutes returns the stream routes of each host, as their groups by prefix.
func (t *Table) streamRoutes() map[string]map[string][]string {
	hosts := map[string]map[string][]string{}
	for host, list := range t.hosts {
		for _, r := range list {
			if r.Kind != Stream {
				continue
			}
			if hosts[host] == nil {
				hosts[host] = map[string][]string{}
			}
			hosts[host][r.Prefix] = r.GroupNames()
		}
	}
	return hosts
}

// MovedGroups returns the groups between which streams may have moved by the change from another
// table: all groups of the stream routes of a host whose routes differ, if there are several.
func (t *Table) MovedGroups(before *Table) []string {
	old, now := before.streamRoutes(), t.streamRoutes()
	var moved []string
	for host := range now {
		if maps.EqualFunc(old[host], now[host], slices.Equal) {
			continue
		}
		var groups []string
		for _, routes := range []map[string][]string{old[host], now[host]} {
			for _, names := range routes {
				groups = append(groups, names...)
			}
		}
		slices.Sort(groups)
		if groups = slices.Compact(groups); len(groups) > 1 {
			moved = append(moved, groups...)
		}
	}
	slices.Sort(moved)
	return slices.Compact(moved)
}

// UsedGroups returns the names of the groups that routes send requests to, sorted.
func (t *Table) UsedGroups() []string {
	var names []string
	for _, list := range t.hosts {
		for _, r := range list {
			for _, s := range r.Groups {
				if s.Weight > 0 {
					names = append(names, s.Group)
				}
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
