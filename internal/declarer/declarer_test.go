package declarer

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestLoad checks the rows or the errors that loading the declarations in testdata yields. KEY in
// the input stands for the hash of an API key.
func TestLoad(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			input := strings.ReplaceAll(d.Input, "KEY", HashAPIKey(d.Cmd))
			config, err := LoadBytes("a.yaml", []byte(input))
			if err != nil {
				return err.Error() + "\n"
			}
			var out strings.Builder
			for _, r := range config.Rows() {
				out.WriteString(r.Key() + "\n")
			}
			return out.String()
		})
	})
}

// TestApplyingDiffYieldsTarget checks that applying a diff to its base yields the target and does
// not modify the base.
func TestApplyingDiffYieldsTarget(t *testing.T) {
	draw := func(t *rapid.T, name string) *Config {
		var rows []Row
		for _, n := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 0, 5, rapid.ID).Draw(t, name) {
			w := Workspace{Name: n, Weight: rapid.Float64Range(1, 3).Draw(t, "weight"), KeyHashes: []string{HashAPIKey(n)}}
			rows = append(rows, NewRow(SectionWorkspaces, n, w))
		}
		c, err := (&Config{}).Apply(1, rows)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	rapid.Check(t, func(t *rapid.T) {
		base, target := draw(t, "base"), draw(t, "target")
		baseRows := len(base.Rows())
		got, err := base.Apply(2, base.Diff(target))
		if err != nil {
			t.Fatal(err)
		}
		if len(got.Diff(target)) != 0 || got.WorkspaceCount() != target.WorkspaceCount() || len(base.Rows()) != baseRows {
			t.Fatalf("applying the diff does not yield the target, or modified the base")
		}
		for _, r := range target.Rows() {
			if w := got.WorkspaceByKey(r.Name); w == nil || w.Name != r.Name {
				t.Fatalf("the API key of %s belongs to %v", r.Name, w)
			}
		}
	})
}

func TestMatchWorkKindPrefersMostSpecific(t *testing.T) {
	c := qt.New(t)
	rows := []Row{
		NewRow(SectionWorkKinds, "any", WorkKind{Name: "any", Pool: "p", Urgency: UrgencyLow}),
		NewRow(SectionWorkKinds, "get", WorkKind{Name: "get", Pool: "p", Urgency: UrgencyLow, Methods: []string{"GET"}}),
		NewRow(SectionWorkKinds, "deep", WorkKind{Name: "deep", Pool: "p", Urgency: UrgencyLow, Path: "/a/b"}),
	}
	config, err := (&Config{}).Apply(1, rows)
	c.Assert(err, qt.IsNil)
	c.Assert(config.MatchWorkKind("p", "POST", "/x", "").Name, qt.Equals, "any")
	c.Assert(config.MatchWorkKind("p", "GET", "/x", "").Name, qt.Equals, "get")
	c.Assert(config.MatchWorkKind("p", "GET", "/a/b/c", "").Name, qt.Equals, "deep")
	c.Assert(config.MatchWorkKind("q", "GET", "/a/b/c", ""), qt.IsNil)
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte("workspaces: [{name: a, weight: 1, key-hashes: []}]"))
	f.Add([]byte("pools: {}\nkinds: [1]"))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := LoadBytes("f.yaml", b)
		if err == nil && len(c.CheckReferences()) > 0 {
			t.Fatal("a configuration with invalid references was loaded")
		}
	})
}
