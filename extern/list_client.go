package extern

import (
	"context"
	"net/url"
)

// HTTPHostList is the client of the platform's host list.
type HTTPHostList struct{ client *httpClient }

var _ HostList = (*HTTPHostList)(nil)

// NewHTTPHostList returns a client; nothing is sent before the first call.
func NewHTTPHostList(opts Options) (*HTTPHostList, error) {
	opts, err := opts.validate()
	if err != nil {
		return nil, err
	}
	return &HTTPHostList{client: newHTTPClient(opts)}, nil
}

// Close closes idle connections.
func (h *HTTPHostList) Close() { h.client.close() }

// Hosts implements HostList. Its error is LogUnavailable whenever no valid response
// was received.
func (h *HTTPHostList) Hosts(ctx context.Context) (HostView, error) {
	var view HostView
	if err := h.client.do(ctx, request{path: "/v1/hosts"}, &view); err != nil {
		return HostView{}, readError(err)
	}
	return view, nil
}

// HTTPWeightStore is the client of the platform's weight store.
type HTTPWeightStore struct{ client *httpClient }

var _ WeightStore = (*HTTPWeightStore)(nil)

// NewHTTPWeightStore returns a client; nothing is sent before the first call.
func NewHTTPWeightStore(opts Options) (*HTTPWeightStore, error) {
	opts, err := opts.validate()
	if err != nil {
		return nil, err
	}
	return &HTTPWeightStore{client: newHTTPClient(opts)}, nil
}

// Close closes idle connections.
func (w *HTTPWeightStore) Close() { w.client.close() }

// Weights implements WeightStore. Its errors are NotFound if the store does not have
// the version, LogLimited on a rate limit and LogUnavailable if no response was
// received.
func (w *HTTPWeightStore) Weights(ctx context.Context, model, version string) (Weights, error) {
	if model == "" || version == "" {
		return Weights{}, Invalid.New("model %q version %q", model, version)
	}
	path := "/v1/models/" + url.PathEscape(model) + "/versions/" + url.PathEscape(version)
	var weights Weights
	if err := w.client.do(ctx, request{path: path}, &weights); err != nil {
		return Weights{}, readError(err)
	}
	return weights, nil
}
