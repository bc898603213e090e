// Package fakepeer calls the services of daemons in one process, without connections.
package fakepeer

import (
	"reflect"
	"strings"
	"sync"

	"tarragonhollow.example/tarragonhollow/peer"
)

// Receivers holds the services of daemons by peer address. The zero value is empty and
// ready to use. It is safe for concurrent use.
type Receivers struct {
	mu        sync.Mutex
	byAddress map[string]map[string]any
}

// At returns the registrar for the daemon at an address.
func (r *Receivers) At(address string) peer.Registrar { return registrar{r, address} }

type registrar struct {
	receivers *Receivers
	address   string
}

// Register implements peer.Registrar.
func (r registrar) Register(service string, receiver any) error {
	r.receivers.mu.Lock()
	defer r.receivers.mu.Unlock()
	if r.receivers.byAddress == nil {
		r.receivers.byAddress = map[string]map[string]any{}
	}
	if r.receivers.byAddress[r.address] == nil {
		r.receivers.byAddress[r.address] = map[string]any{}
	}
	r.receivers.byAddress[r.address][service] = receiver
	return nil
}

// Invoke calls a method, named "Service.Method" as in net/rpc, and waits until it returns.
// If reply is nil, the method's reply is discarded. The errors are those of a peer.Caller.
func (r *Receivers) Invoke(address, method string, args, reply any) error {
	service, name, _ := strings.Cut(method, ".")
	r.mu.Lock()
	receiver := r.byAddress[address][service]
	r.mu.Unlock()
	if receiver == nil {
		return peer.Unreachable.New("%s", address)
	}
	called := reflect.ValueOf(receiver).MethodByName(name)
	if reply == nil {
		reply = reflect.New(called.Type().In(1).Elem()).Interface()
	}
	results := called.Call([]reflect.Value{reflect.ValueOf(args), reflect.ValueOf(reply)})
	if err, failed := results[0].Interface().(error); failed {
		return peer.RemoteError.Wrap(err, "%s", method)
	}
	return nil
}
