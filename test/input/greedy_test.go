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
	// bodyMemory is small, so that a few slow bodies fill it.
	bodyMemory = 32 << 20
	// mostBodies would take it whole, and more.
	mostBodies = 64
	// longOrder is an ordinary order with a long note.
	longOrder = 200 << 10
	// answerWait tells a body that waits for more from one that is refused.
	answerWait = 100 * time.Millisecond
	// bodyStall lets the first bodies wait until the last is sent.
	bodyStall = time.Minute
)

// sendPart sends n bytes of a body and returns the refusal, nil if the daemon waits
// for the rest.
func sendPart(conn net.Conn, profile, caller string, n int) *refusal {
	GinkgoHelper()
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nTarragon-Profile: %s\r\nTarragon-Caller: %s\r\nContent-Length: %d\r\n\r\n%s",
		chatPath, profile, caller, slowStated, strings.Repeat(" ", n))
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
	// A tablet app with a fault opens an upload after another and finishes none.
	// They fill the memory for bodies; the kitchen's long orders come meanwhile.
	// The app's owner is told its limit, and the orders go through.
	It("leave room for the bodies of others", func() {
		f := fleet.Start(fleet.Options{Daemons: 1, Settings: func(s *settings.Settings) {
			s.HTTP.MaxBodyMemory, s.HTTP.BodyStall = bodyMemory, bodyStall
		}})
		d := f.Daemons[0]
		c := &crowd{address: strings.TrimPrefix(d.Client.Base, "http://")}
		defer c.close()
		var told *refusal
		for _, size := range []int{slowBytes, longOrder / 2} {
			told = nil
			for i := 0; i < mostBodies && told == nil; i++ {
				told = sendPart(c.dial(), f.Shape.ChatProfile, "tablet-app", size)
			}
			Expect(told).NotTo(BeNil(), "the app is refused in the end")
		}
		note := strings.Repeat("n", longOrder)
		for i := range 3 {
			key := fmt.Sprintf("tray-%d", i)
			resp, err := send(d, "POST", "/v1/services/"+f.Shape.Service+f.Shape.ActionPath, strings.NewReader(`{"note":"`+note+`"}`),
				"Tarragon-Profile", f.Shape.ActionProfile, "Idempotency-Key", key, "Tarragon-Caller", "kitchen")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Body.Close()).To(Succeed())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
		}
		Expect(told.Code).To(Equal(outcome.CallerLimit))
		Expect(told.Run).To(Equal(outcome.NotRun))
	})
})
