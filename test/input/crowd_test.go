package input

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/settings"
	"tarragonhollow.example/tarragonhollow/test/crowd"
	"tarragonhollow.example/tarragonhollow/test/fleet"
)

const (
	// machineMemory and machineDescriptors are the limits of the machine. A daemon with the
	// limits below must stay within them.
	machineMemory, machineDescriptors = 256 << 20, 1024
	// crowdBodyMemory and crowdConnections are the daemon's limits of bodies and connections.
	crowdBodyMemory, crowdConnections = 32 << 20, 512
	// crowdClients and crowdTime are the number of connections and how long they are opened again.
	crowdClients = 400
	crowdTime    = 5 * time.Second
)

// Guards against clients that make a daemon exceed the memory or the descriptors of its machine,
// so that it is killed, or hang, so that ordinary callers get no answer.
var _ = Describe("A daemon with a crowd of clients", Label("alone"), func() {
	for _, shape := range append(append([]crowd.Shape{}, crowd.Heads...), crowd.Bodies...) {
		It("bears "+shape.Name, func() {
			f := fleet.Start(fleet.Options{Daemons: 1, Settings: func(s *settings.Settings) {
				s.HTTP.MaxBodyMemory, s.HTTP.MaxConnections = crowdBodyMemory, crowdConnections
			}})
			d := f.Daemons[0]
			Expect(f.Chat(d, "", "before")).To(Equal(f.Expected("before")))
			stop := crowd.Watch(d.PID())
			c := crowd.Crowd{
				Address: strings.TrimPrefix(d.Client.Base, "http://"), Shape: shape, Connections: crowdClients, For: crowdTime,
				Target: crowd.Target{
					Path:      chatPath,
					Head:      "Host: a\r\nTarragon-Profile: " + f.Shape.ChatProfile + "\r\n",
					HeadBytes: int(settings.Default().HTTP.MaxHeaderBytes),
				},
			}
			opened, statuses := c.Run()
			largest, ended := stop()
			fmt.Fprintf(GinkgoWriter, "crowd: %q: %d connections opened, largest memory %.1f MiB of %d, sockets %d, responses %v\n",
				shape.Name, opened, float64(largest.Anonymous)/(1<<20), machineMemory>>20, largest.Sockets, statuses)
			Expect(ended).To(BeFalse(), "the process ended")
			Expect(largest.Anonymous).To(BeNumerically("<=", machineMemory), "memory in bytes")
			Expect(largest.Sockets).To(BeNumerically("<=", machineDescriptors), "open sockets and pipes")
			Eventually(func() int {
				resp, err := send(d, "GET", "/healthz", nil)
				if err != nil {
					return 0
				}
				_ = resp.Body.Close()
				return resp.StatusCode
			}, timeout, pollInterval).Should(Equal(http.StatusOK))
			Expect(f.Chat(d, "", "after")).To(Equal(f.Expected("after")))
		})
	}
})
