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
	cfg, err := s.settled()
	if err != nil {
		return err
	}
	name, full, err := s.jobOf(c)
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
	status, created, err := s.opts.Backend.PutJob(c.Request().Context(), JobUpload{Call: call, Job: full, Next: up.next, Sum: up.sum})
	return s.answerUpload(c, name, up, status, created, err)
}

// answerUpload tells how an upload ended. A fault in the upload itself is told
// whatever the backend made of it.
func (s *Server) answerUpload(c echo.Context, name string, up *upload, status ledger.JobStatus, created bool, err error) error {
	if up.failed != nil {
		return up.failed
	}
	if err != nil {
		// The whole upload may be accepted by now, and items of it may run.
		stateOf(c).called = up.ended
		return err
	}
	if created {
		return c.JSON(http.StatusAccepted, viewJob(name, status))
	}
	return c.JSON(http.StatusOK, viewJob(name, status))
}

// enterUpload counts an upload against its bounds.
func (s *Server) enterUpload(caller string, limits config.Limits) (leave func(), err error) {
	free, err := s.enter(caller, limits)
	if err != nil {
		return nil, err
	}
	select {
	case s.uploads <- struct{}{}:
		return func() { <-s.uploads; free() }, nil
	default:
		free()
		return nil, outcome.Refuse(outcome.Overloaded, "%d jobs are being uploaded here", cap(s.uploads)).After(bodymemory.BusyRetryMs)
	}
}

// upload reads a job's lines one by one.
type upload struct {
	lines *bufio.Reader
	// buf holds a line longer than the reader's buffer.
	buf       []byte
	lineBytes int
	mostItems int
	number    int
	items     int
	ids       *idSet
	hash      hash.Hash
	failed    *outcome.Refusal
	ended     bool
}

// newUpload bounds c's body and prepares the reading.
func (s *Server) newUpload(c echo.Context, caller, profile string, limits config.Limits) (*upload, error) {
	reader, err := s.newBodyReader(c, orDefault(limits.JobBytes, defaultJobBytes), noDeadline)
	if err != nil {
		return nil, err
	}
	u := &upload{
		lines:     bufio.NewReaderSize(reader, bodymemory.Step),
		lineBytes: orDefault(limits.LineBytes, defaultLineBytes),
		mostItems: orDefault(limits.ItemsPerJob, defaultItemsPerJob),
		ids:       newIDSet(s.bodies.Claim(caller)),
		hash:      sha256.New(),
	}
	u.add([]byte(profile))
	return u, nil
}

// next is JobUpload.Next. After an error it returns the same error again.
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

// read returns the next item; blank lines are skipped.
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

// line returns the next line without its end. The last line may lack one; io.EOF
// comes only from a body that is whole, since the reader below turns any other
// end into a refusal.
func (u *upload) line() ([]byte, error) {
	u.buf = u.buf[:0]
	for {
		part, err := u.lines.ReadSlice('\n')
		if len(u.buf)+len(part) > u.lineBytes+len("\r\n") {
			return nil, outcome.Refuse(outcome.TooLarge, "line %d is over the limit of %d bytes", u.number+1, u.lineBytes)
		}
		u.buf = append(u.buf, part...)
		switch {
		case err == nil:
			return u.trimmed()
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(u.buf) > 0:
			return u.trimmed()
		case errors.Is(err, io.EOF) && u.items == 0:
			return nil, outcome.Refuse(outcome.BadRequest, "the job has no items")
		default:
			return nil, err
		}
	}
}

// trimmed ends a line and checks its length without the line's end.
func (u *upload) trimmed() ([]byte, error) {
	u.number++
	text := bytes.TrimSpace(u.buf)
	if len(text) > u.lineBytes {
		return nil, outcome.Refuse(outcome.TooLarge, "line %d is over the limit of %d bytes", u.number, u.lineBytes)
	}
	return text, nil
}

// item parses a line, checks that its name is new and adds it to the fingerprint.
func (u *upload) item(text []byte) (ledger.Item, error) {
	line, err := jobline.Parse(u.number, text)
	if err != nil {
		return ledger.Item{}, outcome.Refuse(outcome.BadRequest, "%v", err)
	}
	if u.items == u.mostItems {
		return ledger.Item{}, outcome.Refuse(outcome.TooLarge, "the job is over the limit of %d items", u.mostItems)
	}
	isNew, err := u.ids.add(line.CustomID)
	if err != nil {
		return ledger.Item{}, err
	}
	if !isNew {
		return ledger.Item{}, outcome.Refuse(outcome.BadRequest, "line %d: custom_id %.64q was used before", u.number, line.CustomID)
	}
	u.items++
	u.add([]byte(line.CustomID))
	u.add([]byte(line.URL))
	u.add(line.Body)
	return ledger.Item{CustomID: line.CustomID, URL: line.URL, Body: line.Body}, nil
}

// add puts a part into the fingerprint; its length keeps it apart from the next.
func (u *upload) add(part []byte) {
	_, _ = u.hash.Write(strconv.AppendInt(nil, int64(len(part)), 10))
	_, _ = u.hash.Write([]byte{':'})
	_, _ = u.hash.Write(part)
}

// sum is JobUpload.Sum.
func (u *upload) sum() string { return hex.EncodeToString(u.hash.Sum(nil)) }
