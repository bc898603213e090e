package test

import (
	"os"
	"path/filepath"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/caller"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/test/fleet"
)

var _ = Describe("A fleet without failures", func() {
	// Each order is resent to every daemon, and one item of the job fails on every
	// engine.
	It("answers every request, orders once and ends the job, with the same view at every daemon", func() {
		f := fleet.Start(fleet.Options{})
		for i, d := range f.Daemons {
			text := "room " + d.Name
			Expect(f.Chat(d, "", text)).To(Equal(f.Expected(text)))
			Expect(f.Stream(d, "", text)).To(Equal(f.Expected(text)))
			key := "tray-" + strconv.Itoa(i)
			first, err := f.Order(d, key)
			Expect(err).NotTo(HaveOccurred())
			for _, again := range f.Daemons {
				Expect(f.Order(again, key)).To(Equal(first))
				stored, err := f.KeyedRequest(again, key)
				Expect(err).NotTo(HaveOccurred())
				Expect(stored.State).To(Equal("completed"))
			}
			Expect(f.Executions(key)).To(Equal(1))
		}
		job := fleet.NewJob("prep", 60, 7)
		Expect(f.Put(f.Daemons[0], job)).To(BeTrue())
		for _, d := range f.Daemons {
			f.WaitJob(d, job)
			state, err := f.JobState(d, job.Name)
			Expect(err).NotTo(HaveOccurred())
			Expect([]int{state.Items, state.Completed, state.Failed}).To(Equal([]int{60, 59, 1}))
		}
		f.CheckJob(job)
	})

	It("refuses an order without a key as not run", func() {
		f := fleet.Start(fleet.Options{Daemons: 1})
		_, err := f.Order(f.Daemons[0], "")
		expectRun(err, outcome.NotRun)
		Expect(caller.AsRefusal(err).Status).To(Equal(400))
	})

	It("is operated from the command line", func() {
		f := fleet.Start(fleet.Options{Daemons: 2})
		daemon := "--daemon=" + f.Daemons[0].Client.Base
		write := func(name, text string) string {
			path := filepath.Join(GinkgoT().TempDir(), name)
			Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
			return path
		}
		run := func(code int, args ...string) string {
			GinkgoHelper()
			out, got := fleet.CLI(args...)
			Expect(got).To(Equal(code), "%v: %s", args, out)
			return out
		}
		config := write("config.ini", f.Config()+"\n# second\n")
		bad := write("bad.ini", "[host]\nname = a b\n")
		Expect(run(2, "settings", "check", bad)).To(ContainSubstring("bad.ini:2: [host] name"))
		run(2, "config", "check", bad)
		run(0, "config", "check", config)
		run(0, "config", "publish", config, "--base", "1", daemon)
		Expect(run(4, "config", "publish", config, "--base", "1", daemon)).To(ContainSubstring("version 2"))
		Expect(run(0, "config", "show", daemon)).To(ContainSubstring("# second"))
		Expect(run(0, "config", "history", daemon)).To(ContainSubstring("2"))

		lines := write("job.jsonl", `{"custom_id":"a","url":"/v1/chat/completions","body":{"model":"ordering","max_tokens":4,"messages":[{"role":"user","content":"x"}]}}`+"\n")
		Expect(run(0, "job", "submit", "by-hand", lines, "--profile", f.Shape.BatchProfile, daemon)).To(ContainSubstring("by-hand"))
		Expect(run(0, "job", "submit", "by-hand", lines, "--profile", f.Shape.BatchProfile, daemon)).To(ContainSubstring("already accepted"))
		Eventually(func() string { return run(0, "job", "results", "by-hand", daemon) }, timeout, pollInterval).Should(ContainSubstring(`"completed"`))
		Expect(run(0, "job", "status", "by-hand", daemon)).To(MatchRegexp(`items\s+1`))
		run(0, "job", "cancel", "by-hand", daemon)
		run(1, "job", "status", "never-sent", daemon)
		Expect(run(0, "status", daemon)).To(ContainSubstring("entry-2"))
		Expect(run(0, "report", "burn", daemon)).To(ContainSubstring(f.Shape.ChatProfile))
		Expect(run(0, "report", "burn", "--json", daemon)).To(HavePrefix("{"))
		run(3, "status", "--daemon=http://127.0.0.1:1")
	})
})
