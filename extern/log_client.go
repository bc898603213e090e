package extern

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"tarragonhollow.example/tarragonhollow/extern/wire"
)

// HTTPLog is the client of the platform's log service.
type HTTPLog struct {
	appends *httpClient
	reads   *httpClient
}

var _ Log = (*HTTPLog)(nil)

// NewHTTPLog returns a client; nothing is sent before the first call. Appends and
// reads use separate connections, so that long polls never delay an append, however
// many streams are followed.
func NewHTTPLog(opts Options) (*HTTPLog, error) {
	opts, err := opts.validate()
	if err != nil {
		return nil, err
	}
	return &HTTPLog{appends: newHTTPClient(opts), reads: newHTTPClient(opts)}, nil
}

// Close closes idle connections.
func (l *HTTPLog) Close() {
	l.appends.close()
	l.reads.close()
}

// Append implements Log. It sends the record at most once and never retries an append,
// since only the writer can recognize its own record when it reads the stream back.
func (l *HTTPLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	path, err := streamPath(stream)
	if err != nil {
		return 0, err
	}
	answer := wire.Appended{Offset: noOffset}
	err = l.appends.do(ctx, request{path: path + "/records", body: data, post: true}, &answer)
	if err != nil {
		return 0, err
	}
	if answer.Offset < 0 {
		return 0, OutcomeUnknown.New("append response has no offset")
	}
	return answer.Offset, nil
}

// noOffset marks a response without an offset.
const noOffset = -1

// Read implements Log. A read has no effect, so its errors are never OutcomeUnknown:
// they are LogUnavailable, or what the service returned, such as LogLimited or Invalid.
func (l *HTTPLog) Read(ctx context.Context, stream string, from int64, maxBytes int, wait time.Duration) (Page, error) {
	path, err := streamPath(stream)
	if err != nil {
		return Page{}, err
	}
	query := url.Values{}
	query.Set("from", strconv.FormatInt(max(from, 0), 10))
	query.Set("max_bytes", strconv.Itoa(max(maxBytes, 0)))
	query.Set("wait_ms", strconv.FormatInt(max(wait, 0).Milliseconds(), 10))
	var answer wire.Page
	err = l.reads.do(ctx, request{path: path + "/records", query: query, wait: max(wait, 0)}, &answer)
	if err != nil {
		return Page{}, readError(err)
	}
	return pageOf(answer, from)
}

// Bounds implements Log. It returns the same types of errors as Read.
func (l *HTTPLog) Bounds(ctx context.Context, stream string) (first, next int64, err error) {
	path, err := streamPath(stream)
	if err != nil {
		return 0, 0, err
	}
	var answer wire.Bounds
	if err := l.reads.do(ctx, request{path: path}, &answer); err != nil {
		return 0, 0, readError(err)
	}
	return answer.First, answer.Next, nil
}

func streamPath(stream string) (string, error) {
	if stream == "" || stream == "." || stream == ".." {
		return "", Invalid.New("stream name %q", stream)
	}
	return "/v1/streams/" + url.PathEscape(stream), nil
}

// readError turns OutcomeUnknown into LogUnavailable for a call without side effects,
// so that no caller searches the log for an append.
func readError(err error) error {
	if IsUnknown(err) {
		return LogUnavailable.Wrap(err, "read failed")
	}
	return err
}

// pageOf converts a page and checks its offsets. If a page with a gap were applied,
// daemons would disagree about the state of the same log. A gap is refused here
// instead, and the next read starts at the same offset. Only expiry may move the start
// of a page, and First shows it.
func pageOf(answer wire.Page, from int64) (Page, error) {
	page := Page{First: answer.First, Next: answer.Next, Records: make([]Record, 0, len(answer.Records))}
	expected := max(from, answer.First)
	for _, record := range answer.Records {
		if record.Offset != expected {
			return Page{}, Invalid.New("read returned offset %d, expected %d", record.Offset, expected)
		}
		expected++
		page.Records = append(page.Records, Record(record))
	}
	if expected > page.Next && len(page.Records) > 0 {
		return Page{}, Invalid.New("read returned records past the next offset %d", page.Next)
	}
	return page, nil
}
