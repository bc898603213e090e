package api

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"tarragonhollow.example/tarragonhollow/bodymemory"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/outcome"
)

// Headers of the API.
const (
	HeaderProfile    = "Tarragon-Profile"
	HeaderKey        = "Idempotency-Key"
	HeaderDeadlineMs = "Tarragon-Deadline-Ms"
	HeaderCaller     = "Tarragon-Caller"
	// HeaderReplayed is "true" on an answer that was stored by an earlier run of the
	// key.
	HeaderReplayed = "Tarragon-Replayed"
)

const (
	// maxKeyBytes is the maximum length of an Idempotency-Key.
	maxKeyBytes = 256
	// maxCallerBytes is the maximum length of a caller's name.
	maxCallerBytes = 128
	// bearerCaller is the prefix of the name of a caller that is known only by its
	// token. It prevents an accidental collision with a stated name.
	bearerCaller = "bearer-"
	// defaultDeadline is used if the profile states none.
	defaultDeadline = time.Minute
)

// Limits that are used if the configuration states none.
const (
	defaultBodyBytes   = 1 << 20
	defaultJobBytes    = 1 << 30
	defaultLineBytes   = 1 << 20
	defaultItemsPerJob = 500_000
)

// orDefault returns n, or value if n is not positive.
func orDefault[T int | int64](n, value T) T {
	if n > 0 {
		return n
	}
	return value
}

// printable returns an optional header of at most maxBytes printable ASCII characters,
// "" if it is missing.
func printable(h http.Header, name string, maxBytes int) (string, error) {
	values := h.Values(name)
	if len(values) > 1 {
		return "", outcome.Refuse(outcome.BadRequest, "header %s is given twice", name)
	}
	if len(values) == 0 {
		return "", nil
	}
	v := values[0]
	if len(v) > maxBytes {
		return "", outcome.Refuse(outcome.BadRequest, "header %s has %d bytes, at most %d are allowed", name, len(v), maxBytes)
	}
	if strings.ContainsFunc(v, func(r rune) bool { return r < ' ' || r > '~' }) {
		return "", outcome.Refuse(outcome.BadRequest, "header %s holds a character that is not printable ASCII", name)
	}
	return v, nil
}

// callerOf returns the client account: Tarragon-Caller, or a hash of the bearer token,
// or "" for an anonymous caller. A name may not contain a slash, so that CALLER/KEY is
// unambiguous.
func callerOf(h http.Header) (string, error) {
	caller, err := printable(h, HeaderCaller, maxCallerBytes)
	if err != nil {
		return "", err
	}
	if strings.Contains(caller, "/") {
		return "", outcome.Refuse(outcome.BadRequest, "header %s holds a slash", HeaderCaller)
	}
	if caller != "" {
		return caller, nil
	}
	if token := bearer(h); token != "" {
		return bearerCaller + shortHash(token), nil
	}
	return "", nil
}

// bearer returns the bearer token, "" if there is none.
func bearer(h http.Header) string {
	const scheme = "Bearer "
	v := h.Get(echo.HeaderAuthorization)
	if len(v) > len(scheme) && strings.EqualFold(v[:len(scheme)], scheme) {
		return strings.TrimSpace(v[len(scheme):])
	}
	return ""
}

// scoped returns the fleet-wide name of a caller's key or job.
func scoped(caller, name string) string { return caller + "/" + name }

// identify returns the caller and records it in the request's state. It needs no
// profile.
func (s *Server) identify(c echo.Context) (string, error) {
	caller, err := callerOf(c.Request().Header)
	if err != nil {
		return "", err
	}
	stateOf(c).caller = caller
	return caller, nil
}

// currentConfig returns the configuration in force, or a refusal if there is none yet.
func (s *Server) currentConfig() (*config.Config, error) {
	cfg := s.opts.Backend.Config()
	if cfg == nil || cfg.Version == 0 {
		return nil, outcome.Refuse(outcome.NotReady, "no configuration is in force here yet").After(bodymemory.BusyRetryMs)
	}
	return cfg, nil
}

// limits returns the limits in force, the zero value if there is no configuration yet.
func (s *Server) limits() config.Limits {
	if cfg := s.opts.Backend.Config(); cfg != nil {
		return cfg.Limits
	}
	return config.Limits{}
}

