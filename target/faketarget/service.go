package faketarget

import (
	"context"
	"net/http"
	"sync"

	"tarragonhollow.example/tarragonhollow/target"
)

// ServiceCall records one call of Service.Call.
type ServiceCall struct {
	Address string
	Request target.ServiceRequest
	Key     string
	Urgency string
}

// Service implements target.Service. The zero value answers 200 with the request's
// body.
type Service struct {
	// OnCall scripts the answers; it may block until ctx is done.
	OnCall func(ctx context.Context, address string, req target.ServiceRequest) (target.ServiceResponse, error)

	mu    sync.Mutex
	calls []ServiceCall
}

var _ target.Service = (*Service)(nil)

// Call implements target.Service.
func (s *Service) Call(ctx context.Context, address string, req target.ServiceRequest) (target.ServiceResponse, error) {
	s.mu.Lock()
	s.calls = append(s.calls, ServiceCall{
		Address: address, Request: req, Key: target.KeyFrom(ctx), Urgency: target.UrgencyFrom(ctx),
	})
	s.mu.Unlock()
	if s.OnCall != nil {
		return s.OnCall(ctx, address, req)
	}
	return target.ServiceResponse{Status: http.StatusOK, Header: http.Header{}, Body: req.Body}, nil
}

// Calls returns the calls so far, in order of arrival.
func (s *Service) Calls() []ServiceCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ServiceCall(nil), s.calls...)
}
