package api

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"hash"
	"io"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"tarragonhollow.example/tarragonhollow/bodymemory"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/jobline"
)

// putJob serves PUT /v1/jobs/{job}.
func (s *Server) putJob(c echo.Context) error {
	cfg, err := s.currentConfig()
	if err != nil {
		return err
	}
	name, scopedName, err := s.jobOf(c)
	if err != nil {
		return err
	}
	call, err := s.newCall(c, cfg)
	if err != nil {
		return err
	}
	if call.Profile.Urgency != config.Batch {
		return outcome.Refuse(outcome.BadRequest, "profile %s is not a batch profile", call.Profile.Name)
	}
	leave, err := s.enterUpload(call.Caller, cfg.Limits)
	if err != nil {
		return err
	}
	defer leave()
	up, err := s.newUpload(c, call.Caller, call.Profile.Name, cfg.Limits)
	if err != nil {
		return err
	}
	defer up.ids.release()
	status, created, err := s.opts.Backend.PutJob(c.Request().Context(), JobUpload{Call: call, Job: scopedName, Next: up.next, Sum: up.sum})
	return s.answerUpload(c, name, up, status, created, err)
}

// answerUpload sends the result of an upload. An error in the upload itself takes
// precedence over the backend's result.
func (s *Server) answerUpload(c echo.Context, name string, up *upload, status ledger.JobStatus, created bool, err error) error {
	if up.failed != nil {
		return up.failed
	}
	if err != nil {
		// If the upload was read completely, the job may have been accepted and its
		// items may run.
		stateOf(c).backendCalled = up.ended
		return err
	}
	if created {
		return c.JSON(http.StatusAccepted, viewJob(name, status))
	}
	return c.JSON(http.StatusOK, viewJob(name, status))
}

// enterUpload counts an upload against the caller's limit and the limit of uploads.
func (s *Server) enterUpload(caller string, limits config.Limits) (leave func(), err error) {
	leaveCaller, err := s.enter(caller, limits)
	if err != nil {
		return nil, err
	}
	select {
	case s.uploads <- struct{}{}:
		return func() { <-s.uploads; leaveCaller() }, nil
	default:
		leaveCaller()
		return nil, outcome.Refuse(outcome.Overloaded, "%d jobs are being uploaded here", cap(s.uploads)).After(bodymemory.BusyRetryMs)
	}
}

// upload reads a job's lines one by one.
type upload struct {
	lines *bufio.Reader
	// buf holds the current line, which may be longer than the reader's buffer.
	buf          []byte
	maxLineBytes int
	maxItems     int
	lineNumber   int
	items        int
	ids          *idSet
	hash         hash.Hash
	failed       *outcome.Refusal
	ended        bool
}

// newUpload returns a reader of the job in c's body, with the limits in force.
func (s *Server) newUpload(c echo.Context, caller, profile string, limits config.Limits) (*upload, error) {
	reader, err := s.newBodyReader(c, orDefault(limits.JobBytes, defaultJobBytes), noDeadline)
	if err != nil {
		return nil, err
	}
	u := &upload{
		lines:        bufio.NewReaderSize(reader, bodymemory.StepBytes),
		maxLineBytes: orDefault(limits.LineBytes, defaultLineBytes),
		maxItems:     orDefault(limits.ItemsPerJob, defaultItemsPerJob),
		ids:          newIDSet(s.bodies.Claim(caller)),
		hash:         sha256.New(),
	}
	u.add([]byte(profile))
	return u, nil
}

// next implements JobUpload.Next. After an error it returns the same error again.
func (u *upload) next() (ledger.Item, error) {
	if u.failed != nil {
		return ledger.Item{}, u.failed
	}
	if u.ended {
		return ledger.Item{}, io.EOF
	}
	item, err := u.read()
	if errors.Is(err, io.EOF) {
		u.ended = true
		return ledger.Item{}, io.EOF
	}
	if err != nil {
		u.failed = refusalOf(err, false)
		return ledger.Item{}, u.failed
	}
	return item, nil
}

// read returns the next item and skips blank lines.
func (u *upload) read() (ledger.Item, error) {
	for {
		text, err := u.line()
		if err != nil {
			return ledger.Item{}, err
		}
		if len(text) > 0 {
			return u.item(text)
		}
	}
}

// line returns the next line without its line end, which the last line may lack. It
// returns io.EOF only if the body is complete, since bodyReader converts any other end
// to a refusal.
func (u *upload) line() ([]byte, error) {
	u.buf = u.buf[:0]
	for {
		part, err := u.lines.ReadSlice('\n')
		if len(u.buf)+len(part) > u.maxLineBytes+len("\r\n") {
			return nil, outcome.Refuse(outcome.TooLarge, "line %d is over the limit of %d bytes", u.lineNumber+1, u.maxLineBytes)
		}
		u.buf = append(u.buf, part...)
		switch {
		case err == nil:
			return u.finishLine()
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(u.buf) > 0:
			return u.finishLine()
		case errors.Is(err, io.EOF) && u.items == 0:
			return nil, outcome.Refuse(outcome.BadRequest, "the job has no items")
		default:
			return nil, err
		}
	}
}

// finishLine counts a complete line, trims it and checks its length without the line
// end.
func (u *upload) finishLine() ([]byte, error) {
	u.lineNumber++
	text := bytes.TrimSpace(u.buf)
	if len(text) > u.maxLineBytes {
		return nil, outcome.Refuse(outcome.TooLarge, "line %d is over the limit of %d bytes", u.lineNumber, u.maxLineBytes)
	}
	return text, nil
}

// item parses a line, checks that its custom_id is new and adds the item to the
// fingerprint.
func (u *upload) item(text []byte) (ledger.Item, error) {
	line, err := jobline.Parse(u.lineNumber, text)
	if err != nil {
		return ledger.Item{}, outcome.Refuse(outcome.BadRequest, "%v", err)
	}
	if u.items == u.maxItems {
		return ledger.Item{}, outcome.Refuse(outcome.TooLarge, "the job is over the limit of %d items", u.maxItems)
	}
	isNew, err := u.ids.add(line.CustomID)
	if err != nil {
		return ledger.Item{}, err
	}
	if !isNew {
		return ledger.Item{}, outcome.Refuse(outcome.BadRequest, "line %d: custom_id %.64q was used before", u.lineNumber, line.CustomID)
	}
	u.items++
	u.add([]byte(line.CustomID))
	u.add([]byte(line.URL))
	u.add(line.Body)
	return ledger.Item{CustomID: line.CustomID, URL: line.URL, Body: line.Body}, nil
}

// add adds a part to the fingerprint. The part is prefixed with its length, so that
// different splits give different fingerprints.
func (u *upload) add(part []byte) {
	_, _ = u.hash.Write(strconv.AppendInt(nil, int64(len(part)), 10))
	_, _ = u.hash.Write([]byte{':'})
	_, _ = u.hash.Write(part)
}

// sum implements JobUpload.Sum.
func (u *upload) sum() string { return hex.EncodeToString(u.hash.Sum(nil)) }
