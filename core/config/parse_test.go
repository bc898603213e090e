package config_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/config"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

const (
	online  = "[profile p]\nurgency = online\n"
	engines = "[target-group g]\nkind = engine\nmodel = m\naddresses = 127.0.0.1:1@z\n"
)

var _ = Describe("Parse", func() {
	It("gives typed values and the stated defaults", func() {
		c, err := config.Parse(online + engines + "[model m]\nversion = v1\n[limits]\nbody_bytes = 2MiB\n" +
			"[profile b]\nurgency = batch\nrepeatable = true\ndue = 8h\nslo_due_share = 0.99\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(*c.Profiles["p"]).To(Equal(config.Profile{Name: "p", Urgency: config.Online,
			Deadline: config.DefaultOnlineDeadline, Retries: config.DefaultRetries}))
		Expect(*c.Profiles["b"]).To(Equal(config.Profile{Name: "b", Urgency: config.Batch, Repeatable: true,
			Deadline: config.DefaultBatchDeadline, Due: 8 * time.Hour, Retries: config.DefaultRetries,
			BatchWeight: config.DefaultBatchWeight, SLO: config.SLO{DueShare: 0.99}}))
		Expect(*c.GroupForModel("m")).To(Equal(config.TargetGroup{Name: "g", Kind: config.KindEngine, Model: "m",
			Targets: []config.Target{{Address: "127.0.0.1:1", Zone: "z"}}, Slots: config.DefaultEngineSlots,
			Batch: config.BatchAdmission{Policy: config.PolicyPreempt, Fill: 6, Headroom: 1, CoolDown: 200 * time.Millisecond, Reserved: 4}}))
		limits := config.DefaultLimits()
		limits.BodyBytes = 2 << 20
		Expect(c.Limits).To(Equal(limits))
		Expect(c.Models["m"].Version).To(Equal("v1"))
	})

	DescribeTable("rejects invalid text with the complete reason", func(text, want string) {
		_, err := config.Parse(text)
		Expect(err).To(MatchError(want))
		Expect(err).To(BeAssignableToTypeOf(&config.InvalidError{}))
	},
		Entry("nothing", "", "configuration: no [profile NAME] section: every request would be refused"),
		Entry("no urgency", "[profile p]\n", "configuration:1: [profile p] urgency: missing key; allowed: online, batch"),
		Entry("batch without due", "[profile p]\nurgency = batch\n",
			"configuration:1: [profile p] due: missing key; allowed: duration from 1s to 336h"),
		Entry("online with due", online+"due = 1h", `configuration:3: [profile p] due = "1h": means nothing for an online profile`),
		Entry("bound without share", online+"slo_first_token = 1s",
			"configuration:1: [profile p] slo_latency_share: missing key; allowed: a share above 0 and below 1, like 0.99"),
		Entry("engine without model", online+"[target-group g]\nkind = engine\naddresses = 127.0.0.1:1@z",
			"configuration:3: [target-group g] model: missing key; allowed: the name of the model that the engines serve"),
		Entry("no zone", online+"[target-group g]\nkind = service\naddresses = 127.0.0.1:1",
			`configuration:5: [target-group g] addresses = "127.0.0.1:1": "127.0.0.1:1" is not a target; allowed: IP:PORT@ZONE, IP:PORT@ZONE, ...`),
		Entry("two groups with a model", online+engines+"[target-group h]\nkind = engine\nmodel = m\naddresses = 127.0.0.1:2@z",
			`configuration:9: [target-group h] model = "m": [target-group g] serves this model already`),
		Entry("an address twice", online+engines+"[target-group h]\nkind = service\naddresses = 127.0.0.1:1@y",
			`configuration:9: [target-group h] addresses = "127.0.0.1:1@y": 127.0.0.1:1 is given twice, first in [target-group g]`),
		Entry("unknown model", online+"[model x]\nversion = v1",
			"configuration:3: [model x]: unknown model: no target group has model = x"),
		Entry("limits that contradict", online+"[limits]\nin_flight = 9\nin_flight_per_caller = 10",
			`configuration:5: [limits] in_flight_per_caller = "10": 10 is larger than in_flight, 9`),
	)
})