// newCall reads the headers that all callers' requests share. The fingerprint is set
// later, when the body has been read.
func (s *Server) newCall(c echo.Context, cfg *config.Config) (Call, error) {
	caller, err := s.identify(c)
	if err != nil {
		return Call{}, err
	}
	st, header := stateOf(c), c.Request().Header
	profile, err := profileOf(header, cfg)
	if err != nil {
		return Call{}, err
	}
	st.profile = profile.Name
	key, err := printable(header, HeaderKey, maxKeyBytes)
	if err != nil {
		return Call{}, err
	}
	if key != "" {
		st.key = scoped(caller, key)
	}
	deadline, err := deadlineOf(header, profile, st.began)
	if err != nil {
		return Call{}, err
	}
	return Call{RequestID: st.id, Caller: caller, Profile: profile, Key: key, Deadline: deadline}, nil
}

// onlineCall is newCall for an online request. It also checks that the profile is an
// online one and that a key is given where it is required.
func (s *Server) onlineCall(c echo.Context, cfg *config.Config) (Call, error) {
	call, err := s.newCall(c, cfg)
	if err != nil {
		return Call{}, err
	}
	if call.Profile.Urgency == config.Batch {
		return Call{}, outcome.Refuse(outcome.BadRequest, "profile %s is a batch profile: send the request in a job", call.Profile.Name)
	}
	if !call.Profile.Repeatable && call.Key == "" {
		return Call{}, outcome.Refuse(outcome.KeyRequired, "profile %s is not repeatable: header %s is required", call.Profile.Name, HeaderKey)
	}
	return call, nil
}

// profileOf returns the profile named by Tarragon-Profile. A missing header is refused
// even if only one profile exists, because the next configuration could change which
// profile that is.
func profileOf(h http.Header, cfg *config.Config) (*config.Profile, error) {
	const maxProfileBytes = 128
	name, err := printable(h, HeaderProfile, maxProfileBytes)
	if err != nil {
		return nil, err
	}
	if name == "" {
		return nil, outcome.Refuse(outcome.BadRequest, "header %s is required", HeaderProfile)
	}
	profile, ok := cfg.Profiles[name]
	if !ok {
		return nil, outcome.Refuse(outcome.UnknownProfile, "no profile %q in configuration version %d", name, cfg.Version)
	}
	return profile, nil
}

// deadlineOf returns when the request's deadline ends. The caller's header can shorten
// the profile's deadline but not extend it.
func deadlineOf(h http.Header, profile *config.Profile, began time.Time) (time.Time, error) {
	wait := orDefaultWait(profile.Deadline)
	const maxDigits = 12
	text, err := printable(h, HeaderDeadlineMs, maxDigits)
	if err != nil {
		return time.Time{}, err
	}
	if text == "" {
		return began.Add(wait), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}, outcome.Refuse(outcome.BadRequest, "header %s: %q is not a positive number of milliseconds", HeaderDeadlineMs, text)
	}
	return began.Add(min(wait, time.Duration(ms)*time.Millisecond)), nil
}

// orDefaultWait returns d, or defaultDeadline if d is not positive.
func orDefaultWait(d time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return defaultDeadline
}

// fingerprint returns a hash of a request's method, path and body. Each part is prefixed
// with its length, so that different splits give different hashes.
func fingerprint(method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		_, _ = h.Write(strconv.AppendInt(nil, int64(len(part)), 10))
		_, _ = h.Write([]byte{':'})
		_, _ = h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// enter counts the request against its caller's limit until leave is called.
func (s *Server) enter(caller string, limits config.Limits) (leave func(), err error) {
	if refusal := s.inFlight.enter(caller, limits.InFlightPerCaller); refusal != nil {
		return nil, refusal
	}
	return func() { s.inFlight.leave(caller) }, nil
}

// begin counts the request against the daemon's limit until done is called.
func (s *Server) begin(limits config.Limits) (done func(), err error) {
	limit := s.opts.MaxInFlight
	if limits.InFlight > 0 {
		limit = min(limit, limits.InFlight)
	}
	if refusal := s.inFlight.begin(limit); refusal != nil {
		return nil, refusal
	}
	return s.inFlight.done, nil
}
