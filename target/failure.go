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
	// TransportError is the type of causes in the connection.
	TransportError = namespace.NewType("transport")
	// ProtocolError is the type of causes in which a target violated the protocol.
	ProtocolError = namespace.NewType("protocol")
)

// ErrStreamCancelled is the cause of a Generate failure when the engine ended the
// stream because it was cancelled. The tokens received so far are never the complete
// answer.
var ErrStreamCancelled = errors.New("stream was cancelled at the engine")

// FailureOf returns the *Failure in err's chain, or nil.
func FailureOf(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return nil
}

// transportFailure classifies an error of the connection. connected is whether the
// request had been given a connection. Without one no byte can have left this
// process, so Reached is false only in that case.
func transportFailure(ctx context.Context, address string, connected bool, err error) *Failure {
	f := &Failure{Reached: connected, Address: address, Err: err}
	if cause := ctx.Err(); cause != nil {
		// The caller cancelled the call: the target did not break the connection and
		// must not be counted as crashed.
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

// isTimeout reports whether err is a timeout: the target did not answer in time,
// which doesn't mean that it crashed.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

func protocolFailure(address, format string, args ...any) *Failure {
	err := ProtocolError.New(format, args...)
	return &Failure{Reached: true, Address: address, Detail: "the target broke the protocol", Err: err}
}

// statusFailure classifies an HTTP status other than 2xx. refused means that the
// target is known not to have executed the request.
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
