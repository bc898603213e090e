package streamversion_test

import (
	"fmt"
	"testing"

	"tarragonhollow.example/tarragonhollow/core/streamversion"
)

func BenchmarkHolders(b *testing.B) {
	for _, n := range []int{13, 100, 1000} {
		var addresses []string
		for i := range n {
			addresses = append(addresses, fmt.Sprintf("10.0.%d.%d:9000", i/256, i%256))
		}
		hosts := streamversion.NewHosts(addresses)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				hosts.Holders("9c41d07be2a35f68", 4)
			}
		})
	}
}

func BenchmarkNewHosts(b *testing.B) {
	var addresses []string
	for i := range 1000 {
		addresses = append(addresses, fmt.Sprintf("10.0.%d.%d:9000", i/256, i%256))
	}
	for range b.N {
		streamversion.NewHosts(addresses)
	}
}
