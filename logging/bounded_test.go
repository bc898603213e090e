package logging_test

import (
	"bytes"
	"fmt"
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

	// A burst of ordinary lines uses up the bound of its second, and the requests that end in that
	// second can't be followed any more.
	It("keeps the ends of served requests when other lines exceed the bound", func() {
		out := &pipe{open: make(chan struct{})}
		close(out.open)
		logger, _, writer := logging.NewAsync(out, "info")
		for i := range 20_000 {
			logger.Info("request_sent", zap.Int("i", i))
		}
		for i := range 100 {
			logger.Info("request", zap.Int("i", i), logging.EndOfRequest())
		}
		writer.Close(limit)
		text := out.text()
		Expect(strings.Count(text, "event=request ")).To(Equal(100))
		Expect(text).NotTo(ContainSubstring("end_of_request"))
		Expect(text).To(MatchRegexp(`event=log_lines_dropped total=(\d+) urgent=0 request_ends=0 ordinary=\d+ unwritten=0\n`))
		Expect(writer.EndsDropped()).To(BeZero())
	})

	// A daemon serves more requests a second than the bound allows it to log with two lines each.
	It("keeps the ends of requests before their other lines", func() {
		out := &pipe{open: make(chan struct{})}
		close(out.open)
		logger, _, writer := logging.NewAsync(out, "info")
		for i := range 290 {
			logger.Info("request_sent", zap.Int("i", i))
			logger.Info("request", zap.Int("i", i), logging.EndOfRequest())
		}
		writer.Close(limit)
		Expect(strings.Count(out.text(), "event=request ")).To(Equal(290))
	})

	// The reports of dropped lines are not themselves bounded, and a flood of lines doubles.
	It("reports dropped lines at most once a second, and when it closes", func() {
		out := &pipe{open: make(chan struct{})}
		close(out.open)
		logger, _, writer := logging.NewAsync(out, "info")
		start := time.Now()
		for i := range 5_000 {
			logger.Info("served", zap.Int("i", i))
			if i%10 == 0 {
				logger.Warn("failed", zap.Int("i", i))
				time.Sleep(time.Millisecond)
			}
		}
		seconds := int(time.Since(start).Seconds())
		writer.Close(limit)
		reports := strings.Count(out.text(), "event=log_lines_dropped ")
		Expect(reports).To(And(BeNumerically(">=", 1), BeNumerically("<=", seconds+2)))
		Expect(out.text()).To(ContainSubstring(fmt.Sprint("event=log_lines_dropped total=", writer.Dropped(), " ")))
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
