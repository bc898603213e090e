package board

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"
)

// FuzzWord passes arbitrary bytes to the decoder of load reports, and decoded reports to
// the load table. Nothing may panic, and a report must leave nothing behind once it has
// expired.
func FuzzWord(f *testing.F) {
	for _, r := range []LoadReport{
		{From: "a", Number: 1, Zone: "z", Counts: map[string]Count{"t": {Online: 3, Batch: 1}}, Doubts: map[string]int{"t": 2}, Held: []uint64{7}},
		{From: "me", Number: 1 << 63, Counts: map[string]Count{"t": {Online: -5, Batch: 1 << 40}}},
		{From: "b", Number: 2, Counts: map[string]Count{"": {}}},
	} {
		var data bytes.Buffer
		if err := gob.NewEncoder(&data).Encode(r); err != nil {
			f.Fatal(err)
		}
		f.Add(data.Bytes())
	}
	f.Add([]byte{0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var r LoadReport
		if gob.NewDecoder(bytes.NewReader(data)).Decode(&r) != nil {
			return
		}
		b, now := New("me", "z"), time.Unix(1000, 0)
		b.Add("t", 1, 1)
		b.ApplyReport(now, r)
		b.PreemptCount(now, "t", 4)
		b.DegradedTargets(now)
		b.WithoutLocal(r.Counts)
		later := now.Add(LoadReportTTL + time.Second)
		if got := b.Total(later, "t"); got != (Count{1, 1}) || len(b.HeldByPeers(later)) > 0 || len(b.DegradedTargets(later)) > 0 {
			t.Fatalf("%+v is left of %+v", got, r)
		}
	})
}
