package api

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"tarragonhollow.example/tarragonhollow/core/outcome"
)

const (
	// maxConfigBytes is the maximum size of a configuration's text.
	maxConfigBytes = 1 << 20
	// maxLogLevelBytes is the maximum size of the body of PUT /admin/log-level.
	maxLogLevelBytes = 1 << 10
	// defaultAuthor is the author of a configuration change that states no name.
	defaultAuthor = "operator"
)

// operatorsAccount is the account to which the memory of /admin bodies is charged. It
// can't be a caller's name, which contains no slash.
const operatorsAccount = "/operators"

// adminRoutes registers the operators' paths.
func (s *Server) adminRoutes(g *echo.Group) {
	g.GET("/config", s.getConfig)
	g.PUT("/config", s.putConfig)
	g.GET("/config/history", s.configHistory)
	g.GET("/status", s.status)
	g.GET("/burn", s.burn)
	g.POST("/drain", s.drain)
	g.PUT("/log-level", s.logLevel)
}

// authorize is the middleware that protects /admin. It compares hashes in constant
// time, so that neither the token's bytes nor its length can be inferred from the
// response time.
func (s *Server) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	want := sha256.Sum256([]byte(s.opts.AdminToken))
	return func(c echo.Context) error {
		if s.opts.AdminToken == "" {
			return outcome.Refuse(codeDisabled, "no admin token is set, /admin is off")
		}
		got := sha256.Sum256([]byte(bearer(c.Request().Header)))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			return outcome.Refuse(outcome.Unauthorized, "the operators' bearer token is missing or wrong")
		}
		return next(c)
	}
}

// getConfig serves GET /admin/config.
func (s *Server) getConfig(c echo.Context) error {
	info, err := s.opts.Backend.ConfigInfo(c.Request().Context())
	if err != nil {
		return err
	}
	c.Response().Header().Set("ETag", strconv.Quote(strconv.FormatUint(info.Version, 10)))
	return c.JSON(http.StatusOK, info)
}

// published is the response of PUT /admin/config.
type published struct {
	Version uint64            `json:"version"`
	Applied map[string]uint64 `json:"applied"`
}

// putConfig serves PUT /admin/config. It answers 200 if every host that responded has
// applied the change, 202 if the change is accepted but some have not applied it yet.
func (s *Server) putConfig(c echo.Context) error {
	base, err := baseVersion(c.Request().Header)
	if err != nil {
		return err
	}
	author, err := printable(c.Request().Header, HeaderCaller, maxCallerBytes)
	if err != nil {
		return err
	}
	if author == "" {
		author = defaultAuthor
	}
	text, release, err := s.readBody(c, operatorsAccount, maxConfigBytes, noDeadline)
	defer release()
	if err != nil {
		return err
	}
	stateOf(c).backendCalled = true
	info, err := s.opts.Backend.PublishConfig(c.Request().Context(), string(text), base, author)
	if err != nil {
		return err
	}
	status := http.StatusOK
	for _, version := range info.Applied {
		if version < info.Version {
			status = http.StatusAccepted
		}
	}
	return c.JSON(status, published{Version: info.Version, Applied: info.Applied})
}

// baseVersion returns the version in If-Match, which is plain or an entity tag.
func baseVersion(h http.Header) (uint64, error) {
	text := strings.Trim(h.Get("If-Match"), `" `)
	if text == "" {
		return 0, outcome.Refuse(outcome.BadRequest, "header If-Match with the version that the change was made from is required")
	}
	base, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, outcome.Refuse(outcome.BadRequest, "header If-Match: %.32q is not a version", text)
	}
	return base, nil
}

// configHistory serves GET /admin/config/history.
func (s *Server) configHistory(c echo.Context) error {
	changes, err := s.opts.Backend.ConfigHistory(c.Request().Context())
	if err != nil {
		return err
	}
	if changes == nil {
		changes = []ConfigChange{}
	}
	return c.JSON(http.StatusOK, changes)
}

// status serves GET /admin/status.
func (s *Server) status(c echo.Context) error {
	view, err := s.opts.Backend.Status(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, view)
}

// burn serves GET /admin/burn.
func (s *Server) burn(c echo.Context) error {
	report, err := s.opts.Backend.Burn(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, report)
}

// drain serves POST /admin/drain, which starts a graceful stop of the daemon.
func (s *Server) drain(c echo.Context) error {
	if err := s.opts.Backend.Drain(c.Request().Context()); err != nil {
		return err
	}
	return c.JSON(http.StatusAccepted, struct {
		Draining bool `json:"draining"`
	}{true})
}

// logLevel serves PUT /admin/log-level.
func (s *Server) logLevel(c echo.Context) error {
	text, release, err := s.readBody(c, operatorsAccount, maxLogLevelBytes, noDeadline)
	defer release()
	if err != nil {
		return err
	}
	var body struct {
		Level string `json:"level"`
	}
	if err := json.Unmarshal(text, &body); err != nil {
		return outcome.Refuse(outcome.BadRequest, "the body is not {\"level\":LEVEL}")
	}
	if err := s.opts.Backend.SetLogLevel(body.Level); err != nil {
		return outcome.Refuse(outcome.BadRequest, "level: %v", err)
	}
	return c.JSON(http.StatusOK, body)
}
