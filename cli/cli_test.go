package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/cli"
	"tarragonhollow.example/tarragonhollow/core/burn"
	"tarragonhollow.example/tarragonhollow/settings"
)

func TestCLI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cli")
}

// result is the exit code and output of one run of the command line.
type result struct {
	code     int
	out, err string
}

func run(programs cli.Programs, args ...string) result {
	var out, errs bytes.Buffer
	code := cli.ExecuteOn(context.Background(), programs, args, cli.Streams{In: strings.NewReader("stdin line\n"), Out: &out, Err: &errs})
	return result{code, out.String(), errs.String()}
}

// daemon starts a server that answers every request with the given status and body. It
// returns the server's URL and the last request with its body.
func daemon(status int, body string) (url string, seen *http.Request, sent *bytes.Buffer) {
	seen, sent = &http.Request{}, &bytes.Buffer{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		*seen = *r.Clone(context.Background())
		_, _ = io.Copy(sent, r.Body)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	DeferCleanup(server.Close)
	return server.URL, seen, sent
}

func file(name, text string) string {
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

const (
	goodConfig = "[profile p]\nurgency = online\n"
	goodHost   = "[host]\nname = a\nzone = z\nhttp_address = 127.0.0.1:1\npeer_address = 127.0.0.1:2\n" +
		"[platform]\nlog_url = http://127.0.0.1:3\nhosts_url = http://127.0.0.1:4\n"
)

var _ = Describe("The command line", func() {
	DescribeTable("exits with 2 on wrong usage, before anything is sent", func(want string, args ...string) {
		r := run(cli.Programs{}, args...)
		Expect(r.code).To(Equal(cli.ExitUsage), r.err)
		Expect(r.err).To(ContainSubstring(want))
	},
		Entry("no command", "a command is required"),
		Entry("unknown command", `unknown command "sevre"`, "sevre"),
		Entry("unknown flag", "unknown flag", "status", "--jsn"),
		Entry("no settings", `required flag(s) "settings"`, "serve"),
		Entry("no base", `required flag(s) "base"`, "config", "publish", "x"),
		Entry("deployment", `--deployment = "munich"; allowed: da-nang, isarwerk`, "try", "--deployment", "munich"),
		Entry("daemon", `--daemon = "localhost:1"; allowed: http://IP:PORT`, "status", "--daemon", "localhost:1"),
		Entry("level", `invalid argument "loud"; allowed: debug, info, warn, error`, "log-level", "loud"),
	)

	It("checks files without a server", func() {
		Expect(run(cli.Programs{}, "settings", "check", file("host.ini", goodHost)).code).To(Equal(cli.ExitOK))
		bad := file("host.ini", goodHost+"[log]\nlevel = loud\n")
		Expect(run(cli.Programs{}, "settings", "check", bad)).To(Equal(result{cli.ExitUsage, "",
			bad + ":10: [log] level = \"loud\": unknown value; allowed: debug, info, warn, error\n"}))
		bad = file("config.ini", goodConfig+"retries = 99")
		for _, args := range [][]string{{"config", "check", bad}, {"config", "publish", bad, "--base", "1"}} {
			Expect(run(cli.Programs{}, args...)).To(Equal(result{cli.ExitUsage, "",
				bad + ":3: [profile p] retries = \"99\": out of range; allowed: whole number from 0 to 10\n"}))
		}
	})

	It("passes the settings to serve and prints its error", func() {
		var got *settings.Settings
		serve := func(_ context.Context, s *settings.Settings) error { got = s; return errors.New("port is taken") }
		r := run(cli.Programs{Serve: serve}, "serve", "--settings", file("host.ini", goodHost), "--set", "log.level=debug")
		Expect(r).To(Equal(result{cli.ExitFailed, "", "port is taken\n"}))
		Expect(got.Log.Level).To(Equal("debug"))
		Expect(run(cli.Programs{}, "try").code).To(Equal(cli.ExitFailed))
	})

	It("shows the version above the text, and how to publish the first one", func() {
		url, _, _ := daemon(200, `{"version":3,"text":"[profile p]\n","applied":{"a":3}}`)
		Expect(run(cli.Programs{}, "config", "show", "--daemon", url).out).To(Equal("# version 3, in force on 1 of 1 hosts\n[profile p]\n"))
		url, _, _ = daemon(200, `{"version":0,"text":"","applied":{"a":0}}`)
		Expect(run(cli.Programs{}, "config", "show", "--daemon", url).out).To(Equal(
			"# no configuration is published yet: publish the first one with --base 0\n"))
	})

	It("publishes from a base version and prints the hosts that have applied it", func() {
		url, seen, sent := daemon(202, `{"version":8,"applied":{"a":8,"b":7}}`)
		r := run(cli.Programs{}, "config", "publish", file("c.ini", goodConfig), "--base", "7", "--daemon", url, "--token", "t", "--caller", "thu")
		Expect(r).To(Equal(result{0, "accepted as version 8, in force on 1 of 2 hosts; not yet on b (7)\n", ""}))
		Expect(seen.Method + seen.URL.Path + seen.Header.Get("If-Match")).To(Equal("PUT/admin/config7"))
		Expect(seen.Header.Get("Authorization") + seen.Header.Get("Tarragon-Caller")).To(Equal("Bearer tthu"))
		Expect(sent.String()).To(Equal(goodConfig))
	})

	DescribeTable("names the winner of a version conflict and exits with 4", func(body string) {
		url, _, _ := daemon(409, body)
		r := run(cli.Programs{}, "config", "publish", file("c.ini", goodConfig), "--base", "7", "--daemon", url)
		Expect(r).To(Equal(result{cli.ExitConflict, "",
			"refused: version_conflict: it changed\n  run:    not_run\n  winner: minh, version 9\n"}))
	},
		Entry("beside the error", `{"error":{"code":"version_conflict","message":"it changed","run":"not_run"},"winner":"minh","version":9}`),
		Entry("in the error", `{"error":{"code":"version_conflict","message":"it changed","run":"not_run","winner":"minh","version":9}}`),
	)

	It("prints a refusal with run state and retry time, and its JSON unchanged", func() {
		body := `{"error":{"code":"log_unavailable","message":"the log is \u001b[31mout","run":"not_run","retry_after_ms":1500}}`
		url, _, _ := daemon(503, body)
		want := "refused: log_unavailable: the log is \ufffd[31mout\n  run:    not_run\n  retry:  after 1.5s\n"
		Expect(run(cli.Programs{}, "job", "cancel", "n", "--daemon", url)).To(Equal(result{cli.ExitFailed, "", want}))
		Expect(run(cli.Programs{}, "status", "--json", "--daemon", url)).To(Equal(result{cli.ExitFailed, body, want}))
	})

	// If the connection breaks after the request reached the daemon, "job cancel" fails
	// although the job is cancelled, and a script that takes the error for "nothing
	// happened" continues as if the job were running. Only a failed dial proves that
	// nothing was sent, so the two cases need different exit codes.
	It("distinguishes an unreachable daemon from a lost response", func() {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		Expect(run(cli.Programs{}, "job", "cancel", "n", "--daemon", server.URL).code).To(Equal(cli.ExitUnknown))
		Expect(run(cli.Programs{}, "job", "status", "n", "--daemon", server.URL).code).To(Equal(cli.ExitUnreachable))
		server.Close()
		Expect(run(cli.Programs{}, "job", "cancel", "n", "--daemon", server.URL).code).To(Equal(cli.ExitUnreachable))
	})

	// A daemon cuts off results that it can't continue. Where a proxy hides the cut, the last
	// line is an error, and a script must not take the lines before it for all results.
	It("fails if the results end with an error line", func() {
		lines := `{"custom_id":"one","state":"completed","attempts":1}` + "\n" + `{"error":{"code":"no_owner","message":"moving"}}` + "\n"
		url, _, _ := daemon(200, lines)
		r := run(cli.Programs{}, "job", "results", "n", "--daemon", url)
		Expect(r.code).To(Equal(cli.ExitUnreachable))
		Expect(r.err).To(ContainSubstring("moving"))
		Expect(r.out).To(Equal(lines))
	})

	It("submits a job from the standard input and shows its counts", func() {
		url, seen, sent := daemon(200, `{"job":"n","profile":"p","state":"accepted","counts":{"items":3,"completed":2,"waiting":1},"due_ms":1000,"forecast_ms":61000}`)
		r := run(cli.Programs{}, "job", "submit", "n", "-", "--profile", "p", "--daemon", url)
		Expect(r.code).To(Equal(0), r.err)
		Expect(r.out).To(MatchRegexp(`^the same job was already accepted\njob +n\nprofile +p\nstate +accepted\nitems +3\n +completed +2\n`))
		Expect(r.out).To(ContainSubstring("LATE by 1m"))
		Expect(r.out).To(ContainSubstring("forecast"))
		Expect(seen.Method + seen.URL.Path + seen.Header.Get("Tarragon-Profile")).To(Equal("PUT/v1/jobs/np"))
		Expect(sent.String()).To(Equal("stdin line\n"))
	})

	It("prints no forecast for a job without open items", func() {
		url, _, _ := daemon(200, `{"job":"n","profile":"p","state":"cancelling","counts":{"items":3,"cancelled":3}}`)
		Expect(run(cli.Programs{}, "job", "cancel", "n", "--daemon", url).out).To(MatchRegexp(`state +cancelling\n(.*\n)+due +-\n$`))
	})

	It("prints - for times and ages that are not set yet", func() {
		url, _, _ := daemon(200, `{"forecast_ms":0,"earliest_due_ms":0,"report_age_ms":-1,"lag_ms":0}`)
		Expect(run(cli.Programs{}, "status", "--daemon", url).out).To(Equal(
			"forecast      -\nearliest due  -\nreport age    -\nlag           0s\n"))
	})

	It("explains how to pass the token when it is refused", func() {
		url, _, _ := daemon(401, `{"error":{"code":"unauthorized","message":"wrong","run":"not_run"}}`)
		r := run(cli.Programs{}, "status", "--daemon", url)
		Expect(r.code).To(Equal(cli.ExitFailed))
		Expect(r.err).To(ContainSubstring("--token or TARRAGONHOLLOW_TOKEN"))
	})

	It("prints a document in its field order, or unchanged as JSON", func() {
		body := `{"profile":"p","lag_ms":1500,"hosts":{"b":{"shards":[1,2]},"a":{"shards":[],"used_bytes":2048}},"note":"<b>"}`
		url, _, _ := daemon(200, body)
		Expect(run(cli.Programs{}, "status", "--daemon", url).out).To(Equal(
			"profile  p\nlag      1.5s\nnote     <b>\n\nhosts:\nNAME  SHARDS  USED\nb     1, 2    -\na             2KiB\n"))
		Expect(run(cli.Programs{}, "status", "--json", "--daemon", url).out).To(Equal(body))
	})

	DescribeTable("reports burn as a table, as a page, or unchanged as JSON", func(left float64, leftCell string) {
		report := burn.Report{AtMs: 1, Profiles: []burn.ProfileReport{{Profile: "p", Objectives: []burn.ObjectiveReport{{
			Objective: "availability", Share: 0.995, BudgetLeft: left, Alerting: true, Alert: burn.FastAlert,
			Windows:    []burn.WindowBurn{{Window: "5m", Burn: 20, Total: 100, Bad: 10}},
			TopReasons: []burn.TopReason{{Group: "<g>", Reason: "no_target", Count: 10}},
		}}}}}
		body, err := json.Marshal(report)
		Expect(err).NotTo(HaveOccurred())
		url, _, _ := daemon(200, string(body))
		path := filepath.Join(GinkgoT().TempDir(), "burn.html")
		Expect(run(cli.Programs{}, "report", "burn", "--html", path, "--daemon", url).out).To(ContainSubstring(
			"burn:\nPROFILE  OBJECTIVE     SHARE  5M              BUDGET LEFT  ALERT\n" +
				"p        availability  99.5%  20.00 (10/100)  " + leftCell + "FAST\n\n" +
				"reasons in the last 6h:\nPROFILE  OBJECTIVE     TARGET GROUP  REASON     COUNT\n" +
				"p        availability  <g>           no_target  10\n"))
		page, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(And(ContainSubstring(`<tr class="marked"><td>p</td>`), ContainSubstring("<th>REASON</th>"),
			ContainSubstring("&lt;g&gt;"), Not(ContainSubstring("<g>")), Not(ContainSubstring(" ago)"))))
		Expect(run(cli.Programs{}, "report", "burn", "--json", "--daemon", url).out).To(Equal(string(body)))
	},
		Entry("overspent", -0.25, "-25%         "),
		Entry("overspent many times", -141.9, "-14190%      "),
	)
})
