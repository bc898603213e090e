package relay_test

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/callerconns"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/daemon/quotas"
	"tarragonhollow.example/tarragonhollow/daemon/relay"
	"tarragonhollow.example/tarragonhollow/daemon/relay/fakewire"
	"tarragonhollow.example/tarragonhollow/daemon/streams"
	"tarragonhollow.example/tarragonhollow/daemon/suspects/fakesuspects"
	"tarragonhollow.example/tarragonhollow/target/h1"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

// timeout bounds the waits for expected events.
const timeout = 5 * time.Second

// clockError is how much too early a target may take its time to be over that counts in whole
// milliseconds.
const clockError = 2 * time.Millisecond

const idHeader = "Id: r"

// maxCallers bounds the connections of callers.
const maxCallers = 100

func streamHead() string {
	return rawtarget.Head(200, idHeader, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
}

// unframedHead is the head of a stream that ends with its connection.
func unframedHead() string { return rawtarget.Head(200, idHeader, "Content-Type: text/event-stream") }

// plain returns events as callers receive them, chunked returns them in chunks.
func plain(ids ...int) string {
	text := ""
	for _, i := range ids {
		text += rawtarget.Event(i, fmt.Sprint("e", i))
	}
	return text
}

func chunked(ids ...int) string {
	text := ""
	for _, i := range ids {
		text += rawtarget.Chunk(plain(i))
	}
	return text
}

// span returns the numbers from first to last.
func span(first, last int) []int {
	var ids []int
	for i := first; i <= last; i++ {
		ids = append(ids, i)
	}
	return ids
}

func events(from, to int) string { return chunked(span(from, to)...) }

// fakeQuotas counts the tokens that requests take and return.
type fakeQuotas struct {
	mu              sync.Mutex
	taken, refunded int
	refusal         *outcome.Refusal
}

func (f *fakeQuotas) Take(_ context.Context, account string) (quotas.Token, *outcome.Refusal) {
	if f.refusal != nil {
		return quotas.Token{}, f.refusal
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.taken++
	return quotas.Token{}, nil
}

func (f *fakeQuotas) Refund(quotas.Token) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refunded++
}

// fakeStreams holds the versions of streams; a stream that is not named began at v1.
type fakeStreams struct {
	mu    sync.Mutex
	began map[string]string
}

func (f *fakeStreams) Began(stream, _, version string, _ bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.began == nil {
		f.began = map[string]string{}
	}
	f.began[stream] = version
}

func (f *fakeStreams) Find(_ context.Context, stream string, groups []string) streams.Origin {
	f.mu.Lock()
	defer f.mu.Unlock()
	return streams.Origin{Group: groups[0], Version: f.began[stream], Source: streams.Local}
}

func (f *fakeStreams) FindUnnamed(_ context.Context, group string) streams.Origin {
	return streams.Origin{Group: group, Version: "v1", Source: streams.SingleVersion}
}

// fixture is a relay with targets that tests script.
type fixture struct {
	view     *places.Places
	relay    *relay.Relay
	targets  []*rawtarget.Target
	script   func(r *rawtarget.Request, c net.Conn)
	entries  []roster.Target
	crashes  sync.Mutex
	request  *relay.Request
	suspects *fakesuspects.Tracker
	tokens   *fakeQuotas
	streams  *fakeStreams
}

// newFixture returns a relay without targets, and a repeatable request.
func newFixture() *fixture {
	f := &fixture{view: places.New(places.Options{Host: "h", Zone: "z", Logger: zap.NewNop()}), suspects: fakesuspects.New(2), tokens: &fakeQuotas{}, streams: &fakeStreams{}}
	pool := h1.NewPool(func() {})
	DeferCleanup(pool.Close)
	f.relay = relay.New(relay.Options{
		Wire: fakewire.Wire{}, Pool: pool, Places: f.view, Crashes: relay.NewCrashDetector(f.suspects, pool),
		Quotas: f.tokens, Streams: f.streams, Logger: zap.NewNop(), Metrics: metrics.NewSet(),
	})
	f.request = &relay.Request{
		ID:      "r",
		Route:   &route.Route{Kind: route.Idempotent, MaxAttempts: 3, Groups: []route.Share{{Group: "g", Weight: 1}}, Timeout: timeout},
		HTTP:    h1.Request{Method: "POST", URI: "/x", Host: "h"},
		Arrived: time.Now(), Deadline: time.Now().Add(timeout),
	}
	return f
}

// logPlaces has the choice of targets write to the logger. It must precede startTargets.
func (f *fixture) logPlaces(logger *zap.Logger) {
	f.view = places.New(places.Options{Host: "h", Zone: "z", Logger: logger})
	f.relay.Places = f.view
}

// startTargets starts n targets. The script gets the number of the request counted over
// all of them, so that it does not matter which one is used first.
func (f *fixture) startTargets(n int, script func(turn int, r *rawtarget.Request, c net.Conn)) {
	var turns atomic.Int64
	f.targets, f.entries = nil, nil
	f.script = func(r *rawtarget.Request, c net.Conn) { script(int(turns.Add(1))-1, r, c) }
	for i := range n {
		f.startTarget(fmt.Sprint("t", i))
	}
	f.putEntries()
}

// startTarget starts one more target.
func (f *fixture) startTarget(id string) {
	t, err := rawtarget.Start(f.script)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(t.Close)
	f.targets = append(f.targets, t)
	f.entries = append(f.entries, roster.Target{ID: id, Group: "g", Address: t.Address, Zone: "z", Version: "v1", Slots: 2})
}

func (f *fixture) putEntries() {
	f.view.Update(func(now time.Time, ros *roster.Roster) {
		ros.StoreAnswered(now)
		ros.Replace(now, f.entries)
	})
}

// crash ends the target of the connection with all its connections, as a killed process ends, and
// starts another one.
func (f *fixture) crash(c net.Conn) {
	f.crashes.Lock()
	defer f.crashes.Unlock()
	address := c.LocalAddr().String()
	i := slices.IndexFunc(f.entries, func(t roster.Target) bool { return t.Address == address })
	if i < 0 {
		return // it has crashed
	}
	f.entries = slices.Delete(f.entries, i, i+1)
	for _, t := range f.targets {
		if t.Address == address {
			t.Close()
		}
	}
	f.startTarget(fmt.Sprint("t", len(f.targets)))
	f.putEntries()
}

// sent returns the requests that targets received.
func (f *fixture) sent() []rawtarget.Request {
	var all []rawtarget.Request
	for _, t := range f.targets {
		all = append(all, t.Requests()...)
	}
	return all
}

// listen serves the fixture's request on connections, like the callers' server.
func (f *fixture) listen() *httptest.Server {
	return serveOnConnections(func(w http.ResponseWriter, r *http.Request) relay.Result {
		return f.relay.Serve(r.Context(), f.request, w)
	})
}

func serveOnConnections(handler func(w http.ResponseWriter, r *http.Request) relay.Result) *httptest.Server {
	server := startOnConnections(handler)
	DeferCleanup(server.Close)
	return server
}

// startOnConnections is serveOnConnections outside a spec.
func startOnConnections(handler func(w http.ResponseWriter, r *http.Request) relay.Result) *httptest.Server {
	server := httptest.NewUnstartedServer(callerconns.ResetUnlessCompleted(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		result := handler(w, r)
		if result.Aborted || result.CallerLeft {
			panic(http.ErrAbortHandler)
		}
		if result.Refusal != nil {
			w.Header().Set("Run", string(result.Refusal.Run))
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})))
	set := metrics.NewSet()
	listener := callerconns.New(server.Listener, maxCallers, timeout, callerconns.Metrics{
		Evicted: set.NewCounter("evicted_total"), Stalled: set.NewCounter("stalled_total"),
	})
	server.Listener = listener
	server.Config.ConnState, server.Config.ConnContext = listener.Track, callerconns.ConnContext
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Start()
	return server
}

func (f *fixture) serve() (*httptest.ResponseRecorder, relay.Result) {
	w := httptest.NewRecorder()
	return w, f.relay.Serve(context.Background(), f.request, w)
}
