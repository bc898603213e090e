package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/daemon/quotas"
	"tarragonhollow.example/tarragonhollow/daemon/relay"
	"tarragonhollow.example/tarragonhollow/daemon/relay/fakewire"
	"tarragonhollow.example/tarragonhollow/daemon/suspects/fakesuspects"
	"tarragonhollow.example/tarragonhollow/target/h1"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

// timeout bounds the waits for expected events.
const timeout = 5 * time.Second

const idHeader = "Id: r"

func streamHead() string {
	return rawtarget.Head(200, idHeader, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
}

func events(from, to int) string {
	text := ""
	for i := from; i <= to; i++ {
		text += rawtarget.Chunk(rawtarget.Event(i, fmt.Sprint("e", i)))
	}
	return text
}

// fakeQuotas counts the tokens that requests take and return.
type fakeQuotas struct {
	taken, refunded int
	refusal         *outcome.Refusal
}

func (f *fakeQuotas) Take(_ context.Context, account string) (quotas.Token, *outcome.Refusal) {
	if f.refusal != nil {
		return quotas.Token{}, f.refusal
	}
	f.taken++
	return quotas.Token{}, nil
}

func (f *fakeQuotas) Refund(quotas.Token) { f.refunded++ }

// fixture is a relay with targets that tests script.
type fixture struct {
	view     *places.Places
	relay    *relay.Relay
	targets  []*rawtarget.Target
	request  *relay.Request
	suspects *fakesuspects.Tracker
	tokens   *fakeQuotas
}

// newFixture returns a relay without targets, and a repeatable request.
func newFixture() *fixture {
	f := &fixture{view: places.New(places.Options{Host: "h", Zone: "z", Logger: zap.NewNop()}), suspects: fakesuspects.New(2), tokens: &fakeQuotas{}}
	pool := h1.NewPool(func() {})
	DeferCleanup(pool.Close)
	f.relay = relay.New(relay.Options{
		Wire: fakewire.Wire{}, Pool: pool, Places: f.view, Crashes: relay.NewCrashDetector(f.suspects, pool),
		Quotas: f.tokens, Logger: zap.NewNop(), Metrics: metrics.NewSet(),
	})
	f.request = &relay.Request{
		ID:      "r",
		Route:   &route.Route{Kind: route.Idempotent, MaxAttempts: 3, Groups: []route.Share{{Group: "g", Weight: 1}}, Timeout: timeout},
		HTTP:    h1.Request{Method: "POST", URI: "/x", Host: "h"},
		Arrived: time.Now(), Deadline: time.Now().Add(timeout),
	}
	return f
}

// startTargets starts n targets. The script gets the number of the request counted over
// all of them, so that it does not matter which one is used first.
func (f *fixture) startTargets(n int, script func(turn int, r *rawtarget.Request, c net.Conn)) {
	turns := make(chan int, 100)
	for i := range 100 {
		turns <- i
	}
	f.targets = nil
	var list []roster.Target
	for i := range n {
		t, err := rawtarget.Start(func(r *rawtarget.Request, c net.Conn) { script(<-turns, r, c) })
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(t.Close)
		f.targets = append(f.targets, t)
		list = append(list, roster.Target{ID: fmt.Sprint("t", i), Group: "g", Address: t.Address, Zone: "z", Slots: 2})
	}
	f.view.Update(func(now time.Time, ros *roster.Roster) {
		ros.StoreAnswered(now)
		ros.Replace(now, list)
	})
}

// sent returns the requests that targets received.
func (f *fixture) sent() []rawtarget.Request {
	var all []rawtarget.Request
	for _, t := range f.targets {
		all = append(all, t.Requests()...)
	}
	return all
}

func (f *fixture) serve() (*httptest.ResponseRecorder, relay.Result) {
	w := httptest.NewRecorder()
	return w, f.relay.Serve(context.Background(), f.request, w)
}
