package hostlist_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/standin/hostlist"
)

func TestHostlist(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hostlist")
}

const (
	hostLine = `{"name":"d1","role":"daemon","address":"127.0.0.1:7000","zone":"son-tra","state":"live"}`
	leaving  = `{"name":"d1","role":"daemon","address":"127.0.0.1:7000","zone":"son-tra","state":"leaving"}`
)

var _ = Describe("The host list", func() {
	var (
		now     time.Time
		handler http.Handler
	)

	BeforeEach(func() {
		now = time.UnixMilli(0)
		server, err := hostlist.New(hostlist.Options{Lag: 2 * time.Second, Now: func() time.Time { return now }})
		Expect(err).NotTo(HaveOccurred())
		handler = server.Handler()
	})
	call := func(method, path, body string) (int, string) {
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, httptest.NewRequest(method, path, strings.NewReader(body)))
		text, err := io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		return answer.Code, strings.TrimSpace(string(text))
	}
	visibleList := func() string {
		_, text := call("GET", "/v1/hosts", "")
		return text
	}

	// A host begins to leave and is removed a second later. Readers see each change
	// only after the lag, and until then the previous state.
	It("shows each change after the lag, in order", func() {
		Expect(visibleList()).To(Equal(`{"version":1,"hosts":[]}`))
		call("PUT", "/control/hosts/d1", hostLine)
		Expect(visibleList()).To(Equal(`{"version":1,"hosts":[]}`))
		now = now.Add(2 * time.Second)
		Expect(visibleList()).To(Equal(`{"version":2,"hosts":[` + hostLine + `]}`))

		call("PUT", "/control/hosts/d1", leaving)
		now = now.Add(time.Second)
		call("DELETE", "/control/hosts/d1", "")
		now = now.Add(time.Second)
		Expect(visibleList()).To(Equal(`{"version":3,"hosts":[` + leaving + `]}`))
		now = now.Add(time.Second)
		Expect(visibleList()).To(Equal(`{"version":4,"hosts":[]}`))
	})

	It("keeps its version when nothing changes and applies a new lag", func() {
		call("PUT", "/control/hosts/d1", hostLine)
		call("PUT", "/control/hosts/d1", hostLine)
		call("PUT", "/control/faults", `{"outage":false,"lag_ms":0}`)
		Expect(visibleList()).To(Equal(`{"version":2,"hosts":[` + hostLine + `]}`))
	})

	It("rejects invalid hosts", func() {
		for _, body := range []string{
			`{"name":"d2","role":"daemon","address":"127.0.0.1:7000","zone":"z","state":"live"}`,
			`{"role":"daemon","address":"localhost:7000","zone":"z","state":"live"}`,
			`{"role":"boss","address":"127.0.0.1:7000","zone":"z","state":"live"}`,
			`{"role":"daemon","address":"127.0.0.1:7000","zone":"z","state":"gone"}`,
		} {
			status, _ := call("PUT", "/control/hosts/d1", body)
			Expect(status).To(Equal(400), body)
		}
		status, _ := call("DELETE", "/control/hosts/d1", "")
		Expect(status).To(Equal(404))
	})
})
