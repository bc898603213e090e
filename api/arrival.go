package api

import "github.com/labstack/echo/v4"

// arrival is an online request that is in whole and may run.
type arrival struct {
	call Call
	body []byte
	ends []func()
}

// end gives back what the request holds. It may be called on any arrival.
func (a *arrival) end() {
	for i := len(a.ends) - 1; i >= 0; i-- {
		a.ends[i]()
	}
}

// arrive takes an online request in: its headers, its caller's place, its body
// and the daemon's place, in this order. The caller calls end, whatever err is.
func (s *Server) arrive(c echo.Context) (a arrival, err error) {
	cfg, err := s.settled()
	if err != nil {
		return a, err
	}
	if a.call, err = s.onlineCall(c, cfg); err != nil {
		return a, err
	}
	leave, err := s.enter(a.call.Caller, cfg.Limits)
	if err != nil {
		return a, err
	}
	a.ends = append(a.ends, leave)
	body, release, err := s.readBody(c, a.call.Caller, orDefault(cfg.Limits.BodyBytes, defaultBodyBytes), a.call.Deadline)
	a.ends = append(a.ends, release)
	if err != nil {
		return a, err
	}
	a.body = body
	done, err := s.run(cfg.Limits)
	if err != nil {
		return a, err
	}
	a.ends = append(a.ends, done)
	return a, nil
}
