package cli_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"tarragonhollow.example/tarragonhollow/cli"
	"tarragonhollow.example/tarragonhollow/logging"
)

var _ = Describe("explain", func() {
	const (
		first  = "ts=2026-01-01T00:00:01.000Z level=info event=job_submitted host=a job=j1 outcome=accepted"
		second = "ts=2026-01-01T00:00:02.000Z level=info event=item_ended host=b job=j1 id=x succeeded=true"
		other  = "ts=2026-01-01T00:00:01.500Z level=info event=request host=a id=j12 outcome=served"
	)
	run := func(in string, args ...string) (int, string, string) {
		var out, err bytes.Buffer
		code := cli.ExecuteOn(context.Background(), cli.Programs{}, append([]string{"explain"}, args...),
			cli.Streams{In: strings.NewReader(in), Out: &out, Err: &err})
		return code, out.String(), err.String()
	}

	It("prints the lines of an ID from several daemons' files in order of time", func() {
		dir := GinkgoT().TempDir()
		a, b := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
		Expect(os.WriteFile(b, []byte(second+"\n"), 0o600)).To(Succeed())
		Expect(os.WriteFile(a, []byte(other+"\n"+first+"\n"), 0o600)).To(Succeed())
		code, out, _ := run("", "j1", b, a)
		Expect(code).To(Equal(cli.ExitOK))
		Expect(out).To(Equal(first + "\n" + second + "\n"))
	})

	// The last attempt fails and ends the request within a millisecond. The daemon writes the end, a
	// warning, first, and the engineer takes the failure for a second one.
	It("prints the end of a request behind its last attempt", func() {
		const (
			sent   = "ts=2026-01-01T00:00:01.000Z level=info event=request_sent id=x attempt=1\n"
			failed = "ts=2026-01-01T00:00:01.250Z level=info event=attempt_failed id=x answer_end=cut\n"
			end    = "ts=2026-01-01T00:00:01.250Z level=warn event=request id=x outcome=broken_off response=cut_off answer_end=cut\n"
		)
		_, out, _ := run(end+sent+failed, "x")
		Expect(out).To(Equal(sent + failed + end))
	})

	It("reads standard input and matches whole values only", func() {
		code, out, _ := run(other+"\n"+second+"\n", "j12")
		Expect(code).To(Equal(cli.ExitOK))
		Expect(out).To(Equal(other + "\n"))
	})

	// IDs are the callers' choice; one with "=" or a space, such as padded base64, is quoted in the log.
	DescribeTable("finds IDs that are quoted in the log", func(id string) {
		var log bytes.Buffer
		logger, _ := logging.New(&log, "info")
		logger.Info("request", zap.String("id", id), zap.String("outcome", "served"), zap.String("answer_end", "connection_end"))
		code, out, _ := run(log.String(), id)
		Expect(code).To(Equal(cli.ExitOK))
		Expect(out).To(ContainSubstring("outcome=served answer_end=connection_end"))
	},
		Entry("padded base64", "3q2+7w=="), Entry("a space", "a b"), Entry("a quote", `a"b`), Entry("a backslash", `a\b`), Entry("an umlaut", "ä"),
	)

	// The lines of the request were dropped under load, and the engineer takes it for one that
	// reached no daemon.
	It("says that lines were dropped if none has the ID", func() {
		code, _, err := run(first+"\nts=2026-01-01T00:00:03.000Z level=warn event=log_lines_dropped total=7 urgent=0\n", "nobody")
		Expect(code).To(Equal(cli.ExitFailed))
		Expect(err).To(ContainSubstring("1 lines report that others were dropped"))
	})

	It("fails when no line has the ID, and when a file can't be read", func() {
		code, out, err := run(first, "nobody")
		Expect(code).To(Equal(cli.ExitFailed))
		Expect(out).To(BeEmpty())
		Expect(err).To(ContainSubstring(`no line has a field with the value "nobody"`))
		code, _, _ = run("", "x", filepath.Join(GinkgoT().TempDir(), "none.log"))
		Expect(code).To(Equal(cli.ExitUsage))
	})

	It("checks the settings of front without a server", func() {
		path := filepath.Join(GinkgoT().TempDir(), "f.ini")
		Expect(os.WriteFile(path, []byte("[host]\nname = a\n"), 0o600)).To(Succeed())
		var out, err bytes.Buffer
		code := cli.ExecuteOn(context.Background(), cli.Programs{}, []string{"front", "--check", "--settings", path},
			cli.Streams{In: strings.NewReader(""), Out: &out, Err: &err})
		Expect(code).To(Equal(cli.ExitUsage))
		Expect(err.String()).To(ContainSubstring("[log_service] partitions: missing key"))
	})
})
