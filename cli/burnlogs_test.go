package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/cli"
	"tarragonhollow.example/tarragonhollow/core/burn"
)

var _ = Describe("report burn --logs", func() {
	run := func(in string, args ...string) (int, string, string) {
		var out, err bytes.Buffer
		code := cli.ExecuteOn(context.Background(), cli.Programs{}, append([]string{"report", "burn", "--logs"}, args...),
			cli.Streams{In: strings.NewReader(in), Out: &out, Err: &err})
		return code, out.String(), err.String()
	}
	line := func(second int, fields string) string {
		return fmt.Sprintf("ts=2026-01-01T00:00:%02d.000Z level=info %s\n", second, fields)
	}
	counts := func(text string) map[string]string {
		var r burn.Report
		Expect(json.Unmarshal([]byte(text), &r)).To(Succeed())
		found := map[string]string{}
		for _, p := range r.Profiles {
			for _, o := range p.Objectives {
				w := o.Windows[0]
				found[p.Profile+" "+o.Objective] = fmt.Sprintf("%d of %d", w.Bad, w.Total)
			}
		}
		return found
	}

	// Front daemons lose their counts when they stop, so the report on a past incident
	// must be computed from their log lines: objectives and outcomes alike.
	It("counts requests served, responses in time and items done when due", func() {
		var in string
		for range 8 {
			in += line(1, "event=request route=menu group=g objective_ms=300 outcome=served status=200 first_ms=20")
		}
		in += line(2, "event=request route=menu group=g objective_ms=300 outcome=served status=200 first_ms=301")
		in += line(2, `event=request route=menu group=g objective_ms=300 outcome=broken_off status=200 cause="h1.broken: x = y"`)
		in += line(3, "event=request route=menu group=g objective_ms=300 outcome=caller_left")
		in += line(3, "event=request_turned_away outcome=not_ready") + line(3, "event=request_turned_away outcome=not_found")
		in += line(4, "event=item_ended route=prep succeeded=true due_missed=true") + line(4, "event=item_ended route=prep succeeded=true due_missed=false")
		in += line(4, `event=item_ended route=prep succeeded=false cause="the target can't do it"`)
		in += line(5, "event=start") + "no logfmt at all\n"
		code, out, _ := run(in, "--json")
		Expect(code).To(Equal(cli.ExitOK))
		Expect(counts(out)).To(Equal(map[string]string{
			"menu availability": "1 of 10", "menu first_token": "1 of 9",
			"(none) availability": "1 of 1", "prep availability": "0 of 2", "prep due_time": "1 of 2",
		}))
		code, out, _ = run(in, "--in-time", "0.5")
		Expect(code).To(Equal(cli.ExitOK))
		Expect(out).To(ContainSubstring("menu"))
		Expect(out).To(ContainSubstring("broken_off"))
	})

	It("fails when the logs have no ended request or item, or can't be read", func() {
		code, _, err := run(line(1, "event=start"))
		Expect(code).To(Equal(cli.ExitFailed))
		Expect(err).To(ContainSubstring("no line tells"))
		code, _, _ = run("", "/nowhere/x.log")
		Expect(code).To(Equal(cli.ExitUsage))
	})
})
