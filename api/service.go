package api

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/target"
)

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownHeaders are not passed on to services: they are this daemon's, or set by
// the client of the target.
var ownHeaders = []string{HeaderProfile, HeaderDeadlineMs, "Content-Length", "Expect", "Host"}

// service serves POST and GET /v1/services/{service}/{path…}.
func (s *Server) service(c echo.Context) error {
	in, err := s.arrive(c)
	defer in.end()
	if err != nil {
		return err
	}
	req := c.Request()
	name, path, err := servicePath(req)
	if err != nil {
		return err
	}
	in.call.Fingerprint = fingerprint(req.Method, req.URL.RequestURI(), in.body)
	ctx, cancel := context.WithDeadline(req.Context(), in.call.Deadline)
	defer cancel()
	stateOf(c).called = true
	response, err := s.opts.Backend.Service(ctx, ServiceCall{
		Call: in.call, Service: name,
		Request: target.ServiceRequest{Method: req.Method, Path: path, Header: passedOn(req.Header, ownHeaders), Body: in.body},
	})
	if err != nil {
		return err
	}
	return writeService(c, response)
}

// servicePath splits the request's path into the service and the path that it
// sees, still escaped and with the query: decoding and encoding again could
// change what the service reads.
func servicePath(req *http.Request) (name, path string, err error) {
	rest := strings.TrimPrefix(req.URL.EscapedPath(), "/v1/services/")
	name, path, _ = strings.Cut(rest, "/")
	if name == "" || strings.Contains(name, "%") {
		return "", "", outcome.Refuse(outcome.UnknownTarget, "no service of this name")
	}
	path = "/" + path
	if req.URL.RawQuery != "" {
		path += "?" + req.URL.RawQuery
	}
	return name, path, nil
}

// passedOn copies the headers that go to the other side.
func passedOn(from http.Header, without []string) http.Header {
	out := from.Clone()
	for _, list := range from.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	for _, name := range without {
		out.Del(name)
	}
	return out
}

// writeService passes the service's answer to the caller.
func writeService(c echo.Context, r target.ServiceResponse) error {
	header := c.Response().Header()
	for name, values := range passedOn(r.Header, []string{"Content-Length", HeaderRequestID}) {
		header[name] = values
	}
	header.Set(echo.HeaderContentLength, strconv.Itoa(len(r.Body)))
	c.Response().WriteHeader(r.Status)
	_, err := c.Response().Write(r.Body)
	return err
}
