// Package fakewire implements a small protocol between daemons and targets for tests.
package fakewire

import (
	"net/http"
	"strconv"
	"time"

	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/daemon/relay"
	"tarragonhollow.example/tarragonhollow/target/h1"
)

// Wire implements relay.Wire. Its headers: Id is the request's or item's ID, Expect the
// target's ID, Left the remaining milliseconds, and After the last event; Not-Run in an
// answer means that the target did not run the request.
type Wire struct{}

// Prepare implements relay.Wire.
func (Wire) Prepare(r *relay.Request, t roster.Target, left time.Duration, after int64) *h1.Request {
	request := r.HTTP
	request.Header = http.Header{"Id": {r.ID}, "Expect": {t.ID}, "Left": {strconv.FormatInt(left.Milliseconds(), 10)}}
	if after != relay.NoEvent {
		request.Header.Set("After", strconv.FormatInt(after, 10))
	}
	return &request
}

// IdentityURI is the URI at which a target may state its start as a header Born.
const IdentityURI = "/identity"

// Identity implements relay.Wire.
func (Wire) Identity(t roster.Target) *h1.Identity {
	if t.Born == 0 {
		return nil
	}
	return &h1.Identity{
		Key:     string(t.Start),
		Request: &h1.Request{Method: http.MethodGet, URI: IdentityURI, Host: t.Address},
		Expected: func(_ int, header http.Header, _ []byte) bool {
			born := header.Get("Born")
			return born == "" || born == strconv.FormatInt(t.Born, 10)
		},
	}
}

// PromptParts implements relay.Wire: a header lists the parts.
func (Wire) PromptParts(header http.Header) []string {
	parts := header.Values("Part")
	return parts[:max(0, len(parts)-1)]
}

// Matches implements relay.Wire.
func (Wire) Matches(id string, status int, header http.Header) h1.Match {
	switch got := header.Get("Id"); {
	case got == id:
		return h1.Own
	case got == "" && status >= http.StatusMultipleChoices:
		return h1.Unnamed
	default:
		return h1.Other
	}
}

// Classify implements relay.Wire.
func (Wire) Classify(status int, header http.Header) relay.Verdict {
	switch {
	case status == http.StatusMisdirectedRequest:
		return relay.WrongTarget
	case header.Get("Not-Run") != "":
		return relay.Rejected
	default:
		return relay.Ran
	}
}
