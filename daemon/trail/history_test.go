package trail_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"tarragonhollow.example/tarragonhollow/daemon/trail"
)

func TestTrail(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Trail")
}

var _ = Describe("A decision history", func() {
	It("keeps only the last decisions, with their fields, even if the log writes nothing", func() {
		kept := trail.New()
		quiet := zap.New(zapcore.NewNopCore())
		log := kept.Wrap(quiet).With(zap.String("host", "entry-1"))
		log.Info("request", zap.Int("status", 200))
		for n := range trail.MaxEvents + 3 {
			log.Info("shard_lost", zap.Int("shard", n))
		}
		events := kept.Events()
		Expect(events).To(HaveLen(trail.MaxEvents))
		Expect(events[0].Fields).To(HaveKeyWithValue("shard", int64(3)))
		last := events[len(events)-1]
		Expect(last.Event).To(Equal("shard_lost"))
		Expect(last.Fields).To(And(HaveKeyWithValue("shard", int64(trail.MaxEvents+2)), HaveKeyWithValue("host", "entry-1")))
	})
})
