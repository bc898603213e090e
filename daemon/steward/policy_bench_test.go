package steward

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/admission"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/signal"
	"tarragonhollow.example/tarragonhollow/standin/engine"
	"tarragonhollow.example/tarragonhollow/target"
)

// The load of BenchmarkPolicies: bursts of online requests with idle gaps of seconds on one
// engine, alongside a backlog of batch items that is never exhausted.
const (
	benchBursts     = 6
	benchPerBurst   = 12
	benchSpacing    = 80 * time.Millisecond
	benchIdle       = 2 * time.Second
	benchAnswer     = 24
	benchBatchBytes = 2400
	// benchFlush is the interval at which the entry host batches signals, benchWire the
	// network latency to a steward in another availability zone.
	benchFlush = 5 * time.Millisecond
	benchWire  = 1500 * time.Microsecond
)

// latencies collects the latencies that online callers observe, in milliseconds.
type latencies struct {
	mu      sync.Mutex
	first   []float64
	between []float64
	running atomic.Int64
	started atomic.Uint64
	wg      sync.WaitGroup
}

func (l *latencies) request(client target.Engine, address string, n int) {
	defer l.wg.Done()
	l.running.Add(1)
	l.started.Add(1)
	defer l.running.Add(-1)
	last := time.Now()
	ctx := target.WithUrgency(context.Background(), target.UrgencyOnline)
	_, err := client.Generate(ctx, address, target.GenerateRequest{
		StreamID: "online/" + strconv.Itoa(n), Model: "m", MaxTokens: benchAnswer,
		Messages: []target.Message{{Role: "user", Content: strings.Repeat("order ", 40) + strconv.Itoa(n)}},
	}, func(tok target.Token) error {
		gap := float64(time.Since(last).Microseconds()) / 1000
		last = time.Now()
		l.mu.Lock()
		defer l.mu.Unlock()
		if tok.Index == 0 {
			l.first = append(l.first, gap)
		} else {
			l.between = append(l.between, gap)
		}
		return nil
	})
	Expect(err).NotTo(HaveOccurred())
}

// signalLoop sends signals as an entry host does: absolute counts, batched.
func (l *latencies) signalLoop(ctx context.Context, s *Steward, address string) {
	seq, last := uint64(0), uint64(0)
	every(ctx, benchFlush, func(context.Context) {
		online, started := int(l.running.Load()), l.started.Load()
		state := started<<8 | uint64(online)
		seq++
		if state == last && seq%100 != 0 {
			return
		}
		last = state
		time.Sleep(benchWire)
		s.OnSignal(signal.Signal{Entry: self.ID(), Seq: seq, Targets: []signal.TargetLoad{{Address: address, Online: online, Started: started}}})
	})
}

func quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}

// BenchmarkPolicies compares the policies on the stand-in engine over loopback HTTP: the
// tail latency of online requests alongside batch work, the batch tokens per second, and
// the time from a burst's first request to the last batch token. Run it with -benchtime=1x;
// one round takes some 20 seconds for each policy.
func BenchmarkPolicies(b *testing.B) {
	filled := admission.DefaultPreemptive()
	filled.Fill = 6
	for _, c := range []struct {
		name   string
		policy admission.Policy
		weight float64
		items  int
	}{
		{"no_batch", admission.FCFS{}, 0, 0},
		{"fcfs", admission.FCFS{}, 0, 4000},
		{"static_reserve_4", admission.StaticReserve{Free: 4}, 0, 4000},
		{"give_way_0", admission.DefaultPreemptive(), 0, 4000},
		{"give_way_0_fill_6", filled, 0, 4000},
		{"give_way_0.5", admission.DefaultPreemptive(), 0.5, 4000},
		{"give_way_1", admission.DefaultPreemptive(), 1, 4000},
	} {
		b.Run(c.name, func(b *testing.B) {
			RegisterTestingT(b)
			for range b.N {
				benchPolicy(b, c.policy, c.weight, c.items)
			}
		})
	}
}

