package extern

import (
	"context"
	"net/url"
)

// HTTPHostList is the client of the platform's host list.
type HTTPHostList struct{ caller *caller }

var _ HostList = (*HTTPHostList)(nil)

// NewHTTPHostList returns a client; nothing is sent before the first call.
func NewHTTPHostList(opts Options) (*HTTPHostList, error) {
	opts, err := opts.validate()
	if err != nil {
		return nil, err
	}
	return &HTTPHostList{caller: newCaller(opts)}, nil
}

// Close lets idle connections go.
func (h *HTTPHostList) Close() { h.caller.close() }

// Hosts implements HostList. All failures to get an answer are LogUnavailable.
func (h *HTTPHostList) Hosts(ctx context.Context) (HostView, error) {
	var view HostView
	if err := h.caller.do(ctx, request{path: "/v1/hosts"}, &view); err != nil {
		return HostView{}, readError(err)
	}
	return view, nil
}

// HTTPWeightStore is the client of the platform's weight store.
type HTTPWeightStore struct{ caller *caller }

var _ WeightStore = (*HTTPWeightStore)(nil)

// NewHTTPWeightStore returns a client; nothing is sent before the first call.
func NewHTTPWeightStore(opts Options) (*HTTPWeightStore, error) {
	opts, err := opts.validate()
	if err != nil {
		return nil, err
	}
	return &HTTPWeightStore{caller: newCaller(opts)}, nil
}

// Close lets idle connections go.
func (w *HTTPWeightStore) Close() { w.caller.close() }

// Weights implements WeightStore. A version that the store does not hold is
// NotFound, a rate limit LogLimited, no answer LogUnavailable.
func (w *HTTPWeightStore) Weights(ctx context.Context, model, version string) (Weights, error) {
	if model == "" || version == "" {
		return Weights{}, Invalid.New("model %q version %q", model, version)
	}
	path := "/v1/models/" + url.PathEscape(model) + "/versions/" + url.PathEscape(version)
	var weights Weights
	if err := w.caller.do(ctx, request{path: path}, &weights); err != nil {
		return Weights{}, readError(err)
	}
	return weights, nil
}
