package cli_test

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/cli"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/settings"
)

var _ = DescribeTable("An example deployment loads and has its stated size",
	func(name string, zones []string, profiles [3]string, model string, workers int, service string) {
		dir := filepath.Join("..", "examples", name)
		for what, path := range map[string]string{"settings": "host.ini", "config": "config.ini"} {
			r := run(cli.Programs{}, what, "check", filepath.Join(dir, path))
			Expect(r.code).To(Equal(cli.ExitOK), r.err)
		}
		s, err := settings.Load(filepath.Join(dir, "host.ini"), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(zones).To(ContainElement(s.Host.Zone))
		text, err := os.ReadFile(filepath.Join(dir, "config.ini"))
		Expect(err).NotTo(HaveOccurred())
		c, err := config.Parse(string(text))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Profiles[profiles[0]].Repeatable).To(BeTrue())
		Expect(c.Profiles[profiles[1]].Repeatable).To(BeFalse())
		Expect(c.Profiles[profiles[2]].Urgency).To(Equal(config.Batch))
		Expect(c.GroupForModel(model).Targets).To(HaveLen(workers))
		Expect(c.Groups[service].Targets).To(HaveLen(4))
		var seen []string
		for _, target := range c.Groups[service].Targets {
			seen = append(seen, target.Zone)
		}
		Expect(seen).To(ConsistOf(zones))
		Expect(c.Limits.KeptResults).To(BeNumerically("<", s.Platform.Retention))
	},
	Entry("Da Nang", "da-nang", []string{"hai-chau", "son-tra", "ngu-hanh", "lien-chieu"},
		[3]string{"room-chat", "place-order", "prep-sheets"}, "ordering", 10, "kitchen-tickets"),
	Entry("Isarwerk", "isarwerk", []string{"garching-a", "garching-b", "freising-1", "muc-ost"},
		[3]string{"sheet-lookup", "stamp-revision", "bundle-index"}, "drawing-reader", 20, "register-lookup"),
)
