package target_test

import (
	"context"
	"flag"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/standin/engine"
	"tarragonhollow.example/tarragonhollow/standin/service"
	"tarragonhollow.example/tarragonhollow/target"
)

func init() { _ = flag.Set("rapid.seed", "1") }

func TestTarget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "target clients")
}

// bound is the maximum time that a spec waits for a condition.
const bound = 10 * time.Second

func fastEngine() engine.Options {
	o := engine.DefaultOptions()
	o.TimeScale = 10
	return o
}

// startEngine serves an engine on a loopback port and returns its address.
func startEngine(o engine.Options) (*engine.Server, string) {
	s, err := engine.New(o)
	Expect(err).NotTo(HaveOccurred())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	DeferCleanup(func() {
		s.Close()
		Eventually(served, bound).Should(Receive(BeNil()))
	})
	return s, ln.Addr().String()
}

func startService() (*service.Server, string) {
	o := service.DefaultOptions()
	o.AnswerMs = 0
	s, err := service.New(o)
	Expect(err).NotTo(HaveOccurred())
	return s, startHandler(s.Handler(), s.Close)
}

func startHandler(h http.Handler, closeFirst func()) string {
	hs := httptest.NewServer(h)
	DeferCleanup(func() {
		closeFirst()
		hs.CloseClientConnections()
		hs.Close()
	})
	return strings.TrimPrefix(hs.URL, "http://")
}

func control(address, body string) {
	r, err := http.NewRequest(http.MethodPut, "http://"+address+"/control", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.Body.Close()).To(Succeed())
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

func engineClient() *target.EngineClient {
	c := target.NewEngineClient(target.DefaultClientOptions())
	DeferCleanup(c.Close)
	return c
}

func prompt(text string) []target.Message {
	return []target.Message{{Role: "user", Content: text}}
}

// result is the result of one Generate call.
type result struct {
	tokens []string
	finish target.Finish
	err    error
}

// generate collects a whole stream. It calls seen for each token, unless nil.
func generate(ctx context.Context, c target.Engine, address string, req target.GenerateRequest, seen func()) result {
	var r result
	r.finish, r.err = c.Generate(ctx, address, req, func(t target.Token) error {
		r.tokens = append(r.tokens, t.Text)
		if seen != nil {
			seen()
		}
		return nil
	})
	return r
}
