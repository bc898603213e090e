package capacity

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"tarragonhollow.example/tarragonhollow/core/burn"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/core/configlog"
	"tarragonhollow.example/tarragonhollow/core/ledger"
	"tarragonhollow.example/tarragonhollow/daemon/signal"
	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/target"
)

// BenchmarkHostList reports the size of one response of the host list in bytes, and the
// time to decode it as a percentage of a core: every daemon decodes it once a second.
func BenchmarkHostList(b *testing.B) {
	for _, size := range []struct{ daemons, targets int }{{12, 14}, {85, 150}, {340, 600}} {
		b.Run(fmt.Sprintf("daemons=%d/targets=%d", size.daemons, size.targets), func(b *testing.B) {
			view := extern.HostView{Version: 12345}
			for i := range size.daemons + size.targets {
				h := extern.Host{Name: hostName(i), Role: extern.RoleDaemon, Address: hostAddress(i), Zone: "hai-chau", State: "live"}
				if i >= size.daemons {
					h.Name, h.Role, h.Address = fmt.Sprintf("engine-%03d", i), extern.RoleTarget, targetAddress(i)
				}
				view.Hosts = append(view.Hosts, h)
			}
			text, err := json.Marshal(view)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				var got extern.HostView
				if err := json.Unmarshal(text, &got); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "bytes")
			b.ReportMetric(100*b.Elapsed().Seconds()/float64(b.N), "core%")
		})
	}
}

// BenchmarkSignalBytes reports the bytes of one signal and its reply on a warm connection,
// by the number of targets in the signal.
func BenchmarkSignalBytes(b *testing.B) {
	for _, targets := range []int{1, 2, 8, 50} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			s := signal.Signal{Entry: "entry-000/1760000000000000000", Seq: 1 << 20}
			var reply signal.Reply
			for i := range targets {
				s.Targets = append(s.Targets, signal.TargetLoad{Address: targetAddress(i), Started: 1 << 20})
				reply.Words = append(reply.Words, signal.TargetReport{
					Address: targetAddress(i), OnlineTotal: 4, BatchRunning: 3, ReportAgeMs: 250, Steward: s.Entry,
					Report: target.LoadReport{Running: 7, Slots: 8, AtMs: 1e12},
				})
			}
			meter := newGobMeter()
			meter.add(s)
			meter.add(reply)
			before := meter.bytes
			n := 0
			for b.Loop() {
				meter.add(s)
				meter.add(reply)
				n++
			}
			b.ReportMetric(float64(meter.bytes-before)/float64(n), "bytes")
		})
	}
}

// BenchmarkPullBytes reports the bytes of one pull that returns no items.
func BenchmarkPullBytes(b *testing.B) {
	meter := newGobMeter()
	req := ledger.PullRequest{Steward: "entry-000/1760000000000000000", Group: "ordering", Max: 16, MaxBytes: 1 << 20}
	reply := ledger.PullReply{LeaseMs: 4000}
	meter.add(req)
	meter.add(reply)
	before, n := meter.bytes, 0
	for b.Loop() {
		meter.add(req)
		meter.add(reply)
		n++
	}
	b.ReportMetric(float64(meter.bytes-before)/float64(n), "bytes")
}

// configText returns a configuration with the given number of target groups of 50 targets
// each.
func configText(groups int) string {
	var text strings.Builder
	text.WriteString("[profile room-chat]\nurgency = online\nrepeatable = true\ndeadline = 30s\n")
	for g := range groups {
		fmt.Fprintf(&text, "\n[target-group model-%d]\nkind = engine\nmodel = model-%d\nslots = 8\nchecks_orders = true\naddresses = ", g, g)
		for i := range 50 {
			if i > 0 {
				text.WriteString(", ")
			}
			fmt.Fprintf(&text, "%s@zone-%d", targetAddress(g*50+i), i%zoneCount)
		}
		text.WriteString("\n")
	}
	return text.String()
}

// BenchmarkConfigChange applies and parses one change, as every daemon does, and reports
// the size of its record and of the resulting state.
func BenchmarkConfigChange(b *testing.B) {
	for _, groups := range []int{1, 4, 12} {
		b.Run(fmt.Sprintf("targets=%d", groups*50), func(b *testing.B) {
			text := configText(groups)
			f := configlog.NewReplayer()
			bytes, n := 0, uint64(0)
			for b.Loop() {
				data, err := configlog.Record{Change: &configlog.Change{
					ID: "0b2b9c1e-0000-0000-0000-000000000000", Base: n, Text: text, Author: "operator", AtMs: 1e12,
				}}.Encode()
				if err != nil {
					b.Fatal(err)
				}
				f.Apply(0, []configlog.Input{{Offset: int64(n), AtMs: 1e12, Data: data}})
				if _, err := config.Parse(text); err != nil {
					b.Fatal(err)
				}
				bytes, n = len(data), n+1
			}
			state, err := json.Marshal(f.State())
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(bytes), "change-bytes")
			b.ReportMetric(float64(len(state)), "state-bytes")
		})
	}
}

// BenchmarkBurn reports the memory of a daemon's counts by hours and number of series, the
// bytes of all of them as sent to a peer, and the bytes of one record on the log.
func BenchmarkBurn(b *testing.B) {
	profile := &config.Profile{Name: "p", SLO: config.SLO{Availability: 0.999}}
	for _, size := range []struct{ hours, series int }{{1, 4}, {6, 4}, {72, 4}, {72, 12}, {72, 36}} {
		b.Run(fmt.Sprintf("hours=%d/series=%d", size.hours, size.series), func(b *testing.B) {
			var memory float64
			var all, record []byte
			for b.Loop() {
				before := heapBytes()
				recorder := burn.NewRecorder("entry-000/1760000000000000000")
				now := int64(1e12)
				for range size.hours * 360 {
					now += 10_000
					for s := range size.series {
						recorder.Record(burn.Event{AtMs: now, Profile: fmt.Sprint("profile-", s), Group: "ordering", Outcome: burn.OK}, profile)
					}
					if now%300_000 == 0 {
						recorder.Prune(now)
					}
					if now%210_000 == 0 {
						record, _ = burn.Encode(recorder.Changes().Coarse())
					}
				}
				memory = heapBytes() - before
				all, _ = burn.Encode(recorder.All())
			}
			b.ReportMetric(memory, "heap-bytes")
			b.ReportMetric(float64(len(all)), "peer-bytes")
			b.ReportMetric(float64(len(record)), "record-bytes")
		})
	}
}
