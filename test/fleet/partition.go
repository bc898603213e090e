package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/extern"
	"tarragonhollow.example/tarragonhollow/settings"
	"tarragonhollow.example/tarragonhollow/standin/faultproxy"
)

// firstIP is the last byte of the first daemon's loopback address; the stand-ins
// and callers use 127.0.0.1.
const firstIP = 11

// Shards is the number of shards of every fleet.
const Shards = shards

// Network simulates the network between daemons. Each daemon has its own IP address
// and a fault proxy in front of its peer listener, so that any two daemons can be
// separated.
type Network struct {
	links map[string]*link
}

// link is the connection path to one daemon.
type link struct {
	ip       string
	listener string
	proxy    *faultproxy.Proxy
}

// StartWithNetwork is Start with a Network between the daemons.
func StartWithNetwork(o Options) (*Fleet, *Network) {
	GinkgoHelper()
	n := &Network{links: map[string]*link{}}
	DeferCleanup(n.close)
	adjust := o.Settings
	o.Settings = func(s *settings.Settings) {
		l := n.link(s.Host.Name)
		s.Host.PeerAddress, s.Host.PeerAdvertise = l.listener, l.proxy.Addr()
		if adjust != nil {
			adjust(s)
		}
	}
	f := Start(o)
	n.publishProxies(f)
	return f, n
}

func (n *Network) link(host string) *link {
	GinkgoHelper()
	if l := n.links[host]; l != nil {
		return l
	}
	l := &link{ip: fmt.Sprintf("127.0.0.%d", firstIP+len(n.links))}
	l.listener = FreeAddress(l.ip) // the proxy needs it before the daemon starts
	var err error
	l.proxy, err = faultproxy.New(faultproxy.Options{Listen: l.ip + ":0", Target: l.listener})
	Expect(err).NotTo(HaveOccurred())
	n.links[host] = l
	return l
}

// reserved keeps the sockets that reserve the addresses returned by FreeAddress.
var reserved struct {
	mu      sync.Mutex
	sockets []net.PacketConn
}

// FreeAddress returns a TCP address at the IP without a listener, for one that starts
// later. Its port is below the kernel's ephemeral range, so that no outgoing connection
// takes it in between. A UDP socket at the same port reserves it until the process ends,
// so that no other call returns it, in this or another process.
func FreeAddress(ip string) string {
	GinkgoHelper()
	var address string
	Eventually(func() (err error) {
		address, err = reserve(fmt.Sprintf("%s:%d", ip, 20_000+rand.IntN(12_000)))
		return err
	}, WaitTimeout, PollInterval).Should(Succeed())
	return address
}

// reserve reserves an address if it has no listener.
func reserve(address string) (string, error) {
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		return "", err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Join(err, socket.Close())
	}
	reserved.mu.Lock()
	defer reserved.mu.Unlock()
	reserved.sockets = append(reserved.sockets, socket)
	return address, listener.Close()
}

// publishProxies replaces the listeners' addresses on the host list by the proxies',
// and waits until every daemon has read that list, so that no peer call bypasses a
// proxy.
func (n *Network) publishProxies(f *Fleet) {
	GinkgoHelper()
	for _, d := range f.Daemons {
		Expect(f.Hosts.Put(extern.Host{Name: d.Name, Role: extern.RoleDaemon,
			Address: n.links[d.Name].proxy.Addr(), Zone: d.Zone, State: extern.HostLive})).To(Succeed())
	}
	for _, d := range f.Daemons {
		Eventually(func() int64 { return d.hostListVersion() }, WaitTimeout, PollInterval).Should(Equal(currentListVersion(f)), d.Name)
	}
}

func currentListVersion(f *Fleet) int64 {
	GinkgoHelper()
	resp, err := http.Get(f.HostsURL + "/control/hosts")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var view extern.HostView
	Expect(json.NewDecoder(resp.Body).Decode(&view)).To(Succeed())
	return view.Version
}

var listVersionMetric = regexp.MustCompile(`tarragonhollow_members_host_list_version (\d+)`)

// hostListVersion returns the version of the host list that the daemon has read, or
// -1 if it cannot be determined.
func (d *Daemon) hostListVersion() int64 {
	resp, err := d.Client.HTTP.Get(d.Client.Base + "/metrics")
	if err != nil {
		return -1
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	found := listVersionMetric.FindSubmatch(text)
	if found == nil {
		return -1
	}
	version, _ := strconv.ParseInt(string(found[1]), 10, 64)
	return version
}

// Cut applies the faults to calls from the from daemons to the to daemons, and sets
// the faults' OnlyFrom. Calls in the other direction and their responses pass.
func (n *Network) Cut(from, to []*Daemon, faults faultproxy.Faults) {
	GinkgoHelper()
	faults.OnlyFrom = nil
	for _, d := range from {
		faults.OnlyFrom = append(faults.OnlyFrom, n.links[d.Name].ip)
	}
	for _, d := range to {
		Expect(n.links[d.Name].proxy.SetFaults(faults)).To(Succeed())
	}
}

// Split applies the faults to calls between two groups in both directions.
func (n *Network) Split(a, b []*Daemon, faults faultproxy.Faults) {
	GinkgoHelper()
	n.Cut(a, b, faults)
	n.Cut(b, a, faults)
}

// Heal removes all faults.
func (n *Network) Heal() {
	GinkgoHelper()
	for _, l := range n.links {
		Expect(l.proxy.Clear()).To(Succeed())
	}
}

func (n *Network) close() {
	for _, l := range n.links {
		l.proxy.Close()
	}
}

// LiveHosts returns the names of the hosts that this daemon considers live, its own
// included.
func (d *Daemon) LiveHosts() []string {
	ctx, cancel := callContext()
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, d.Client.Base+"/admin/status", nil)
	req.Header.Set("Authorization", "Bearer "+Token)
	resp, err := d.Client.HTTP.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var status struct {
		Hosts []struct{ Host, State string }
	}
	_ = json.NewDecoder(resp.Body).Decode(&status)
	var out []string
	for _, h := range status.Hosts {
		if h.State == "live" {
			out = append(out, h.Host)
		}
	}
	slices.Sort(out)
	return out
}
