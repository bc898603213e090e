package inifile_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/inifile"
)

func TestInifile(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "inifile")
}

// sample is a schema with a key of each type.
type sample struct {
	name      string
	wait      time.Duration
	bytes     int64
	addresses []string
}

func decode(text string) (sample, inifile.Problems) {
	d := inifile.NewDecoder(inifile.Parse("x.ini", text))
	s := d.Section("a")
	v := sample{
		name:      s.Ident("name", "n"),
		wait:      s.Duration("wait", time.Second, time.Millisecond, time.Hour),
		bytes:     s.Size("bytes", 1, 1, 1<<20),
		addresses: s.Addresses("addresses"),
	}
	s.Share("share", 0)
	s.Bool("on", false)
	s.URL("url", "")
	d.Named("kind")
	return v, d.Problems()
}

var _ = Describe("A strict decoder", func() {
	It("reads values by their literal text", func() {
		v, problems := decode("\ufeff; note\n[a]\r\n name=x-1 \nwait = 1m30s\nbytes=64KiB\naddresses = 127.0.0.1:1, [::1]:2\n")
		Expect(problems).To(BeEmpty())
		Expect(v).To(Equal(sample{"x-1", 90 * time.Second, 64 << 10, []string{"127.0.0.1:1", "[::1]:2"}}))
	})

	DescribeTable("reports each problem with its location", func(text, want string) {
		_, problems := decode(text)
		Expect(problems.Error()).To(Equal(want))
	},
		Entry("unknown section", "[b]\nx = 1", `x.ini:1: [b]: unknown section; allowed: [a], [kind NAME]`),
		Entry("unknown key", "[a]\nnam = 1",
			`x.ini:2: [a] nam = "1": unknown key; allowed: name, wait, bytes, addresses, share, on, url`),
		Entry("duplicate key", "[a]\nname = x\nname = y", `x.ini:3: [a] name = "y": duplicate key, first on line 2`),
		Entry("duplicate section", "[a]\n[a]", `x.ini:2: [a]: duplicate section, first on line 1`),
		Entry("no section", "name = x", `x.ini:1: name = "x": key outside of a section`),
		Entry("no value", "[a]\nname", `x.ini:2: [a]: cannot read "name"; allowed: key = value, [section] or # comment`),
		Entry("quotes of several lines", "[a]\nname = `x", "x.ini:2: [a] name = \"`x\": values of several lines are not supported; "+
			"allowed: a value on one line without quotes"),
		Entry("wrong type", "[a]\nwait = 5", `x.ini:2: [a] wait = "5": not a duration; allowed: duration from 1ms to 1h`),
		Entry("out of range", "[a]\nbytes = 1GiB", `x.ini:2: [a] bytes = "1GiB": out of range; allowed: size from 1B to 1MiB`),
		Entry("overflow", "[a]\nbytes = 99999999999GiB", `x.ini:2: [a] bytes = "99999999999GiB": not a size; allowed: size from 1B to 1MiB`),
		Entry("share", "[a]\nshare = 1", `x.ini:2: [a] share = "1": out of range; allowed: a share above 0 and below 1, like 0.99`),
		Entry("bool", "[a]\non = yes", `x.ini:2: [a] on = "yes": unknown value; allowed: true, false`),
		Entry("host name for an address", "[a]\naddresses = localhost:1",
			`x.ini:2: [a] addresses = "localhost:1": "localhost:1" is not an address; allowed: IP:PORT, IP:PORT, ...`),
		Entry("URL", "[a]\nurl = http://127.0.0.1:1/x", `x.ini:2: [a] url = "http://127.0.0.1:1/x": not a URL; allowed: http://IP:PORT`),
		Entry("all at once", "[a]\nwait = x\non = 2", "x.ini:2: [a] wait = \"x\": not a duration; allowed: duration from 1ms to 1h\n"+
			`x.ini:3: [a] on = "2": unknown value; allowed: true, false`),
	)
})
