package engine

import (
	"context"
	"flag"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/target"
)

func init() { _ = flag.Set("rapid.seed", "1") }

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine stand-in")
}

const bound = 10 * time.Second

func fastOptions() Options {
	o := DefaultOptions()
	o.TimeScale = 20
	o.EventDropShare = 0
	return o
}

// startEngine serves the handler without Serve and returns the engine, its address
// and a client.
func startEngine(o Options) (*Server, string, *target.EngineClient) {
	s, err := New(o)
	Expect(err).NotTo(HaveOccurred())
	hs := httptest.NewServer(s.Handler())
	c := target.NewEngineClient(target.DefaultClientOptions())
	DeferCleanup(func() {
		c.Close()
		s.Close()
		hs.Close()
	})
	return s, strings.TrimPrefix(hs.URL, "http://"), c
}

func newRequest(id, text string, maxTokens int) target.GenerateRequest {
	messages := []target.Message{{Role: "user", Content: text}}
	return target.GenerateRequest{StreamID: id, Model: "ordering", Messages: messages, MaxTokens: maxTokens}
}

func discard(target.Token) error { return nil }

// startGenerate starts a generate call and returns once the engine has received it.
func startGenerate(ctx context.Context, s *Server, c target.Engine, address string, req target.GenerateRequest) <-chan error {
	before := len(s.Records())
	ended := make(chan error, 1)
	go func() {
		_, err := c.Generate(ctx, address, req, discard)
		ended <- err
	}()
	Eventually(func() int { return len(s.Records()) }, bound).Should(Equal(before + 1))
	return ended
}
