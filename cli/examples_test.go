package cli_test

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/cli"
	"tarragonhollow.example/tarragonhollow/core/config"
	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/settings"
	"tarragonhollow.example/tarragonhollow/standin/standinset"
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

// The processes of the local example are started one by one. If two of its files
// disagree on an address, the only symptom is a fleet that never becomes ready.
var _ = It("has a local example whose files agree on all addresses", func() {
	dir := filepath.Join("..", "examples", "local")
	s, err := settings.Load(filepath.Join(dir, "host.ini"), nil)
	Expect(err).NotTo(HaveOccurred())
	text, err := os.ReadFile(filepath.Join(dir, "config.ini"))
	Expect(err).NotTo(HaveOccurred())
	c, err := config.Parse(string(text))
	Expect(err).NotTo(HaveOccurred())
	standins, err := standinset.Load(filepath.Join(dir, "standin.ini"), standinset.KindLog)
	Expect(err).NotTo(HaveOccurred())

	Expect(s.Platform.LogURL).To(Equal("http://" + standins.Listen[standinset.KindLog]))
	Expect(s.Platform.HostsURL).To(Equal("http://" + standins.Listen[standinset.KindHosts]))
	Expect(s.Platform.WeightsURL).To(Equal("http://" + standins.Listen[standinset.KindWeights]))
	Expect(s.Platform.Retention).To(Equal(standins.Log.Retention))
	var daemons, targets []string
	for _, host := range standins.Hosts.Hosts {
		if host.Role == extern.RoleDaemon {
			daemons = append(daemons, host.Address)
		} else {
			targets = append(targets, host.Address)
		}
	}
	Expect(s.Peers.Seeds).To(ConsistOf(daemons))
	Expect(targets).To(ConsistOf(c.Groups["ordering"].Targets[0].Address, c.Groups["kitchen-tickets"].Targets[0].Address))
	Expect(targets).To(ConsistOf(standins.Listen[standinset.KindEngine], standins.Listen[standinset.KindService]))
	Expect(standins.Engine.Model).To(Equal(c.Groups["ordering"].Model))
})