func benchPolicy(b *testing.B, policy admission.Policy, weight float64, items int) {
	server, err := engine.New(engine.DefaultOptions())
	Expect(err).NotTo(HaveOccurred())
	defer server.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	hs := &http.Server{Handler: server.Handler()}
	go func() { _ = hs.Serve(listener) }()
	defer func() { _ = hs.Close() }()
	address := listener.Addr().String()
	client := target.NewEngineClient(target.DefaultClientOptions())
	defer client.Close()

	s := newBench(8, address)
	s.opts.Engine = client
	s.opts.PolicyOf = func(*config.TargetGroup) admission.Policy { return policy }
	s.opts.Config().Profiles["night"].BatchWeight = weight
	for i := range items {
		s.ledger.add("c/j", "night", strconv.Itoa(i)+strings.Repeat(" sheet", benchBatchBytes/6))
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.loops = duty.NewGroup(ctx)
	s.assign()
	s.Run(s.loops)
	l := &latencies{}
	s.loops.Go(func(ctx context.Context) { l.signalLoop(ctx, s.Steward, address) })
	defer func() { cancel(); s.loops.Wait() }()

	begun := time.Now()
	var bursts []int64
	for burst := range benchBursts {
		time.Sleep(benchIdle)
		bursts = append(bursts, time.Now().UnixMilli())
		for i := range benchPerBurst {
			l.wg.Add(1)
			go l.request(client, address, burst*benchPerBurst+i)
			time.Sleep(benchSpacing)
		}
		l.wg.Wait()
	}
	seconds := time.Since(begun).Seconds()
	b.ReportMetric(quantile(l.first, 0.5), "online_first_p50_ms")
	b.ReportMetric(quantile(l.first, 0.99), "online_first_p99_ms")
	b.ReportMetric(quantile(l.between, 0.99), "online_between_p99_ms")
	b.ReportMetric(float64(server.Stats().TokensByUrgency[target.UrgencyBatch])/seconds, "batch_tokens/s")
	worst, mean := lastBatchToken(server.Records(), bursts)
	b.ReportMetric(worst, "last_batch_token_worst_ms")
	b.ReportMetric(mean, "last_batch_token_mean_ms")
	b.ReportMetric(preemptMeanMs(s.opts.Metrics), "give_way_mean_ms")
}

// preemptMeanMs returns the mean of the steward's own metric, in milliseconds: the time from
// a signal's arrival to the reply to the last cancel.
func preemptMeanMs(set *metrics.Set) float64 {
	var text bytes.Buffer
	set.WritePrometheus(&text)
	var sum, count float64
	for _, line := range strings.Split(text.String(), "\n") {
		_, _ = fmt.Sscanf(line, "tarragonhollow_steward_give_way_seconds_sum %g", &sum)
		_, _ = fmt.Sscanf(line, "tarragonhollow_steward_give_way_seconds_count %g", &count)
	}
	if count == 0 {
		return 0
	}
	return 1000 * sum / count
}

// BenchmarkOnSignal measures the cost of a signal about ten targets to its sender while the
// steward's loops run.
func BenchmarkOnSignal(b *testing.B) {
	RegisterTestingT(b)
	addresses := make([]string, 10)
	for i := range addresses {
		addresses[i] = "10.0.1." + strconv.Itoa(i) + ":80"
	}
	s := newBench(8, addresses...)
	ctx, cancel := context.WithCancel(context.Background())
	s.loops = duty.NewGroup(ctx)
	s.assign()
	s.Run(s.loops)
	for i := 0; b.Loop(); i++ {
		s.online(i % 2)
	}
	cancel()
	s.loops.Wait()
}

// lastBatchToken returns the maximum and mean time, in milliseconds, from a burst's start to
// the last token of a batch stream that had started before it.
func lastBatchToken(records []engine.Record, bursts []int64) (worst, mean float64) {
	for _, at := range bursts {
		last := at
		for _, r := range records {
			if r.Urgency == target.UrgencyBatch && r.AtMs < at {
				last = max(last, r.LastTokenMs)
			}
		}
		worst = max(worst, float64(last-at))
		mean += float64(last-at) / float64(len(bursts))
	}
	return worst, mean
}
