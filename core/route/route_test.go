package route_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/accounts"
	"tarragonhollow.example/tarragonhollow/core/outcome"
	"tarragonhollow.example/tarragonhollow/core/route"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "route")
}

var _ = Describe("A table", func() {
	table := route.NewTable(7, []route.Route{
		{Name: "short", Host: "A.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, route.Limits{})

	// Guards against a daemon that is cut off from the configuration and refuses a new
	// route permanently.
	It("refuses an unknown route permanently only if no newer version can be in force", func() {
		found, refusal := table.Find("b.example", "/x/1", time.Hour)
		Expect(refusal).To(BeNil())
		Expect(found.Name).To(Equal("other"))
		_, refusal = table.Find("b.example", "/new/1", accounts.MaxConfigAge)
		Expect(refusal.Code).To(Equal(outcome.NotFound))
		_, refusal = table.Find("b.example", "/new/1", accounts.MaxConfigAge+1)
		Expect(refusal.Code).To(Equal(outcome.NotReady))
		Expect(refusal.Run).To(Equal(outcome.NotRun))
		Expect(refusal.RetryAfterMs).To(BeNumerically(">", 0))
	})

	DescribeTable("matches the longest prefix of the host",
		func(host, path, name string) {
			r := table.Match(host, path)
			if name == "" {
				Expect(r).To(BeNil())
				return
			}
			Expect(r).NotTo(BeNil())
			Expect(r.Name).To(Equal(name))
		},
		Entry("short", "a.example", "/x/1", "short"),
		Entry("long", "a.example", "/x/y/1", "long"),
		Entry("a port and letter case", "A.Example:80", "/x/y/", "long"),
		Entry("another host", "b.example", "/x/y/1", "other"),
		Entry("no prefix", "a.example", "/y/", ""),
		Entry("a prefix without its slash", "a.example", "/x", ""),
		Entry("no host", "c.example", "/x/", ""),
	)

	It("distributes requests by weight", func() {
		r := route.Route{Groups: []route.Share{{Group: "a", Weight: 90}, {Group: "none", Weight: 0}, {Group: "b", Weight: 10}}}
		got := map[string]int{}
		for i := range 1000 {
			got[r.Pick(float64(i)/1000)]++
		}
		Expect(got).To(Equal(map[string]int{"a": 900, "b": 100}))
	})

	It("lists the groups that get requests", func() {
		used := route.NewTable(1, []route.Route{
			{Host: "a", Prefix: "/", Groups: []route.Share{{Group: "y", Weight: 1}, {Group: "off", Weight: 0}}},
			{Host: "b", Prefix: "/", Groups: []route.Share{{Group: "x", Weight: 2}, {Group: "y", Weight: 1}}},
		}, route.Limits{})
		Expect(used.UsedGroups()).To(Equal([]string{"x", "y"}))
	})

	DescribeTable("knows what may be repeated",
		func(r route.Route, repeatable bool) { Expect(r.Repeatable()).To(Equal(repeatable)) },
		Entry("idempotent", route.Route{Kind: route.Idempotent}, true),
		Entry("not idempotent", route.Route{Kind: route.NonIdempotent}, false),
		Entry("a stream", route.Route{Kind: route.Stream}, false),
		Entry("a resumable stream", route.Route{Kind: route.Stream, Resumable: true}, true),
		Entry("not idempotent, though resumable", route.Route{Kind: route.NonIdempotent, Resumable: true}, false),
	)
})
