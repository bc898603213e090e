package standinset_test

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/standin/engine"
	"tarragonhollow.example/tarragonhollow/standin/standinset"
)

func TestStandinset(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "standinset")
}

// output is a buffer that can be read while the command writes to it.
type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

// start runs the command in this process. stop cancels its context, as a signal does,
// and returns its exit code.
func start(args ...string) (stdout *output, stop func() int) {
	ctx, cancel := context.WithCancel(context.Background())
	stdout = &output{}
	code := make(chan int, 1)
	go func() { code <- standinset.Main(ctx, args, stdout, GinkgoWriter) }()
	return stdout, func() int {
		cancel()
		return <-code
	}
}

const examples = "../../examples/standin"

// probe is a request that a running stand-in answers, and the expected status.
type probe struct {
	path   string
	status int
}

var probes = map[standinset.Kind]probe{
	standinset.KindLog:        {"/v1/streams", 200},
	standinset.KindHosts:      {"/v1/hosts", 200},
	standinset.KindWeights:    {"/v1/models/order-assistant/versions/2026-11", 200},
	standinset.KindEngine:     {"/health", 204},
	standinset.KindService:    {"/health", 204},
	standinset.KindFaultProxy: {"/control/faults", 200},
}

var _ = Describe("The command", func() {
	for _, kind := range standinset.Kinds {
		It("runs the commented example of "+string(kind)+" until the signal", func() {
			stdout, stop := start(string(kind), "--settings", filepath.Join(examples, string(kind)+".ini"))
			Eventually(stdout.String).Should(MatchRegexp(`^event=listening address=127\.0\.0\.1:\d+ (.* )?standin=%s\n$`, kind))
			addresses := regexp.MustCompile(`(?:address|control)=(\S+)`).FindAllStringSubmatch(stdout.String(), -1)
			resp, err := http.Get("http://" + addresses[len(addresses)-1][1] + probes[kind].path)
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			Expect(resp.StatusCode).To(Equal(probes[kind].status))
			Expect(stop()).To(Equal(standinset.ExitOK))
		})
	}

	It("exits with 2 and reports the location of an error", func() {
		path := filepath.Join(GinkgoT().TempDir(), "x.ini")
		Expect(os.WriteFile(path, []byte("[log]\nlisten = 127.0.0.1:0\nburst = many\n"), 0o600)).To(Succeed())
		var stderr bytes.Buffer
		code := standinset.Main(context.Background(), []string{"log", "--settings", path}, GinkgoWriter, &stderr)
		Expect(code).To(Equal(standinset.ExitUsage))
		Expect(stderr.String()).To(Equal(path + `:3: [log] burst = "many": not a whole number; ` +
			"allowed: whole number from 1 to 1000000\n"))
	})

	It("exits with 2 for an invalid flag or sub-command", func() {
		for _, args := range [][]string{{"logs"}, {"log"}, {"log", "--setting", "x"}} {
			Expect(standinset.Main(context.Background(), args, GinkgoWriter, GinkgoWriter)).
				To(Equal(standinset.ExitUsage), strings.Join(args, " "))
		}
	})
})

var _ = Describe("The settings", func() {
	It("fill every stand-in from one file", func() {
		s, err := standinset.Parse("x", `
[log]
listen = 127.0.0.1:0
retention = 3s
[host d1]
role = target
address = 127.0.0.1:9
zone = son-tra
[model m]
versions = v1:1KiB, v2:7
[engine]
slots = 3
crash_marker = none
base_step_ms = 2.5
checks_orders = false
`, standinset.KindLog)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Log.Retention.Seconds()).To(Equal(3.0))
		Expect(s.Hosts.Hosts).To(HaveExactElements(extern.Host{Name: "d1", Role: extern.RoleTarget,
			Address: "127.0.0.1:9", Zone: "son-tra", State: extern.HostLive}))
		Expect(s.Weights.Weights).To(HaveExactElements(extern.Weights{Model: "m", Version: "v1", Bytes: 1024},
			extern.Weights{Model: "m", Version: "v2", Bytes: 7}))
		want := engine.DefaultOptions()
		want.Slots, want.CrashMarker, want.BaseStepMs, want.ChecksOrders = 3, "", 2.5, false
		Expect(s.Engine).To(Equal(want))
	})

	DescribeTable("are rejected with what is allowed", func(kind standinset.Kind, text, fault string) {
		_, err := standinset.Parse("x.ini", text, kind)
		Expect(err).To(MatchError(ContainSubstring(fault)))
	},
		Entry("section", standinset.KindHosts, "[hosts]\nlisten = 127.0.0.1:0\n[lag]\n", "x.ini:3: [lag]: unknown section; allowed: [log], [hosts],"),
		Entry("key", standinset.KindEngine, "[engine]\nlisten = 127.0.0.1:0\nslot = 1\n", `x.ini:3: [engine] slot = "1": unknown key; allowed: listen, model,`),
		Entry("missing address", standinset.KindLog, "[hosts]\nlisten = 127.0.0.1:0\n", "[log] listen: missing key; allowed: IP:PORT"),
		Entry("missing target", standinset.KindFaultProxy, "[fault-proxy]\nlisten = 127.0.0.1:0\n", "[fault-proxy] target: missing key"),
		Entry("model size", standinset.KindWeights, "[weights]\nlisten = 127.0.0.1:0\n[model m]\nversions = v1:big\n", `"big" is not a size; allowed: VERSION:SIZE`),
		Entry("type of a tagged option", standinset.KindEngine, "[engine]\nlisten = 127.0.0.1:0\nslots = few\n", `[engine] slots = "few": not a whole number`),
		Entry("role", standinset.KindLog, "[log]\nlisten = 127.0.0.1:0\n[host a]\nrole = x\naddress = 127.0.0.1:1\nzone = z\n", `[host a] role = "x": unknown value; allowed: daemon, target`),
	)
})
