package route_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonhollow.example/tarragonhollow/core/route"
)

var _ = Describe("The groups between which streams move", func() {
	table := func(version int64, routes ...route.Route) *route.Table {
		return route.NewTable(version, routes, route.Limits{})
	}
	stream := func(prefix string, groups ...string) route.Route {
		r := route.Route{Name: prefix, Host: "h", Prefix: prefix, Kind: route.Stream, Resumable: true}
		for _, g := range groups {
			r.Groups = append(r.Groups, route.Share{Group: g, Weight: 1})
		}
		return r
	}

	// A stream that began at the old group goes on at the version of the new one.
	DescribeTable("are those of a host whose stream routes change",
		func(before, after []route.Route, moved ...string) {
			got := table(2, after...).MovedGroups(table(1, before...))
			if len(moved) == 0 {
				Expect(got).To(BeEmpty())
				return
			}
			Expect(got).To(Equal(moved))
		},
		Entry("a route that moves", []route.Route{stream("/a/", "blue")}, []route.Route{stream("/a/", "green")}, "blue", "green"),
		Entry("a route that is divided", []route.Route{stream("/a/", "blue")}, []route.Route{stream("/a/", "blue", "green")}, "blue", "green"),
		Entry("a longer prefix", []route.Route{stream("/a/", "blue")}, []route.Route{stream("/a/", "blue"), stream("/a/b/", "green")}, "blue", "green"),
		Entry("a route that is removed behind another", []route.Route{stream("/a/", "blue"), stream("/a/b/", "green")}, []route.Route{stream("/a/", "blue")}, "blue", "green"),
		Entry("none without a change", []route.Route{stream("/a/", "blue")}, []route.Route{stream("/a/", "blue")}),
		Entry("none where one group serves all", []route.Route{stream("/a/", "blue")}, []route.Route{stream("/a/", "blue"), stream("/b/", "blue")}),
	)
})
