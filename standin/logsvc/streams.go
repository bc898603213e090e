package logsvc

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/extern/wire"
	"tarragonhollow.example/tarragonhollow/standin/control"
)

const (
	// defaultReadBytes is the page size if the reader does not specify one.
	defaultReadBytes = 1 << 20
	// maxReadBytes bounds the page size.
	maxReadBytes = 16 << 20
	// maxWaitMs bounds the wait of a long poll.
	maxWaitMs = 60_000
	// maxStreamName bounds a stream's name, in bytes.
	maxStreamName = 200
)

// injectFaults wraps a handler: calls affected by an outage or from a denied client
// fail; before other calls, expired records are dropped.
func (s *Server) injectFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.failed(c) {
			if c.Request().Method == http.MethodPost {
				s.counters.countRejected(false)
			}
			return s.fail(c)
		}
		s.expire()
		return next(c)
	}
}

func (s *Server) failure(c echo.Context) Failure {
	return s.faults.failure(c.Request().Header.Get(wire.ClientHeader), c.Request().RemoteAddr)
}

func (s *Server) failed(c echo.Context) bool { return s.failure(c) != FailNone }

func (s *Server) fail(c echo.Context) error {
	if s.failure(c) == FailCut {
		control.AbortConnection()
	}
	return control.WriteError(c, http.StatusServiceUnavailable, "the log is out of service")
}

func (s *Server) append(c echo.Context) error {
	name, err := streamName(c)
	if err != nil {
		return err
	}
	data, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, int64(s.opts.MaxRecordBytes)))
	if err != nil {
		s.counters.countRejected(false)
		return s.writeBodyError(c, err)
	}
	if wait := s.reserve(); wait > 0 {
		s.counters.countRejected(true)
		return control.WriteTooManyRequests(c, wait)
	}
	faults, _ := s.faults.get()
	time.Sleep(faults.appendDelay())
	now := s.nowMs()
	offset := s.store.Append(name, now, data)
	lost := s.faults.loseAnswer()
	s.counters.countAppend(now, len(data), lost)
	if lost {
		control.AbortConnection()
	}
	return c.JSON(http.StatusOK, wire.Appended{Offset: offset})
}

func (s *Server) writeBodyError(c echo.Context, err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return control.WriteError(c, http.StatusRequestEntityTooLarge,
			"a record has at most "+strconv.Itoa(s.opts.MaxRecordBytes)+" bytes")
	}
	return control.WriteError(c, http.StatusBadRequest, err.Error())
}

// reserve takes one append from the rate limit and returns 0, or returns the time
// after which an append will be allowed.
func (s *Server) reserve() time.Duration {
	now := s.opts.Now()
	reservation := s.limiter.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
	}
	return wait
}

// readQuery holds the query parameters of a read.
type readQuery struct {
	from     int64
	maxBytes int
	wait     time.Duration
}

func (s *Server) read(c echo.Context) error {
	name, err := streamName(c)
	if err != nil {
		return err
	}
	query, err := parseReadQuery(c)
	if err != nil {
		return err
	}
	s.delayRead()
	deadline := time.NewTimer(query.wait)
	defer deadline.Stop()
	for {
		_, faultsChanged := s.faults.get()
		if s.failed(c) {
			return s.fail(c)
		}
		s.expire()
		page, changed := s.store.Read(name, query.from, query.maxBytes)
		if len(page.Records) > 0 || query.wait == 0 {
			return s.writePage(c, page)
		}
		if !s.awaitChange(c, deadline.C, changed, faultsChanged) {
			return s.writePage(c, page)
		}
	}
}

// awaitChange returns true when a waiting read must check again, and false when its
// time is up, its caller has disconnected or the server is closing.
func (s *Server) awaitChange(c echo.Context, deadline <-chan time.Time, changed, faultsChanged <-chan struct{}) bool {
	s.counters.addWaiting(1)
	defer s.counters.addWaiting(-1)
	select {
	case <-changed:
		return true
	case <-faultsChanged:
		return true
	case <-deadline:
	case <-s.closing:
	case <-c.Request().Context().Done():
	}
	return false
}

func (s *Server) delayRead() {
	faults, _ := s.faults.get()
	time.Sleep(faults.readDelay())
}

func (s *Server) writePage(c echo.Context, page extern.Page) error {
	answer := wire.Page{First: page.First, Next: page.Next, Records: make([]wire.Record, 0, len(page.Records))}
	size := 0
	for _, record := range page.Records {
		size += len(record.Data)
		answer.Records = append(answer.Records, wire.Record(record))
	}
	s.counters.countRead(size)
	return c.JSON(http.StatusOK, answer)
}

func (s *Server) bounds(c echo.Context) error {
	name, err := streamName(c)
	if err != nil {
		return err
	}
	s.delayRead()
	first, next := s.store.Bounds(name)
	return c.JSON(http.StatusOK, wire.Bounds{First: first, Next: next})
}

func (s *Server) list(c echo.Context) error {
	s.delayRead()
	answer := wire.Streams{Streams: []wire.Stream{}}
	for _, name := range s.store.Names() {
		first, next := s.store.Bounds(name)
		answer.Streams = append(answer.Streams, wire.Stream{Name: name, Bounds: wire.Bounds{First: first, Next: next}})
	}
	return c.JSON(http.StatusOK, answer)
}

func streamName(c echo.Context) (string, error) {
	name := control.Param(c, "stream")
	if name == "" || len(name) > maxStreamName {
		return "", echo.NewHTTPError(http.StatusBadRequest, "a stream's name has 1 to 200 bytes")
	}
	return name, nil
}

func parseReadQuery(c echo.Context) (readQuery, error) {
	from, err := queryInt(c, "from", 0, 1<<62)
	if err != nil {
		return readQuery{}, err
	}
	maxBytes, err := queryInt(c, "max_bytes", defaultReadBytes, maxReadBytes)
	if err != nil {
		return readQuery{}, err
	}
	waitMs, err := queryInt(c, "wait_ms", 0, maxWaitMs)
	if err != nil {
		return readQuery{}, err
	}
	return readQuery{from: from, maxBytes: int(maxBytes), wait: time.Duration(waitMs) * time.Millisecond}, nil
}

// queryInt returns the named query parameter, capped at limit, or the fallback if it
// is absent.
func queryInt(c echo.Context, name string, fallback, limit int64) (int64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return fallback, nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < 0 {
		return 0, echo.NewHTTPError(http.StatusBadRequest, name+" must be a number from 0")
	}
	return min(value, limit), nil
}
