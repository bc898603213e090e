package target

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"sync/atomic"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxEchoing bounds the addresses of targets that are known to echo the IDs of calls. One
	// that is dropped costs a connection.
	maxEchoing = 1 << 14
	// clientIDBytes makes the IDs of different clients differ.
	clientIDBytes = 8
)

// callIDs names each call and checks that an answer is that of its call.
//
// Failure guarded against: a target answers a request twice, and the second answer arrives while
// the next request waits on the same connection. Its caller would get the answer of another
// request, and so would all later ones on the connection. Only a target that echoes the ID of the
// call can be told from one that does so. A connection to another target is used for one call.
type callIDs struct {
	client string
	last   atomic.Uint64
	// echoing holds the addresses whose last answer had the ID of its call.
	echoing *lru.Cache[string, struct{}]
}

func newCallIDs() *callIDs {
	id := make([]byte, clientIDBytes)
	_, _ = rand.Read(id)                                // never fails
	echoing, _ := lru.New[string, struct{}](maxEchoing) // fails for a size below 1 only
	return &callIDs{client: hex.EncodeToString(id), echoing: echoing}
}

// EchoCallID returns a handler that answers as targets should: with the ID of the call.
func EchoCallID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(HeaderCallID); id != "" {
			w.Header().Set(HeaderCallID, id)
		}
		next.ServeHTTP(w, r)
	})
}

// next returns the ID of a new call.
func (c *callIDs) next() string { return c.client + "-" + strconv.FormatUint(c.last.Add(1), 36) }

// mayReuse reports whether the connection of a call to the address may serve another one.
func (c *callIDs) mayReuse(address string) bool { return c.echoing.Contains(address) }

// check returns a failure if the answer may be that of another call. reused reports whether the
// connection has served an earlier one.
func (c *callIDs) check(address, id string, answer *http.Response, reused bool) *Failure {
	echoed := answer.Header.Get(HeaderCallID)
	if echoed == id {
		c.echoing.Add(address, struct{}{})
		return nil
	}
	c.echoing.Remove(address)
	if echoed == "" && !reused {
		return nil
	}
	return protocolFailure(address, "the answer to call %s has the ID %.64q", id, echoed)
}
