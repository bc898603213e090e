package service

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/target"
)

func TestService(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "service stand-in")
}

const bound = 10 * time.Second

var _ = Describe("Service", func() {
	var s *Server
	var url string

	BeforeEach(func() {
		var err error
		s, err = New(DefaultOptions())
		Expect(err).NotTo(HaveOccurred())
		hs := httptest.NewServer(s.Handler())
		url = hs.URL
		DeferCleanup(func() {
			s.Close()
			hs.Close()
		})
	})

	call := func(ctx context.Context, method, path, key, body string) (string, error) {
		r, err := http.NewRequestWithContext(ctx, method, url+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set(target.HeaderKey, key)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return "", err
		}
		defer func() { _ = resp.Body.Close() }()
		b, err := io.ReadAll(resp.Body)
		return string(b), err
	}

	It("counts each execution of a key and echoes the call", func() {
		Expect(call(context.Background(), http.MethodPost, "/orders?room=7", "k", `{"tray":1}`)).To(MatchJSON(
			`{"service":"service","execution":1,"method":"POST","path":"/orders?room=7","key":"k","body":{"tray":1}}`))
		Expect(call(context.Background(), http.MethodPost, "/orders", "k", "no JSON")).To(ContainSubstring(`"execution":2`))
		Expect(s.Record().Executions).To(Equal(map[string]int{"k": 2}))
		Expect(s.Record().Calls[0].BodyHash).NotTo(Equal(s.Record().Calls[1].BodyHash))
	})

	// A caller sends a non-repeatable call to a service that hangs, and gives up. The
	// service resumes and executes the call after all, so reporting it as "not run"
	// would have been wrong.
	It("executes calls received while frozen once it is unfrozen", func() {
		on, off := true, false
		s.change(controlChange{Frozen: &on})
		ctx, giveUp := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			defer GinkgoRecover()
			_, err := call(ctx, http.MethodPost, "/stamp", "k", "{}")
			ended <- err
		}()
		Eventually(func() int { return s.Record().Held }, bound).Should(Equal(1))
		giveUp()
		Eventually(ended, bound).Should(Receive(MatchError(context.Canceled)))
		Expect(s.Record().Executions).To(BeEmpty())
		s.change(controlChange{Frozen: &off})
		Eventually(func() int { return s.Record().Executions["k"] }, bound).Should(Equal(1))
	})

	It("rejects invalid control requests", func() {
		for _, body := range []string{`{"forzen":true}`, `{"error_status":200}`, `{`} {
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/control", strings.NewReader(body)))
			Expect(w.Code).To(Equal(http.StatusUnprocessableEntity))
		}
		Expect(s.change(controlChange{})).To(Equal(Control{}), "a rejected request must change nothing")
	})
})
