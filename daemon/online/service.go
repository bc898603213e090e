package online

import (
	"context"
	"net/http"

	"tarragonhollow.example/tarragonhollow/api"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/target"
)

// headerContentType is the only header of a service's answer that the ledger stores.
const headerContentType = "Content-Type"

// Service runs a call to a plain service.
func (o *Online) Service(ctx context.Context, call api.ServiceCall) (target.ServiceResponse, error) {
	began := o.opt.Clock()
	response, refusal := o.service(ctx, call)
	took := o.opt.Clock().Sub(began)
	o.meters.observeEnd(call.Call, took, refusal)
	if refusal != nil {
		return target.ServiceResponse{}, refusal
	}
	o.meters.profile(call.Profile.Name).firstToken.Update(took.Seconds())
	return response, nil
}

func (o *Online) service(ctx context.Context, call api.ServiceCall) (target.ServiceResponse, *outcome.Refusal) {
	c := o.opt.Config()
	if c == nil || c.Version == 0 {
		return target.ServiceResponse{}, outcome.Refuse(outcome.NotReady, "no configuration yet")
	}
	groupConfig := c.Groups[call.Service]
	if groupConfig == nil || groupConfig.Kind != config.KindService {
		return target.ServiceResponse{}, outcome.Refuse(outcome.UnknownTarget, "no service %q", call.Service)
	}
	g := o.groupOf(c, groupConfig)
	if g == nil {
		return target.ServiceResponse{}, outcome.Refuse(outcome.UnknownTarget, "service %q is gone", call.Service)
	}
	ctx, release, refusal := o.admit(ctx, call.Call, c)
	if refusal != nil {
		return target.ServiceResponse{}, refusal
	}
	defer release()
	r := o.newRun(call.Call, g)
	var response target.ServiceResponse
	try := func(ctx context.Context, address string, last bool) error {
		var err error
		response, err = o.callService(ctx, r, address, call.Request, last)
		return err
	}
	if call.Key == "" {
		refusal := o.attemptAll(ctx, r, try)
		return response, refusal
	}
	return o.serviceKeyed(ctx, r, try, &response)
}

func (o *Online) callService(ctx context.Context, r *run, address string, request target.ServiceRequest, last bool) (target.ServiceResponse, error) {
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := o.watchStall(r, address, last, cancel)
	defer watch.stop()
	response, err := o.opt.Service.Call(targetContext(attempt, r.call), address, request)
	if err == nil {
		r.markAnswered(address)
	}
	if f := target.FailureOf(err); f != nil && f.Rejected && response.Status != 0 {
		// The service rejected the content: its answer goes to the caller.
		return response, nil
	}
	if err != nil {
		return response, stallError(attempt, ctx, err)
	}
	return response, nil
}

func (o *Online) serviceKeyed(ctx context.Context, r *run, try attempt, response *target.ServiceResponse) (target.ServiceResponse, *outcome.Refusal) {
	answer, replayed, refusal := o.keyed(ctx, r, func(ctx context.Context) (*ledger.Answer, *outcome.Refusal) {
		if refusal := o.attemptAll(ctx, r, try); refusal != nil {
			return nil, refusal
		}
		return ledgerAnswer(*response), nil
	})
	if refusal != nil {
		return target.ServiceResponse{}, refusal
	}
	if !replayed {
		return *response, nil
	}
	header := http.Header{api.HeaderReplayed: {"true"}}
	if answer.ContentType != "" {
		header.Set(headerContentType, answer.ContentType)
	}
	return target.ServiceResponse{Status: answer.Status, Header: header, Body: answer.Body}, nil
}

func ledgerAnswer(r target.ServiceResponse) *ledger.Answer {
	return &ledger.Answer{Status: r.Status, ContentType: r.Header.Get(headerContentType), Body: r.Body}
}
