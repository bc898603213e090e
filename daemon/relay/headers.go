package relay

import (
	"net/http"
	"strconv"
	"strings"
)

// splitList splits a comma-separated header value.
func splitList(value string) []string {
	fields := strings.Split(value, ",")
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
	}
	return fields
}

// setLength sets Content-Length unless the length is negative or the status allows no body.
func setLength(header http.Header, length int64, status int) {
	if length < 0 || status == http.StatusNoContent || status == http.StatusNotModified {
		return
	}
	header.Set("Content-Length", strconv.FormatInt(length, 10))
}

// IsEventStream reports whether an answer without events may be a stream that has none: it
// states no other media type, and no encoding, which targets don't use.
func IsEventStream(header http.Header) bool {
	t := mediaType(header)
	return (t == "" || t == "text/event-stream") && header.Get("Content-Encoding") == ""
}

// mediaType returns the media type of a body without its parameters, "" if there is none.
func mediaType(header http.Header) string {
	name, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}
