package settings_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const minimalSettings = `[host]
name = entry-1
zone = son-tra
http_address = 127.0.0.1:8080
peer_address = 127.0.0.1:0
[platform]
log_url = http://127.0.0.1:7001/
hosts_url = http://127.0.0.1:7002
`

// problem returns the message of the only problem.
func problem(text string, overrides ...string) string {
	_, err := settings.Parse("host.ini", text, overrides)
	return settings.Problems(err).Error()
}

var _ = Describe("Settings", func() {
	It("keep the defaults, and the last override wins", func() {
		s, err := settings.Parse("host.ini", minimalSettings, []string{"host.peer_advertise=10.0.0.1:9", "ledger.lease=8s", "peers.seeds=127.0.0.1:1,127.0.0.1:2", "ledger.lease=9s"})
		Expect(err).NotTo(HaveOccurred())
		want := settings.Default()
		want.Host = settings.Host{Name: "entry-1", Zone: "son-tra", HTTPAddress: "127.0.0.1:8080", PeerAddress: "127.0.0.1:0", PeerAdvertise: "10.0.0.1:9"}
		want.Platform.LogURL, want.Platform.HostsURL = "http://127.0.0.1:7001", "http://127.0.0.1:7002"
		want.Peers.Seeds = []string{"127.0.0.1:1", "127.0.0.1:2"}
		want.Ledger.Lease = 9 * time.Second
		Expect(*s).To(Equal(want))
		again, err := settings.Parse("again.ini", s.Encode(), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(s))
	})

	DescribeTable("are refused with file, section, key, value and what is allowed", func(added string, overrides []string, want string) {
		Expect(problem(minimalSettings+added, overrides...)).To(Equal(want))
	},
		Entry("level", "[log]\nlevel = chatty", nil,
			`host.ini:10: [log] level = "chatty": unknown value; allowed: debug, info, warn, error`),
		Entry("an override", "", []string{"drain.timeout=1"},
			`--set: [drain] timeout = "1": not a duration; allowed: duration from 1s to 24h`),
		Entry("an unknown override", "", []string{"log.colour=red"},
			`--set: [log] colour = "red": unknown key; allowed: level`),
		Entry("a token on the command line is not shown", "", []string{"admin.token=x y"},
			"--set: [admin] token: unfit secret; allowed: at least 8 characters without spaces"),
		Entry("a token is not shown", "[admin]\ntoken = x y", nil,
			"host.ini:10: [admin] token: unfit secret; allowed: at least 8 characters without spaces"),
		Entry("an address nobody can call", "", []string{"host.peer_address=0.0.0.0:1"},
			`--set: [host] peer_address = "0.0.0.0:1": the unspecified address cannot be told to peers; `+
				`allowed: the host's own IP:PORT`),
		Entry("an advertised address nobody can call", "", []string{"host.peer_advertise=0.0.0.0:1"},
			`--set: [host] peer_advertise = "0.0.0.0:1": the unspecified address cannot be told to peers; `+
				`allowed: the host's own IP:PORT`),
		Entry("an advertised port that is not known yet", "", []string{"host.peer_advertise=10.0.0.1:0"},
			`--set: [host] peer_advertise = "10.0.0.1:0": not an address; allowed: IP:PORT, like 127.0.0.1:8080`),
		Entry("more appends than the budget", "[ledger]\nappend_budget = 100", nil,
			`host.ini:10: [ledger] append_budget = "100": 32 shards at one append each 100ms need 320 a second`),
		Entry("a lease within the pace", "[ledger]\nlease = 500ms\nappend_pace = 400ms", nil,
			`host.ini:10: [ledger] lease = "500ms": shorter than two append paces; allowed: at least 800ms`),
	)

	It("report every missing key at once", func() {
		Expect(problem("[host]\nname = a\nzone = z\npeer_address = 127.0.0.1:1\n")).To(Equal(
			"host.ini: [platform] log_url: missing key; allowed: http://IP:PORT\n" +
				"host.ini: [platform] hosts_url: missing key; allowed: http://IP:PORT\n" +
				"host.ini:1: [host] http_address: missing key; allowed: IP:PORT, like 127.0.0.1:8080"))
	})

	It("distinguish an unreadable file from a malformed override", func() {
		_, err := settings.Load("no-such.ini", nil)
		Expect(err).To(MatchError(ContainSubstring("no-such.ini")))
		_, err = settings.Parse("host.ini", minimalSettings, []string{"log=debug"})
		Expect(err).To(MatchError(ContainSubstring(`--set "log"; allowed: section.key=value`)))
	})
})
