package shards

import (
	"fmt"
	"sort"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/extern/fakelog"
)

// BenchmarkOrder measures the time until a non-repeatable Begin is granted, with the
// default append intervals and 32 shards on three daemons over loopback.
func BenchmarkOrder(b *testing.B) {
	RegisterTestingT(b)
	f := &fleet{log: fakelog.New(fakelog.Options{}), nodes: map[string]*node{}, tune: defaultIntervals}
	for _, host := range []string{"a", "b", "c"} {
		f.start(host)
	}
	defer f.stop()
	for id := 0; id < DefaultShards; id++ {
		Eventually(func() *node { return f.holder(id) }).WithTimeout(20 * time.Second).ShouldNot(BeNil())
	}
	for _, clients := range []int{1, 32, 256} {
		b.Run(fmt.Sprintf("clients=%d", clients), func(b *testing.B) { benchOrders(b, f, clients) })
	}
}

func defaultIntervals(o *Options) {
	o.Shards, o.AppendInterval, o.UrgentInterval, o.AppendBudget = 0, 0, 0, 0
	o.Lease, o.ClaimStep, o.ColdStart = 0, 0, 0
}

func benchOrders(b *testing.B, f *fleet, clients int) {
	const perClient = 20
	var mu sync.Mutex
	var took []float64
	appends := f.log.Appends()
	began := time.Now()
	for b.Loop() {
		fanOut(clients, func(c int) {
			for i := 0; i < perClient; i++ {
				at := time.Now()
				key := fmt.Sprintf("c/%d-%d-%d", b.N, c, at.UnixNano())
				if _, err := begin(f.nodes["a"], key, key, false); err != nil {
					b.Error(err)
				}
				mu.Lock()
				took = append(took, time.Since(at).Seconds()*1000)
				mu.Unlock()
			}
		})
	}
	sort.Float64s(took)
	b.ReportMetric(took[len(took)/2], "p50-ms")
	b.ReportMetric(took[len(took)*99/100], "p99-ms")
	b.ReportMetric(float64(f.log.Appends()-appends)/time.Since(began).Seconds(), "appends/s")
	b.ReportMetric(float64(len(took))/time.Since(began).Seconds(), "orders/s")
}
