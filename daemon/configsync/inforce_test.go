package configsync_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"tarragonhollow.example/tarragonhollow/core/membership"
	"tarragonhollow.example/tarragonhollow/daemon/configsync"
	"tarragonhollow.example/tarragonhollow/daemon/duty"
	"tarragonhollow.example/tarragonhollow/daemon/members"
	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/extern/fakelog"
	"tarragonhollow.example/tarragonhollow/peer"
)

// BenchmarkInForce reports how long after its publication a version is in force on all
// connected daemons of twelve, and on the one that is cut off from the log:
// go test -bench InForce -benchtime 20x.
func BenchmarkInForce(b *testing.B) {
	const size, settle = 12, 3 * time.Second
	log := fakelog.New(fakelog.Options{})
	cut := log.NewClient()
	cut.SetCut(true)
	var fleet []*configsync.Sync
	seed := ""
	for i := range size {
		client := log.NewClient()
		if i == size-1 {
			client = cut
		}
		s, address := startDaemon(b, i, client, seed)
		fleet = append(fleet, s)
		seed = address
	}
	time.Sleep(settle)
	var connected, cutOff time.Duration
	b.ResetTimer()
	for n := range b.N {
		began := time.Now()
		version, err := fleet[0].Publish(context.Background(), fmt.Sprint("text ", n), uint64(n), "thu")
		if err != nil {
			b.Fatal(err)
		}
		connected = max(connected, timeToInForce(b, fleet[:size-1], version, began))
		cutOff = max(cutOff, timeToInForce(b, fleet[size-1:], version, began))
	}
	b.ReportMetric(float64(connected.Milliseconds()), "max-ms-connected")
	b.ReportMetric(float64(cutOff.Milliseconds()), "max-ms-cut-off")
}

// timeToInForce waits until the version is in force on the fleet, and returns the time since
// began.
func timeToInForce(b *testing.B, fleet []*configsync.Sync, version uint64, began time.Time) time.Duration {
	for _, s := range fleet {
		for s.Current().Version < version {
			if time.Since(began) > time.Minute {
				b.Fatal("not in force after a minute")
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(began)
}

// startDaemon starts a daemon's membership and configuration on a real socket.
func startDaemon(b *testing.B, i int, log extern.Log, seed string) (*configsync.Sync, string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	address := ln.Addr().String()
	server, client := peer.NewServer(peer.ServerOptions{}), peer.NewClient(peer.ClientOptions{})
	m, err := members.New(members.Options{
		Host: fmt.Sprint("host-", i), PeerAddress: address, Incarnation: uint64(time.Now().UnixNano()),
		Seeds: []string{seed}, Peer: client, Registrar: server,
	})
	if err != nil {
		b.Fatal(err)
	}
	s, err := configsync.New(configsync.Options{
		Log: log, View: m, Peer: client, Registrar: server, Parse: parse(false),
		OnApplied: func(v uint64) { m.SetFacts(func(self *membership.Member) { self.ConfigVersion = v }) },
	})
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(ln) }()
	ctx, cancel := context.WithCancel(context.Background())
	group := duty.NewGroup(ctx)
	m.Run(group)
	s.Run(group)
	b.Cleanup(func() {
		cancel()
		_ = server.Close()
		_ = client.Close()
		group.Wait()
	})
	return s, address
}
