package logging_test

import (
	"bytes"
	"errors"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/logging"
)

func TestLogging(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logging")
}

var _ = Describe("A log line", func() {
	It("is one logfmt line that no value can break out of", func() {
		var out bytes.Buffer
		logger, _ := logging.New(&out, "info")
		logger.With(zap.String("host", "entry-1")).Info("request_ended",
			zap.String("key", "a b=\"c\"\nlevel=error"), zap.Int("status", 200), zap.String("path", `a\b`),
			zap.Error(errorx.IllegalState.New("gone")), zap.Any("view", struct{ N int }{1}))
		Expect(out.String()).To(MatchRegexp(`^ts=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z level=info ` +
			`caller=logging/logging_test\.go:\d+ event=request_ended host=entry-1 ` +
			regexp.QuoteMeta(`key="a b=\"c\"\nlevel=error" status=200 path=a\\b error="common.illegal_state: gone" view={N:1}`) + "\n$"))
	})

	// Guards against IDs and paths of kilobytes, which callers choose, in thousands of queued lines.
	It("has the beginning and the length of a long text", func() {
		var out bytes.Buffer
		logger, _ := logging.New(&out, "info")
		logger.Info("e", zap.String("id", strings.Repeat("x", 100_000)), zap.Error(errors.New(strings.Repeat("é", 50_000))))
		Expect(out.Len()).To(BeNumerically("<", 4096))
		Expect(out.String()).To(ContainSubstring("x...(100000 bytes)"))
		Expect(out.String()).To(ContainSubstring("é...(100000 bytes)"))
		Expect(utf8.ValidString(out.String())).To(BeTrue())
	})

	It("changes its level while running and refuses an unknown one", func() {
		var out bytes.Buffer
		logger, level := logging.New(&out, "loud")
		Expect(out.String()).To(ContainSubstring("level=warn"))
		Expect(out.String()).To(ContainSubstring("event=log_level_unknown value=loud\n"))
		out.Reset()
		logger.Debug("unseen")
		Expect(logging.SetLevel(level, "trace")).To(MatchError(ContainSubstring(`unknown level "trace"`)))
		Expect(logging.SetLevel(level, "debug")).To(Succeed())
		logger.Debug("seen")
		Expect(out.String()).To(And(ContainSubstring("event=seen"), Not(ContainSubstring("unseen"))))
	})
})
