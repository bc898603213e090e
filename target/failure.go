package target

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("target")
	// TransportError is the type of causes that come from the connection.
	TransportError = namespace.NewType("transport")
	// ProtocolError is the type of causes where a target broke its contract.
	ProtocolError = namespace.NewType("protocol")
)

// ErrStreamCancelled is the cause of a Generate failure when the engine ended
// the stream because somebody cancelled it: the tokens so far are a part of the
// answer, never the whole.
var ErrStreamCancelled = errors.New("stream was cancelled at the engine")

// FailureOf returns the *Failure in err's chain, or nil.
func FailureOf(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return nil
}

// transportFailure classifies an error of the connection. connected tells
// whether a connection had been handed to the request: before that not one byte
// can have left this process, so only then is Reached false.
func transportFailure(ctx context.Context, address string, connected bool, err error) *Failure {
	f := &Failure{Reached: connected, Address: address, Err: err}
	if cause := ctx.Err(); cause != nil {
		// The caller gave up: the target did not break the connection, and must
		// not be counted as crashed.
		f.Err = context.Cause(ctx)
		if !errors.Is(f.Err, cause) {
			f.Err = errors.Join(f.Err, cause)
		}
		f.Detail = "given up while the target worked"
		return f
	}
	f.Err = TransportError.Wrap(err, "call to %s", address)
	if !connected {
		f.Detail = "no connection to the target"
		return f
	}
	f.Crashed = !isTimeout(err)
	f.Detail = "the connection to the target broke"
	return f
}

// isTimeout tells a target that is silent for too long from one that died.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

func protocolFailure(address, format string, args ...any) *Failure {
	err := ProtocolError.New(format, args...)
	return &Failure{Reached: true, Address: address, Detail: "the target broke the protocol", Err: err}
}

// statusFailure classifies an HTTP status other than 2xx. refused tells that
// the target is known not to have executed the request.
func statusFailure(address string, status int, refused bool, body []byte) *Failure {
	f := &Failure{Reached: !refused, Status: status, Address: address}
	f.Detail = fmt.Sprintf("the target answered %d: %s", status, excerpt(body))
	switch {
	case refused:
		f.Busy = true
	case status == http.StatusTooManyRequests, status >= http.StatusInternalServerError:
	case status >= http.StatusBadRequest:
		f.Rejected = true
	}
	return f
}

const excerptBytes = 200

func excerpt(body []byte) string {
	if len(body) > excerptBytes {
		return string(body[:excerptBytes]) + "..."
	}
	return string(body)
}
