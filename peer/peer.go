// Package peer carries calls between daemons over net/rpc, with a deadline on
// every call and a bounded number of connections per peer.
package peer

import "context"

// Caller sends calls to other daemons by peer address (IP:PORT).
type Caller interface {
	// Call runs "Service.Method" at the peer and waits for the reply until ctx is
	// done. A call that may have reached the peer is not repeated.
	Call(ctx context.Context, address, method string, args, reply any) error
	// Notify sends "Service.Method" one way: it returns at once, and errors are
	// only counted.
	Notify(address, method string, args any)
}

// Registrar registers receivers on the server side. See net/rpc for the required
// method signatures.
type Registrar interface {
	// Register adds a receiver's methods under name. It fails if the name is in use
	// or the receiver has no suitable method.
	Register(name string, receiver any) error
}
