package logging_test

import (
	"bytes"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/logging"
)

// pipe blocks writes until it is opened.
type pipe struct {
	open chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (p *pipe) Write(data []byte) (int, error) {
	<-p.open
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.got.Write(data)
}

func (p *pipe) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.got.String()
}

var _ = Describe("The asynchronous log writer", func() {
	const limit = 10 * time.Second

	// The process that reads the daemon's output has stopped, so the pipe is full. With
	// synchronous writes every request that logs would hang.
	It("does not block callers while its output is blocked, and keeps the ends of failed requests", func() {
		out := &pipe{open: make(chan struct{})}
		logger, _, writer := logging.NewAsync(out, "info")
		for i := range 20_000 {
			logger.Info("served", zap.Int("i", i))
		}
		for i := range 300 {
			logger.Warn("failed", zap.Int("i", i))
		}
		Expect(writer.Dropped()).To(BeNumerically(">", 0))
		close(out.open)
		writer.Close(limit)
		text := out.text()
		Expect(strings.Count(text, "event=failed")).To(Equal(300))
		Expect(text).To(ContainSubstring("event=log_lines_dropped total="))
	})

	It("writes everything that fits, in order, before it closes", func() {
		out := &pipe{open: make(chan struct{})}
		close(out.open)
		logger, _, writer := logging.NewAsync(out, "info")
		for i := range 100 {
			logger.Info("line", zap.Int("i", i))
		}
		logger.Debug("unseen")
		writer.Close(limit)
		lines := strings.Split(strings.TrimSpace(out.text()), "\n")
		Expect(lines).To(HaveLen(100))
		Expect(lines[99]).To(ContainSubstring("i=99"))
		Expect(lines[0]).To(ContainSubstring("caller=logging/bounded_test.go"))
	})
})
