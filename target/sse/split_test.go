package sse_test

import (
	"fmt"
	"math/rand/v2"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/target/sse"
)

// randomStream returns the events of a random stream, each with random line endings, as
// they are received. Event i has the ID i and the data i.
func randomStream(random *rand.Rand) []string {
	ending := func() string { return []string{"\n", "\r\n"}[random.IntN(2)] }
	var events []string
	for i := range 1 + random.IntN(8) {
		event := ""
		if random.IntN(4) == 0 {
			event += ": comment" + ending()
		}
		event += fmt.Sprintf("id: %d%sdata: %d%s", i, ending(), i, ending())
		events = append(events, event+ending())
	}
	return events
}

// split returns the events of a stream that arrives in random pieces, and the rest.
func split(random *rand.Rand, stream string) (events []sse.Event, raw []string, rest string) {
	var s sse.Splitter
	for len(stream) > 0 {
		n := 1 + random.IntN(min(len(stream), 20))
		s.Write([]byte(stream[:n]))
		stream = stream[n:]
		for e, ok := s.Next(); ok; e, ok = s.Next() {
			events = append(events, e)
			raw = append(raw, string(e.Raw))
		}
	}
	return events, raw, string(s.Rest())
}

var _ = Describe("The splitter, with random streams", func() {
	const streams = 3000

	// Guards against two events that are taken for one, and against bytes that are lost.
	It("returns each event by itself, byte for byte, whatever the line endings", func() {
		random := rand.New(rand.NewPCG(1, 2))
		for range streams {
			want := randomStream(random)
			events, raw, rest := split(random, strings.Join(want, ""))
			Expect(raw).To(Equal(want))
			Expect(rest).To(BeEmpty())
			for i, e := range events {
				Expect(e.ID).To(BeEquivalentTo(i))
				Expect(e.Data).To(Equal(fmt.Sprint(i)))
			}
		}
	})

	// Guards against a stream that ends within an event and is taken for complete.
	It("keeps the rest of a stream that is cut within an event", func() {
		random := rand.New(rand.NewPCG(3, 4))
		for range streams {
			want := randomStream(random)
			whole, last := strings.Join(want[:len(want)-1], ""), want[len(want)-1]
			part := last[:1+random.IntN(len(last)-1)]
			_, raw, rest := split(random, whole+part)
			Expect(strings.Join(raw, "")).To(Equal(whole))
			Expect(rest).To(Equal(part))
		}
	})
})
