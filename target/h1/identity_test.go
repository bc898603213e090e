package h1_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/target/h1"
	"tarragonhollow.example/tarragonhollow/target/rawtarget"
)

var _ = Describe("An exchange with a process that must identify itself", func() {
	var (
		pool   *h1.Pool
		opened atomic.Int64
		start  atomic.Value
		target *rawtarget.Target
	)
	BeforeEach(func() {
		opened.Store(0)
		start.Store("1")
		pool = h1.NewPool(func() { opened.Add(1) })
		DeferCleanup(pool.Close)
		var err error
		target, err = rawtarget.Start(func(r *rawtarget.Request, c net.Conn) {
			rawtarget.Write(c, rawtarget.Whole(200, "", "Start: "+start.Load().(string)))
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(target.Close)
	})
	send := func(want string) error {
		answer, err := pool.Do(context.Background(), target.Address, &h1.Request{Method: "POST", URI: "/x", Host: "h"}, h1.Options{
			MaxIdle: time.Minute, Deadline: time.Now().Add(limit),
			Identity: &h1.Identity{
				Key: want, Request: &h1.Request{Method: "GET", URI: "/start", Host: "h"},
				Expected: func(_ int, header http.Header, _ []byte) bool { return header.Get("Start") == want },
			},
		})
		if err == nil {
			answer.Drain(limit)
			answer.Close()
		}
		return err
	}
	uris := func() (list []string) {
		for _, r := range target.Requests() {
			list = append(list, r.URI)
		}
		return list
	}

	It("asks once on each connection, before the request", func() {
		Expect(send("1")).To(Succeed())
		Expect(send("1")).To(Succeed())
		Expect(uris()).To(Equal([]string{"/start", "/x", "/x"}))
		Expect(opened.Load()).To(Equal(int64(1)))
	})

	// A request reaches a process that took the place of the expected one.
	It("sends nothing more to another process", func() {
		start.Store("2")
		err := send("1")
		Expect(errorx.IsOfType(err, h1.WrongProcess)).To(BeTrue())
		Expect(errorx.IsOfType(err, h1.NotSent)).To(BeTrue(), "the request was not sent")
		Expect(uris()).To(Equal([]string{"/start"}))
	})

	// One exchange that must be identified costs all other kept connections.
	It("keeps connections that were not identified", func() {
		const idle = 3
		var answers []*h1.Answer
		for range idle {
			answer, err := pool.Do(context.Background(), target.Address, &h1.Request{Method: "GET", URI: "/y", Host: "h"},
				h1.Options{MaxIdle: time.Minute, Deadline: time.Now().Add(limit)})
			Expect(err).NotTo(HaveOccurred())
			answers = append(answers, answer)
		}
		for _, answer := range answers {
			answer.Drain(limit)
			answer.Close()
		}
		Expect(send("1")).To(Succeed())
		Expect(opened.Load()).To(Equal(int64(idle + 1)))
		Expect(pool.Idle()).To(Equal(idle + 1))
	})

	// A connection to an earlier process counts for the one that is expected now.
	It("uses no connection that was identified for another process", func() {
		Expect(send("1")).To(Succeed())
		start.Store("2")
		Expect(send("2")).To(Succeed())
		Expect(uris()).To(Equal([]string{"/start", "/x", "/start", "/x"}))
		Expect(opened.Load()).To(Equal(int64(2)))
	})
})
