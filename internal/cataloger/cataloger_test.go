package cataloger

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestMatchRouteAndWorkspaceByKey(t *testing.T) {
	c := qt.New(t)
	services := map[string]*Service{"s": {Name: "s"}, "t": {Name: "t"}}
	newRoute := func(name, host, prefix string) *Route {
		return &Route{Name: name, Host: host, Prefix: prefix, Targets: []Target{{Service: "s", Weight: 1}}}
	}
	cat, err := New(Catalog{
		Services: services, KeysRequired: true,
		Routes:     []*Route{newRoute("root", "H", "/"), newRoute("deep", "h", "/a/b/"), newRoute("short", "h", "/a/"), newRoute("other", "o", "/a/")},
		Workspaces: []*Workspace{{Name: "w", Keys: []KeyHash{HashKey("k"), HashKey("k2")}}, {Name: "x", Keys: []KeyHash{HashKey("l")}}},
	})
	c.Assert(err, qt.IsNil)
	for path, want := range map[string]string{"/a/b/c": "deep", "/a/b": "short", "/a/": "short", "/ab/": "root", "/": "root"} {
		c.Check(cat.MatchRoute("h:80", path).Name, qt.Equals, want, qt.Commentf("%s", path))
	}
	c.Assert(cat.MatchRoute("O", "/a/x").Name, qt.Equals, "other")
	c.Assert(cat.MatchRoute("o", "/b/"), qt.IsNil)
	c.Assert(cat.MatchRoute("unknown", "/a/"), qt.IsNil)
	c.Assert(cat.WorkspaceByKey("k2").Name, qt.Equals, "w")
	c.Assert(cat.WorkspaceByKey("l").Name, qt.Equals, "x")
	c.Assert(cat.WorkspaceByKey(""), qt.IsNil)
	c.Assert(cat.WorkspaceByKey("K"), qt.IsNil)

	_, err = New(Catalog{Services: services, Routes: []*Route{newRoute("r", "h", "a/")}})
	c.Assert(err, qt.ErrorMatches, `.*route r: prefix "a/" does not begin and end with a slash`)
	_, err = New(Catalog{Services: services, Routes: []*Route{{Name: "r", Prefix: "/", Targets: []Target{{Service: "gone", Weight: 1}}}}})
	c.Assert(err, qt.ErrorMatches, `.*service "gone" is not configured`)
	_, err = New(Catalog{Workspaces: []*Workspace{{Name: "w", Keys: []KeyHash{HashKey("k")}}, {Name: "x", Keys: []KeyHash{HashKey("k")}}}})
	c.Assert(err, qt.ErrorMatches, ".*workspaces x and w share a key")
}

func TestRequestsAreSplitByWeight(t *testing.T) {
	c := qt.New(t)
	r := &Route{Targets: []Target{{Service: "s", Weight: 3}, {Service: "off", Weight: 0}, {Service: "t", Weight: 1}}}
	got := map[string]int{}
	for i := range 1000 {
		got[r.PickService(float64(i)/1000)]++
	}
	c.Assert(got, qt.DeepEquals, map[string]int{"s": 750, "t": 250})
	c.Assert(r.LeadsTo("t"), qt.IsTrue)
	c.Assert(r.LeadsTo("off"), qt.IsFalse)
	c.Assert((&Route{}).PickService(0.5), qt.Equals, "")
	c.Assert((&Route{Kind: RouteStream}).Retryable(), qt.IsFalse)
	c.Assert((&Route{Kind: RouteStream, Resumable: true}).Retryable(), qt.IsTrue)
	c.Assert((&Route{Kind: RouteNonIdempotent, Resumable: true}).Retryable(), qt.IsFalse)
}
