package relay_test

import (
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/core/roster"
	"tarragonhollow.example/tarragonhollow/core/route"
	"tarragonhollow.example/tarragonhollow/daemon/places"
	"tarragonhollow.example/tarragonhollow/daemon/relay"
	"tarragonhollow.example/tarragonhollow/daemon/relay/fakewire"
	"tarragonhollow.example/tarragonhollow/daemon/suspects/fakesuspects"
	"tarragonhollow.example/tarragonhollow/target/h1"
	"tarragonhollow.example/tarragonhollow/target/killabletarget"
)

// BenchmarkEndsOfDrainingTarget reports which share of the last answers without framing of a target
// that need not serve any longer end as complete: of one that leaves in order, and of one that ends
// at any time in the middle of its streams.
func BenchmarkEndsOfDrainingTarget(b *testing.B) {
	for _, c := range []struct {
		name    string
		streams int
		pause   time.Duration
		leaves  bool
	}{
		{"leaves", 1, 15 * time.Millisecond, true},
		{"killed, 1 stream, events 15 ms apart", 1, 15 * time.Millisecond, false},
		{"killed, 1 stream, events 50 ms apart", 1, 50 * time.Millisecond, false},
		{"killed, 3 streams, events 15 ms apart", 3, 15 * time.Millisecond, false},
	} {
		b.Run(c.name, func(b *testing.B) {
			complete := 0
			for range b.N {
				complete += endDrainingTarget(b, c.streams, c.pause, c.leaves)
			}
			b.ReportMetric(float64(complete)/float64(b.N*c.streams), "complete")
		})
	}
}

// endDrainingTarget returns how many of the streams ended as complete.
func endDrainingTarget(b *testing.B, streams int, pause time.Duration, leaves bool) int {
	target, err := startDraining(pause, leaves)
	if err != nil {
		b.Fatal(err)
	}
	defer target.Kill()
	view := places.New(places.Options{Host: "h", Zone: "z", Logger: zap.NewNop()})
	entry := roster.Target{ID: "t", Group: "g", Address: target.Address, Zone: "z", Version: "v1", Slots: 8}
	put := func(ago time.Duration, draining bool) {
		view.Update(func(now time.Time, r *roster.Roster) {
			r.StoreAnswered(now.Add(-ago))
			r.StoreAnswered(now.Add(-ago))
			entry.Draining = draining
			r.Set(now.Add(-ago), entry)
		})
	}
	put(time.Minute, false)
	pool := h1.NewPool(func() {})
	defer pool.Close()
	proxy := relay.New(relay.Options{Wire: fakewire.Wire{}, Pool: pool, Places: view, Crashes: relay.NewCrashDetector(fakesuspects.New(2), pool),
		Quotas: &fakeQuotas{}, Streams: &fakeStreams{}, Logger: zap.NewNop(), Metrics: metrics.NewSet()})
	server := startOnConnections(func(w http.ResponseWriter, r *http.Request) relay.Result {
		return proxy.Serve(r.Context(), &relay.Request{ID: "r",
			Route:   &route.Route{Kind: route.Stream, MaxAttempts: 1, Groups: []route.Share{{Group: "g", Weight: 1}}, Timeout: timeout, GapObjective: time.Second},
			HTTP:    h1.Request{Method: "POST", URI: "/x", Host: "h"},
			Arrived: time.Now(), Deadline: time.Now().Add(timeout)}, w)
	})
	defer server.Close()
	ends := make(chan bool, streams)
	for range streams {
		go func() {
			response, err := http.Get(server.URL)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			ends <- err == nil
		}()
	}
	for range streams {
		if err := target.AwaitAnswer(); err != nil {
			b.Fatal(err)
		}
	}
	put(10*time.Second, true)
	time.Sleep(3*pause + rand.N(pause))
	if leaves {
		err = target.Leave()
	} else {
		target.Kill()
	}
	if err != nil {
		b.Fatal(err)
	}
	complete := 0
	for range streams {
		if <-ends {
			complete++
		}
	}
	return complete
}

func startDraining(pause time.Duration, leaves bool) (*killabletarget.Target, error) {
	if leaves {
		return killabletarget.StartLeaving(unframedHead()+plain(0), plain(1))
	}
	return killabletarget.StartStreaming(unframedHead(), pause)
}
