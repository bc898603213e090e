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

// notForwarded are request headers that are not passed on to services, because they are
// for this daemon or are set by the target client.
var notForwarded = []string{HeaderProfile, HeaderDeadlineMs, "Content-Length", "Expect", "Host"}

// service serves POST and GET /v1/services/{service}/{path…}.
func (s *Server) service(c echo.Context) error {
	in, err := s.admit(c)
	defer in.release()
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
	stateOf(c).backendCalled = true
	response, err := s.opts.Backend.Service(ctx, ServiceCall{
		Call: in.call, Service: name,
		Request: target.ServiceRequest{Method: req.Method, Path: path, Header: forwardedHeaders(req.Header, notForwarded), Body: in.body},
	})
	if err != nil {
		return err
	}
	return writeService(c, response)
}

// servicePath splits the request's path into the service's name and the path that the
// service receives. That path stays escaped and includes the query, because decoding and
// re-encoding could change it.
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

// forwardedHeaders returns a copy of the headers that are passed on: without those that
// concern one connection and without the excluded ones.
func forwardedHeaders(from http.Header, excluded []string) http.Header {
	out := from.Clone()
	for _, list := range from.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	for _, name := range excluded {
		out.Del(name)
	}
	return out
}

// writeService sends the service's answer to the caller.
func writeService(c echo.Context, r target.ServiceResponse) error {
	header := c.Response().Header()
	for name, values := range forwardedHeaders(r.Header, []string{"Content-Length", HeaderRequestID}) {
		header[name] = values
	}
	header.Set(echo.HeaderContentLength, strconv.Itoa(len(r.Body)))
	c.Response().WriteHeader(r.Status)
	_, err := c.Response().Write(r.Body)
	return err
}
