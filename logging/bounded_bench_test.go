package logging_test

import (
	"bytes"
	"testing"
	"time"

	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/logging"
)

// lineCounter counts the lines that are written, and those that end a request.
type lineCounter struct{ lines, ends int }

func (c *lineCounter) Write(data []byte) (int, error) {
	c.lines += bytes.Count(data, []byte("\n"))
	c.ends += bytes.Count(data, []byte(" event=request "))
	return len(data), nil
}

// BenchmarkBurst logs the four lines of a served request, as fast as they can be logged, for some
// seconds. It reports what one line costs and how many lines and ends of requests are written
// per second.
func BenchmarkBurst(b *testing.B) {
	out := &lineCounter{}
	logger, _, writer := logging.NewAsync(out, "info")
	logger = logger.With(zap.String("host", "h"))
	start := time.Now()
	for b.Loop() {
		for _, event := range []string{"request_queued", "request_dequeued", "request_sent"} {
			logger.Info(event, zap.String("id", "i"), zap.Int64("left_ms", 1))
		}
		logger.Info("request", zap.String("id", "i"), zap.String("outcome", "served"), logging.EndOfRequest())
	}
	seconds := time.Since(start).Seconds()
	writer.Close(time.Minute)
	b.ReportMetric(float64(out.lines)/seconds, "lines/s")
	b.ReportMetric(float64(out.ends)/seconds, "ends/s")
}
