package input

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/settings"
	"tarragonhollow.example/tarragonhollow/test/fleet"
)

const (
	// bodyMemory is small, so that a few slow bodies use it up.
	bodyMemory = 32 << 20
	// maxBodies is how many bodies a caller starts at most: more than fit into
	// bodyMemory.
	maxBodies = 64
	// longOrderBytes is the size of the note of a large but ordinary order.
	longOrderBytes = 200 << 10
	// answerWait is how long to wait for a refusal; without one, the daemon waits for
	// the rest of the body.
	answerWait = 100 * time.Millisecond
	// bodyStall is long enough for the first bodies to wait until the last is sent.
	bodyStall = time.Minute
)

// sendPart sends n bytes of a body and returns the refusal, or nil if the daemon waits
// for the rest.
func sendPart(conn net.Conn, profile, caller string, n int) *refusal {
	GinkgoHelper()
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nTarragon-Profile: %s\r\nTarragon-Caller: %s\r\nContent-Length: %d\r\n\r\n%s",
		chatPath, profile, caller, slowContentLength, strings.Repeat(" ", n))
	Expect(err).NotTo(HaveOccurred())
	Expect(conn.SetReadDeadline(time.Now().Add(answerWait))).To(Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil
	}
	r := readRefusal(resp)
	return &r
}

var _ = Describe("One caller's slow bodies", func() {
	// A faulty client starts one upload after another, finishes none and uses up the
	// memory for bodies. It must be refused with caller_limit, and another caller's
	// large orders must succeed meanwhile.
	It("leave memory for the bodies of other callers", func() {
		f := fleet.Start(fleet.Options{Daemons: 1, Settings: func(s *settings.Settings) {
			s.HTTP.MaxBodyMemory, s.HTTP.BodyStall = bodyMemory, bodyStall
		}})
		d := f.Daemons[0]
		c := &clientConns{address: strings.TrimPrefix(d.Client.Base, "http://")}
		defer c.close()
		var refused *refusal
		for _, size := range []int{slowBytes, longOrderBytes / 2} {
			refused = nil
			for i := 0; i < maxBodies && refused == nil; i++ {
				refused = sendPart(c.dial(), f.Shape.ChatProfile, "tablet-app", size)
			}
			Expect(refused).NotTo(BeNil(), "the client is refused in the end")
		}
		note := strings.Repeat("n", longOrderBytes)
		for i := range 3 {
			key := fmt.Sprintf("tray-%d", i)
			resp, err := send(d, "POST", "/v1/services/"+f.Shape.Service+f.Shape.ActionPath, strings.NewReader(`{"note":"`+note+`"}`),
				"Tarragon-Profile", f.Shape.ActionProfile, "Idempotency-Key", key, "Tarragon-Caller", "kitchen")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Body.Close()).To(Succeed())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
		}
		Expect(refused.Code).To(Equal(outcome.CallerLimit))
		Expect(refused.Run).To(Equal(outcome.NotRun))
	})
})
