// Package hostlist is a stand-in for the platform's host list in tests and trials.
// The list is changed over HTTP, and each change becomes visible only after a lag.
package hostlist

import (
	"errors"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/standin/control"
)

// Options configures a Server.
type Options struct {
	// Lag is the time until a change is visible in GET /v1/hosts.
	Lag time.Duration
	// Hosts is the initial list, version 1.
	Hosts []extern.Host
	// Now returns the current time; the default is time.Now.
	Now func() time.Time
}

// Faults is the body of PUT /control/faults.
type Faults struct {
	// Outage makes GET /v1/hosts answer 503.
	Outage bool `json:"outage"`
	// LagMs replaces the lag, including for changes already made; null keeps it.
	LagMs *int64 `json:"lag_ms,omitempty"`
}

// change is a version of the list and the time at which it was made.
type change struct {
	at   time.Time
	view extern.HostView
}

// Server serves the host list.
type Server struct {
	now  func() time.Time
	echo *echo.Echo

	mu      sync.Mutex
	lag     time.Duration
	outage  bool
	history []change
}

// New returns a server on which Options.Hosts are visible at once.
func New(opts Options) (*Server, error) {
	if opts.Lag < 0 {
		return nil, errors.New("hostlist: lag must not be negative")
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	s := &Server{now: opts.Now, lag: opts.Lag, echo: control.NewEcho()}
	for _, host := range opts.Hosts {
		if err := validate(host); err != nil {
			return nil, err
		}
	}
	// The zero time is older than any lag.
	s.history = []change{{view: extern.HostView{Version: 1, Hosts: sorted(opts.Hosts)}}}
	s.routes()
	return s, nil
}

func (s *Server) routes() {
	s.echo.GET("/v1/hosts", s.get)
	s.echo.GET("/control/hosts", s.getCurrent)
	s.echo.PUT("/control/hosts/:name", s.put)
	s.echo.DELETE("/control/hosts/:name", s.remove)
	s.echo.PUT("/control/faults", s.putFaults)
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler { return s.echo }

// Close does nothing; the server runs no goroutines.
func (s *Server) Close() {}

// Put adds or replaces a host.
func (s *Server) Put(host extern.Host) error {
	if err := validate(host); err != nil {
		return err
	}
	s.change(func(hosts []extern.Host) []extern.Host {
		return append(without(hosts, host.Name), host)
	})
	return nil
}

// Remove removes a host from the list and reports whether it was listed.
func (s *Server) Remove(name string) bool {
	found := false
	s.change(func(hosts []extern.Host) []extern.Host {
		rest := without(hosts, name)
		found = len(rest) < len(hosts)
		return rest
	})
	return found
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(faults Faults) error {
	if faults.LagMs != nil && *faults.LagMs < 0 {
		return errors.New("lag_ms must not be negative")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = faults.Outage
	if faults.LagMs != nil {
		s.lag = time.Duration(*faults.LagMs) * time.Millisecond
	}
	return nil
}

// change records a new version if edit returns a different list.
func (s *Server) change(edit func([]extern.Host) []extern.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.history[len(s.history)-1].view
	hosts := sorted(edit(last.Hosts))
	if slices.Equal(hosts, last.Hosts) {
		return
	}
	next := extern.HostView{Version: last.Version + 1, Hosts: hosts}
	s.history = append(s.history, change{at: s.now(), view: next})
}

// visible returns the newest version that is at least as old as the lag, and whether
// there is an outage. Older versions are kept, because SetFaults may lengthen the lag.
func (s *Server) visible() (view extern.HostView, outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cutoff := s.now().Add(-s.lag)
	later := sort.Search(len(s.history), func(i int) bool { return s.history[i].at.After(cutoff) })
	return s.history[max(later-1, 0)].view, s.outage
}

func (s *Server) get(c echo.Context) error {
	view, outage := s.visible()
	if outage {
		return control.WriteError(c, http.StatusServiceUnavailable, "the host list is out of service")
	}
	return c.JSON(http.StatusOK, view)
}

// getCurrent answers with the newest version, regardless of lag and outage.
func (s *Server) getCurrent(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, s.history[len(s.history)-1].view)
}

func (s *Server) put(c echo.Context) error {
	var host extern.Host
	if err := control.Decode(c, &host); err != nil {
		return err
	}
	if host.Name == "" {
		host.Name = control.Param(c, "name")
	}
	if host.Name != control.Param(c, "name") {
		return control.WriteError(c, http.StatusBadRequest, "the body names another host")
	}
	if err := s.Put(host); err != nil {
		return control.WriteError(c, http.StatusBadRequest, err.Error())
	}
	return s.getCurrent(c)
}

func (s *Server) remove(c echo.Context) error {
	if !s.Remove(control.Param(c, "name")) {
		return control.WriteError(c, http.StatusNotFound, "no such host")
	}
	return s.getCurrent(c)
}

func (s *Server) putFaults(c echo.Context) error {
	var faults Faults
	if err := control.Decode(c, &faults); err != nil {
		return err
	}
	if err := s.SetFaults(faults); err != nil {
		return control.WriteError(c, http.StatusBadRequest, err.Error())
	}
	return c.JSON(http.StatusOK, faults)
}

// sorted returns a copy of the hosts, sorted by name.
func sorted(hosts []extern.Host) []extern.Host {
	list := append([]extern.Host{}, hosts...)
	slices.SortFunc(list, func(a, b extern.Host) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// without returns a copy of the hosts without the named one.
func without(hosts []extern.Host, name string) []extern.Host {
	rest := make([]extern.Host, 0, len(hosts)+1)
	for _, host := range hosts {
		if host.Name != name {
			rest = append(rest, host)
		}
	}
	return rest
}
