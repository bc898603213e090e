package h1_test

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/bodymemory"
	"tarragonhollow.example/tarragonhollow/target/h1"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

var _ = Describe("The memory for heads of answers", func() {
	var pool *h1.Pool
	BeforeEach(func() {
		pool = h1.NewPool(func() {})
		pool.HeadMemory = bodymemory.New(1 << 20)
		DeferCleanup(pool.Close)
	})
	start := func(answer string) *rawtarget.Target {
		t, err := rawtarget.Start(func(_ *rawtarget.Request, c net.Conn) { rawtarget.Write(c, answer) })
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(t.Close)
		return t
	}
	send := func(t *rawtarget.Target) (*h1.Answer, error) {
		return pool.Do(context.Background(), t.Address, &h1.Request{Method: "POST", URI: "/", Host: "h"},
			h1.Options{MaxIdle: time.Minute, Deadline: time.Now().Add(limit)})
	}

	// Guards against memory that stays reserved when an exchange has ended.
	It("is released with the answer, and with an answer that fails", func() {
		long := start("HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 50_000) + "\r\nContent-Length: 0\r\n\r\n")
		answer, err := send(long)
		Expect(err).NotTo(HaveOccurred())
		Expect(pool.HeadMemory.Total()).To(BeNumerically(">", 50_000))
		answer.Drain(limit)
		answer.Close()
		Expect(pool.HeadMemory.Total()).To(BeZero())
		_, err = send(start("HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 50_000) + "\r\nB c: d\r\n\r\n"))
		Expect(errorx.IsOfType(err, h1.Broken)).To(BeTrue())
		Expect(pool.HeadMemory.Total()).To(BeZero())
	})

	// Guards against one target whose heads keep those of all others from being read.
	It("is not used up by one target, and not needed for ordinary heads", func() {
		long := start("HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 50_000) + "\r\nContent-Length: 0\r\n\r\n")
		refused := 0
		for range 8 {
			answer, err := send(long)
			if err != nil {
				Expect(errorx.IsOfType(err, h1.Broken)).To(BeTrue())
				refused++
				continue
			}
			DeferCleanup(answer.Close)
		}
		Expect(refused).To(Equal(6), "half of the memory holds two of these heads")
		answer, err := send(start("HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 50_000) + "\r\nContent-Length: 0\r\n\r\n"))
		Expect(err).NotTo(HaveOccurred())
		answer.Close()
		answer, err = send(start("HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 0\r\n\r\n"))
		Expect(err).NotTo(HaveOccurred())
		answer.Close()
	})
})
