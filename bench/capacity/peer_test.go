package capacity

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"tarragonhollow.example/tarragonhollow/daemon/signal"
	"tarragonhollow.example/tarragonhollow/peer"
)

// signalService replies to signals like a batch dispatcher.
type signalService struct{}

// Deliver replies with one load report for each target.
func (signalService) Deliver(s *signal.Signal, reply *signal.Reply) error {
	for _, t := range s.Targets {
		reply.Words = append(reply.Words, signal.TargetReport{Address: t.Address, Steward: s.Entry})
	}
	return nil
}

// BenchmarkPeerCall makes calls over a warm loopback connection, one at a time, and reports
// the CPU time of client and server together and the bytes on the wire.
func BenchmarkPeerCall(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	set := metrics.NewSet()
	server := peer.NewServer(peer.ServerOptions{Metrics: set})
	if err := server.Register(signal.ServiceName, signalService{}); err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	client := peer.NewClient(peer.ClientOptions{Metrics: set})
	b.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	sent := set.GetOrCreateCounter("tarragonhollow_peer_client_sent_bytes_total")
	received := set.GetOrCreateCounter("tarragonhollow_peer_client_received_bytes_total")
	request := signal.Signal{Entry: "entry-000/1760000000000000000", Seq: 1 << 20, Targets: []signal.TargetLoad{
		{Address: targetAddress(0), Started: 1 << 20}, {Address: targetAddress(1), Started: 1 << 20},
	}}
	call := func() {
		var reply signal.Reply
		if err := client.Call(context.Background(), listener.Addr().String(), signal.DeliverMethod, &request, &reply); err != nil {
			b.Fatal(err)
		}
	}
	call() // connects and sends the gob type descriptions
	bytes, used := sent.Get()+received.Get(), cpuTime()
	n := 0
	for b.Loop() {
		call()
		n++
	}
	b.ReportMetric(float64((cpuTime()-used).Nanoseconds())/1000/float64(n), "cpu-us/call")
	b.ReportMetric(float64(sent.Get()+received.Get()-bytes)/float64(n), "bytes/call")
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
