package api

import "github.com/labstack/echo/v4"

// admitted is an online request that has been read completely and may run.
type admitted struct {
	call     Call
	body     []byte
	releases []func()
}

// release releases everything that the request holds. It may be called on any
// admitted, including the zero value.
func (a *admitted) release() {
	for i := len(a.releases) - 1; i >= 0; i-- {
		a.releases[i]()
	}
}

// admit admits an online request. It reads the headers, counts the request against the
// caller's limit, reads the body and counts the request against the daemon's limit, in
// this order. The caller must call release even if err is not nil.
func (s *Server) admit(c echo.Context) (a admitted, err error) {
	cfg, err := s.currentConfig()
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
	a.releases = append(a.releases, leave)
	body, release, err := s.readBody(c, a.call.Caller, orDefault(cfg.Limits.BodyBytes, defaultBodyBytes), a.call.Deadline)
	a.releases = append(a.releases, release)
	if err != nil {
		return a, err
	}
	a.body = body
	done, err := s.begin(cfg.Limits)
	if err != nil {
		return a, err
	}
	a.releases = append(a.releases, done)
	return a, nil
}
