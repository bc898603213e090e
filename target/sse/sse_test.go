package sse_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/target/sse"
)

func TestSSE(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sse")
}

var _ = Describe("The splitter", func() {
	const stream = "id: 0\ndata: a\n\nversion: 3\nid: 1\ndata: b\ndata: c\n\nid: 2\r\ndata:\r\n\r\nid: 3\ndata: cut"

	It("returns only complete events, however the bytes are split", func() {
		for size := 1; size <= len(stream); size++ {
			var s sse.Splitter
			var ids []int64
			var data []string
			raw := ""
			for at := 0; at < len(stream); at += size {
				s.Write([]byte(stream[at:min(at+size, len(stream))]))
				for {
					e, ok := s.Next()
					if !ok {
						break
					}
					ids = append(ids, e.ID)
					data = append(data, e.Data)
					raw += string(e.Raw)
				}
			}
			Expect(ids).To(Equal([]int64{0, 1, 2}))
			Expect(data).To(Equal([]string{"a", "b\nc", ""}))
			Expect(raw + string(s.Rest())).To(Equal(stream))
		}
	})

	It("recognizes an event without an id and an overlong one", func() {
		var s sse.Splitter
		s.Write([]byte(": ping\n\n"))
		e, ok := s.Next()
		Expect(ok).To(BeTrue())
		Expect(e.ID).To(BeEquivalentTo(-1))
		Expect(e.HasData).To(BeFalse())
		s.Write(make([]byte, sse.MaxEventBytes+1))
		Expect(s.Overlong()).To(BeTrue())
	})
})
